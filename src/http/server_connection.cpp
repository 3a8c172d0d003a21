#include "http/server_connection.hpp"

#include <linux/sockios.h>
#include <spdlog/spdlog.h>
#include <sys/ioctl.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "http/server_exchange.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr unsigned kInternalError = 500;
/// Longest time that a closing connection still reads and drops what arrives,
/// so that a reset does not destroy the response on its way.
constexpr core::Duration kLingerTime = std::chrono::seconds(1);
/// Most bytes that it drops: of the largest bodies that clients send to be refused.
constexpr std::uint64_t kMaxLingerBytes = std::uint64_t{64} << 20;

/// \return the origin form of \p target, which may come in absolute form.
std::string origin_form(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  if (!beast::iequals(target.substr(0, kScheme.size()), kScheme)) {
    return std::string(target);
  }
  const std::size_t path = target.find('/', kScheme.size());
  return path == std::string_view::npos ? "/" : std::string(target.substr(path));
}

RequestHead to_request_head(const RequestParser& parser) {
  RequestHead head;
  head.method = std::string(parser.get().method_string());
  const auto target = parser.get().target();
  head.target = origin_form(std::string_view(target.data(), target.size()));
  head.headers = to_header_map(parser.get());
  return head;
}

/// \return what makes a well-formed head unservable.
std::optional<Response> objection_to(const RequestParser& parser) {
  constexpr auto kInvalid = core::ErrorCode::kInvalidArgument;
  const auto& message = parser.get();
  if (message.method() == beast::http::verb::connect) {
    return error_response(501, core::make_error(kInvalid, "CONNECT is not served"));
  }
  if (message.version() == 11 && message.count(beast::http::field::host) != 1) {
    return error_response(400, core::make_error(kInvalid, "exactly one Host field is required"));
  }
  return std::nullopt;
}

Response with_headers(Response response, const HeaderMap& headers) {
  for (const auto& [name, value] : headers.fields()) {
    response.head.headers.set(name, value);
  }
  return response;
}

std::string caller_of(const asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint = socket.remote_endpoint(error);
  return error ? "an unknown address" : endpoint.address().to_string();
}

/// \return the bytes of a response after which the connection closes.
std::string closing_response(const Response& response) {
  HeadText head(status_line(11, response.head.status));
  head.add_all(response.head.headers).value();
  head.add("Content-Length", std::to_string(response.body.size()));
  head.add("Connection", "close");
  return head.finish() + response.body;
}

}  // namespace

ServerSocket::ServerSocket(asio::ip::tcp::socket accepted, std::size_t buffer_limit,
                           UnsentBytes::ConnectionId connection)
    : id(connection),
      caller(caller_of(accepted)),
      socket(std::move(accepted)),
      buffer(buffer_limit),
      read_timer(
          socket.get_executor(), [this] { cancel(); }, DeadlineTimer::Expiry::kUntilDisarmed),
      write_timer(
          socket.get_executor(), [this] { cancel(); }, DeadlineTimer::Expiry::kUntilDisarmed) {}

void ServerSocket::cancel() {
  boost::system::error_code ignored;
  socket.cancel(ignored);
}

