#include "http/client_exchange.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/read.hpp>
#include <exception>

namespace stoneport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;

ClientExchange::ClientExchange(std::weak_ptr<ConnectionPool> pool,
                               std::unique_ptr<ClientConnection> connection, WireRequest request,
                               std::shared_ptr<BodySource> body, SendOptions options)
    : pool_(std::move(pool)),
      connection_(std::move(connection)),
      executor_(connection_->socket().get_executor()),
      options_(options),
      is_head_method_(request.is_head_method),
      body_in_memory_(request.body_in_memory),
      sender_(*connection_, std::move(request.head), std::move(body), request.content_length),
      sender_stopped_(executor_, asio::steady_timer::time_point::max()) {}

asio::awaitable<std::optional<ClientError>> ClientExchange::run() {
  const std::shared_ptr<ClientExchange> self = shared_from_this();
  std::optional<ClientError> error;
  if (body_in_memory_) {
    co_await sender_.run();
    error = co_await read_head();
  } else {
    // A thread of execution of its own, so that a cancelled caller still waits
    // until the sender has let go of the request's body.
    error = co_await asio::co_spawn(executor_, run_beside_sender(), asio::use_awaitable);
  }
  if (error) {
    connection_->close();
  } else if (parser_->is_done()) {
    complete();
  }
  co_return error;
}

asio::awaitable<std::optional<ClientError>> ClientExchange::run_beside_sender() {
  co_await asio::this_coro::throw_if_cancelled(false);
  start_sender();
  std::optional<ClientError> error = co_await read_head();
  co_await pause_sender();
  co_return error;
}

asio::awaitable<std::optional<ClientError>> ClientExchange::read_head() {
  const boost::system::error_code error = co_await read_final_head();
  if (error) {
    core::Error reason = failure(error);
    co_return ClientError{std::move(reason), progress()};
  }
  const auto& message = parser_->get();
  if (!sender_.any_byte_sent()) {
    co_return protocol_failure("a response came before its request");
  }
  const unsigned status = message.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    co_return protocol_failure("the response's status " + std::to_string(status) + " is outside " +
                               std::to_string(kMinStatus) + " to " + std::to_string(kMaxStatus));
  }
  if (status == 101) {
    co_return protocol_failure("the server switched protocols unasked");
  }
  if (parser_->need_eof()) {
    co_return protocol_failure("the response does not tell the length of its body");
  }
  head_.status = status;
  head_.headers = to_header_map(message);
  co_return std::nullopt;
}

asio::awaitable<boost::system::error_code> ClientExchange::read_final_head() {
  std::size_t interim_bytes = 0;
  while (true) {
    parser_.emplace();
    parser_->eager(false);
    parser_->header_limit(options_.max_header_bytes);
    parser_->skip(is_head_method_);
    if (is_head_method_) {
      parser_->body_limit(boost::none);
    } else {
      parser_->body_limit(options_.max_body_bytes);
    }
    auto [error, size] = co_await beast::http::async_read_header(
        connection_->socket(), connection_->buffer(), *parser_, kAwaitTuple);
    const unsigned status = parser_->get().result_int();
    const bool is_interim = status >= 100 && status < 200 && status != 101;
    if (error || !is_interim) {
      co_return error;
    }
    interim_bytes += size;
    if (interim_bytes > options_.max_header_bytes) {
      co_return make_error_code(beast::http::error::header_limit);
    }
  }
}

asio::awaitable<core::Result<std::optional<std::string>>> ClientExchange::next() {
  const std::shared_ptr<ClientExchange> self = shared_from_this();
  if (failure_) {
    co_return *failure_;
  }
  if (parser_->is_done()) {
    co_return std::optional<std::string>();
  }
  core::Result<std::optional<std::string>> piece = std::optional<std::string>();
  if (sender_.ended()) {
    piece = co_await read_piece();
  } else {
    piece = co_await asio::co_spawn(executor_, read_beside_sender(), asio::use_awaitable);
  }
  if (!piece && failure_) {
    connection_->close();
  } else if (parser_->is_done()) {
    complete();
  }
  co_return piece;
}

asio::awaitable<core::Result<std::optional<std::string>>> ClientExchange::read_beside_sender() {
  co_await asio::this_coro::throw_if_cancelled(false);
  start_sender();
  core::Result<std::optional<std::string>> piece = co_await read_piece();
  co_await pause_sender();
  co_return piece;
}