void ServerSocket::reset() {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::uint64_t ServerSocket::send_queue_bytes() {
  int bytes = 0;
  const bool is_known = socket.is_open() && ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return is_known && bytes > 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

void ServerState::begin_unsent(ServerSocket& io, std::uint64_t bytes) {
  const core::MonotonicTime now = monotonic_now();
  unsent.begin(io.id, io.caller, bytes, now);
  writing[io.id] = &io;
  while (const auto chosen = unsent.connection_to_cut(now)) {
    cut_slow_reader(*writing.at(*chosen), "more is kept for all clients than the limit of " +
                                              std::to_string(limits.unsent.most_bytes) + " bytes");
  }
  counters.unsent_bytes.Set(static_cast<double>(unsent.total()));
}

void ServerState::cut_slow_reader(ServerSocket& slow, const std::string& reason) {
  spdlog::warn(
      "http server: reset the connection of {}, which does not read {} bytes of its response: {}",
      slow.caller, unsent.kept_bytes(slow.id), reason);
  counters.slow_readers_cut.Increment();
  slow.reset();
  end_unsent(slow);
}

void ServerState::reset_stalled(std::uint64_t bytes) {
  const core::MonotonicTime now = monotonic_now();
  for (const auto& [connection, io] : writing) {
    unsent.note_send_queue(connection, io->send_queue_bytes(), now);
  }
  std::uint64_t freed = 0;
  while (freed < bytes) {
    const std::optional<UnsentBytes::ConnectionId> chosen = unsent.stalled_connection(now);
    if (!chosen) {
      return;
    }
    freed += unsent.kept_bytes(*chosen);
    cut_slow_reader(*writing.at(*chosen), "other responses wait for its memory");
  }
}

void ServerState::note_taken(const ServerSocket& io, std::uint64_t bytes) {
  unsent.taken(io.id, bytes, monotonic_now());
}

void ServerState::end_unsent(const ServerSocket& io) {
  unsent.end(io.id);
  writing.erase(io.id);
  counters.unsent_bytes.Set(static_cast<double>(unsent.total()));
}

void ServerState::reset_stalled_uploads() {
  const core::MonotonicTime now = monotonic_now();
  for (const auto& [io, since] : reading) {
    const bool is_stalled = now - since >= limits.unsent.stalled_after;
    if (is_stalled && io->socket.is_open()) {
      spdlog::warn(
          "http server: reset the connection of {}, which stopped sending the body of its request: "
          "other requests wait for its memory",
          io->caller);
      counters.slow_senders_cut.Increment();
      io->reset();
    }
  }
}

ServerConnection::ServerConnection(std::shared_ptr<ServerState> state, asio::ip::tcp::socket socket)
    : state_(std::move(state)),
      io_(std::make_shared<ServerSocket>(std::move(socket),
                                         state_->limits.max_header_bytes + kBufferSpareBytes,
                                         ++state_->last_connection)),
      watch_(std::make_shared<ClientWatch>(io_, state_->counters.clients_gone)) {
  boost::system::error_code ignored;
  io_->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  io_->socket.non_blocking(true, ignored);
  state_->connections.insert(this);
  state_->counters.connections_opened.Increment();
}

ServerConnection::~ServerConnection() {
  state_->connections.erase(this);
  if (state_->on_change) {
    state_->on_change();
  }
}

asio::awaitable<void> ServerConnection::run(std::shared_ptr<ServerConnection> connection) {
  After after = After::kNextRequest;
  while (after == After::kNextRequest) {
    const bool has_request = co_await connection->wait_for_request();
    if (has_request) {
      after = co_await connection->serve_one();
    } else {
      after = After::kClose;
    }
  }
  co_await connection->end(after);
}

void ServerConnection::begin_drain() {
  if (waiting_) {
    io_->read_timer.arm(state_->limits.drain_grace);
  }
}

void ServerConnection::reset() {
  if (!io_->socket.is_open()) {
    return;
  }
  state_->counters.connections_reset.Increment();
  io_->reset();
}

asio::awaitable<bool> ServerConnection::wait_for_request() {
  shrink_when_empty(io_->buffer);
  while (io_->buffer.size() == 0) {
    const ServerLimits& limits = state_->limits;
    waiting_ = true;
    io_->read_timer.arm(state_->stopping ? limits.drain_grace : limits.idle_timeout);
    auto [error, size] =
        co_await io_->socket.async_read_some(io_->buffer.prepare(kReadBytes), kAwaitTuple);
    io_->read_timer.disarm();
    waiting_ = false;
    io_->buffer.commit(size);
    if (!error) {
      continue;
    }
    boost::system::error_code closed;
    const bool has_arrived = io_->read_timer.expired() && io_->socket.available(closed) > 0;
    if (!has_arrived) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<ServerConnection::After> ServerConnection::serve_one() {
  RequestParser parser;
  parser.eager(false);
  parser.header_limit(state_->limits.max_header_bytes);
  parser.body_limit(state_->limits.max_body_bytes);
  io_->read_timer.arm(state_->limits.head_timeout);
  auto [error, size] =
      co_await beast::http::async_read_header(io_->socket, io_->buffer, parser, kAwaitTuple);
  io_->read_timer.disarm();
  if (error) {
    co_return co_await refuse_head(error);
  }
  co_return co_await handle(parser);
}

asio::awaitable<ServerConnection::After> ServerConnection::refuse_head(
    boost::system::error_code error) {
  ServerCounters& counters = state_->counters;
  core::Error refusal = parse_error(error);
  unsigned status = 400;
  if (error == beast::http::error::body_limit) {
    counters.refused_large_body.Increment();
    status = 413;
  } else if (refusal.code == core::ErrorCode::kTooLarge) {
    counters.refused_large_head.Increment();
    status = 431;
  } else if (io_->read_timer.expired()) {
    counters.refused_slow_head.Increment();
    refusal = core::make_error(core::ErrorCode::kDeadlineExceeded, "the head took too long");
    status = 408;
  } else if (refusal.code == core::ErrorCode::kTruncated) {
    counters.truncated_requests.Increment();
    co_return After::kClose;
  } else {
    counters.refused_malformed_head.Increment();
    if (error == beast::http::error::bad_version) {
      status = 505;
    }
  }
  const std::string text = closing_response(
      with_headers(error_response(status, refusal), state_->limits.refusal_headers));
  io_->write_timer.arm(state_->limits.transfer_timeout);
  co_await asio::async_write(io_->socket, asio::buffer(text), kAwaitTuple);
  io_->write_timer.disarm();
  co_return After::kLingeringClose;
}

/// A handler whose response could not be sent, and that sent no other, leaves its client to 500.
asio::awaitable<void> ServerConnection::answer_unsendable(const RequestHead& request,
                                                          ServerResponseWriter& response) {
  if (response.started() || !response.head_error()) {
    co_return;
  }
  const core::Error reason = *response.head_error();
  spdlog::error("http server: answered 500 to {} {}: its response cannot be sent: {}",
                request.method, request.target, reason.message);
  state_->counters.unsendable_responses.Increment();
  const core::Error error =
      core::make_error(core::ErrorCode::kInternal, "the response could not be sent");
  co_await response.send(error_response(kInternalError, error));
}

asio::awaitable<ServerConnection::After> ServerConnection::handle(RequestParser& parser) {
  ServerRequestBody body(*state_, *io_, *watch_, parser);
  ServerResponseWriter response(*state_, *io_, *watch_, parser, body);
  if (parser.is_done()) {
    watch_->start();
  }
  state_->counters.requests.Increment();
  ++state_->requests_in_flight;
  std::optional<Response> objection = objection_to(parser);
  if (objection) {
    state_->counters.refused_malformed_head.Increment();
    Response refusal = with_headers(std::move(*objection), state_->limits.refusal_headers);
    co_await response.send(std::move(refusal));
  } else {
    const RequestHead head = to_request_head(parser);
    co_await state_->handler.handle(head, body, response);
    co_await answer_unsendable(head, response);
  }
  --state_->requests_in_flight;
  watch_->stop();
  if (state_->on_change) {
    state_->on_change();
  }
  if (!response.finished()) {
    state_->counters.responses_cut.Increment();
    co_return After::kReset;
  }
  if (watch_->gone()) {
    co_return After::kClose;
  }
  if (!response.keep_alive()) {
    co_return After::kLingeringClose;
  }
  const bool skipped = co_await body.skip();
  watch_->stop();
  co_return skipped ? After::kNextRequest : After::kLingeringClose;
}

asio::awaitable<void> ServerConnection::linger() {
  boost::system::error_code error;
  io_->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, kReadBytes> dropped;
  std::uint64_t dropped_bytes = 0;
  io_->read_timer.arm(kLingerTime);
  // The timer cancels only a read that waits, which those of a fast sender never do.
  while (!error && !io_->read_timer.expired() && dropped_bytes <= kMaxLingerBytes) {
    std::size_t size = 0;
    std::tie(error, size) =
        co_await io_->socket.async_read_some(asio::buffer(dropped), kAwaitTuple);
    dropped_bytes += size;
  }
  io_->read_timer.disarm();
}

asio::awaitable<void> ServerConnection::end(After after) {
  if (after == After::kReset) {
    reset();
    co_return;
  }
  if (after == After::kLingeringClose) {
    co_await linger();
  }
  if (io_->socket.is_open()) {
    state_->counters.connections_closed.Increment();
    boost::system::error_code ignored;
    io_->socket.close(ignored);
  }
}

}  // namespace stoneport::http