asio::awaitable<core::Result<std::optional<std::string>>> ClientExchange::read_piece() {
  std::string piece(sizer_.next(parser_->content_length_remaining()), '\0');
  // Beast reads no more at a time than its buffer has room for.
  connection_->buffer().reserve(piece.size());
  while (true) {
    auto& window = parser_->get().body();
    window.data = piece.data();
    window.size = piece.size();
    auto [error, size] = co_await beast::http::async_read_some(
        connection_->socket(), connection_->buffer(), *parser_, kAwaitTuple);
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
    const asio::cancellation_state cancellation = co_await asio::this_coro::cancellation_state;
    const bool interrupted = cancellation.cancelled() != asio::cancellation_type::none &&
                             connection_->socket().is_open();
    const std::size_t filled = piece.size() - window.size;
    if (framing_.note(size, filled) && !error) {
      error = make_error_code(beast::http::error::body_limit);
    }
    if (error && !(interrupted && error == asio::error::operation_aborted)) {
      failure_ = failure(error);
      co_return *failure_;
    }
    if (filled > 0) {
      connection_->counters().response_body_bytes.Increment(static_cast<double>(filled));
      if (filled == piece.size()) {
        sizer_.was_full();
      }
      piece.resize(filled);
      co_return std::optional<std::string>(std::move(piece));
    }
    if (parser_->is_done()) {
      co_return std::optional<std::string>();
    }
    if (interrupted) {
      co_return core::make_error(core::ErrorCode::kCancelled, "reading the body was cancelled");
    }
  }
}

void ClientExchange::start_sender() {
  sender_.allow();
  sender_running_ = true;
  auto on_end = [self = shared_from_this()](std::exception_ptr thrown) {
    self->sender_running_ = false;
    self->sender_stopped_.cancel();
    if (thrown) {
      std::rethrow_exception(thrown);
    }
  };
  asio::co_spawn(executor_, run_sender(),
                 asio::bind_cancellation_slot(stop_sender_.slot(), std::move(on_end)));
}

asio::awaitable<void> ClientExchange::run_sender() {
  co_await asio::this_coro::throw_if_cancelled(false);
  co_await sender_.run();
}

asio::awaitable<void> ClientExchange::pause_sender() {
  sender_.stop();
  stop_sender_.emit(asio::cancellation_type::terminal);
  while (sender_running_) {
    co_await sender_stopped_.async_wait(kAwaitTuple);
  }
}

std::optional<std::uint64_t> ClientExchange::body_bytes_left() const {
  if (parser_->is_done()) {
    return 0;
  }
  const boost::optional<std::uint64_t> left = parser_->content_length_remaining();
  return left ? std::optional(*left) : std::nullopt;
}

void ClientExchange::set_deadline(core::MonotonicTime deadline) {
  if (connection_) {
    connection_->timer().arm(deadline);
  }
}

void ClientExchange::cancel() {
  cancelled_ = true;
  abandon();
}

void ClientExchange::abandon() {
  if (connection_) {
    connection_->close();
  }
}

bool ClientExchange::response_began() const {
  return parser_->got_some() || connection_->buffer().size() > 0;
}

RequestProgress ClientExchange::progress() const {
  return sender_.any_byte_sent() ? RequestProgress::kMaybeSent : RequestProgress::kNothingSent;
}

core::Error ClientExchange::failure(const boost::system::error_code& error) {
  ClientCounters& counters = connection_->counters();
  if (sender_.source_error()) {
    return *sender_.source_error();
  }
  if (connection_->timer().expired()) {
    counters.deadlines_exceeded.Increment();
    return core::make_error(core::ErrorCode::kDeadlineExceeded, "the exchange took too long");
  }
  const bool cancelled = cancelled_ || error == asio::error::operation_aborted;
  if (cancelled) {
    return core::make_error(core::ErrorCode::kCancelled, "the exchange was cancelled");
  }
  if (!response_began()) {
    counters.failures_before_response.Increment();
    const bool unsent = progress() == RequestProgress::kNothingSent;
    return core::make_error(
        unsent ? core::ErrorCode::kUnavailable : core::ErrorCode::kOutcomeUnknown,
        "connection to " + core::to_string(connection_->address()) +
            " ended before a response: " + error.message());
  }
  core::Error reason = parse_error(error);
  if (reason.code == core::ErrorCode::kTooLarge) {
    counters.large_responses.Increment();
  } else if (reason.code == core::ErrorCode::kProtocol) {
    counters.malformed_responses.Increment();
  } else {
    counters.truncated_responses.Increment();
  }
  return reason;
}

ClientError ClientExchange::protocol_failure(std::string message) {
  connection_->counters().malformed_responses.Increment();
  core::Error reason = core::make_error(core::ErrorCode::kProtocol, std::move(message));
  return ClientError{std::move(reason), progress()};
}

void ClientExchange::complete() {
  if (!connection_) {
    return;
  }
  const std::shared_ptr<ConnectionPool> pool = pool_.lock();
  const bool reusable = pool && sender_.done() && parser_->keep_alive() &&
                        connection_->socket().is_open() && connection_->buffer().size() == 0;
  if (reusable) {
    pool->keep(std::move(connection_));
  } else {
    connection_->close();
  }
}

}  // namespace stoneport::http
