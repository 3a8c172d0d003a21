#include "http/server_exchange.hpp"

#include <array>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace stoneport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::uint64_t kMostSkippedBytes = 64 * 1024;
constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstFinalStatus = 200;

bool expects_continue(const RequestParser& parser) {
  return parser.get().version() == kHttp11 && !parser.is_done() &&
         beast::iequals(parser.get()[beast::http::field::expect], "100-continue");
}

bool has_no_body(unsigned status) {
  return status == 204 || status == 304;
}

/// Counts the bytes that go out while it lives, however the write ends.
class UnsentResponse {
 public:
  UnsentResponse(ServerState& state, ServerSocket& io, std::uint64_t bytes)
      : state_(state), io_(io) {
    state_.begin_unsent(io_, bytes);
  }
  ~UnsentResponse() { state_.end_unsent(io_); }
  UnsentResponse(const UnsentResponse&) = delete;
  UnsentResponse& operator=(const UnsentResponse&) = delete;

 private:
  ServerState& state_;
  ServerSocket& io_;
};

core::Error client_gone_error() {
  return core::make_error(core::ErrorCode::kUnavailable, "the client closed its connection");
}

core::Error misuse(std::string message) {
  return core::make_error(core::ErrorCode::kInvalidArgument, std::move(message));
}

}  // namespace

ServerRequestBody::ServerRequestBody(ServerState& state, ServerSocket& io, ClientWatch& watch,
                                     RequestParser& parser)
    : state_(state),
      io_(io),
      watch_(watch),
      parser_(parser),
      must_send_continue_(expects_continue(parser)) {}

asio::awaitable<core::Result<std::optional<std::string>>> ServerRequestBody::next() {
  if (failure_) {
    co_return *failure_;
  }
  if (parser_.is_done()) {
    co_return std::optional<std::string>();
  }
  if (must_send_continue_) {
    core::Result<void> sent = co_await send_continue();
    if (!sent) {
      co_return sent.error();
    }
  }
  std::string piece(sizer_.next(parser_.content_length_remaining()), '\0');
  // Beast reads no more at a time than its buffer has room for.
  io_.buffer.reserve(piece.size());
  while (true) {
    auto& window = parser_.get().body();
    window.data = piece.data();
    window.size = piece.size();
    io_.read_timer.arm(next_bytes_due());
    // Not undone by a destructor: a body that another exchange passes on is read by a coroutine
    // that the end of the execution context may destroy after the connection.
    state_.reading[&io_] = monotonic_now();
    auto [error, size] =
        co_await beast::http::async_read_some(io_.socket, io_.buffer, parser_, kAwaitTuple);
    state_.reading.erase(&io_);
    io_.read_timer.disarm();
    if (error == beast::http::error::need_buffer) {
      error = {};
    }
    const asio::cancellation_state cancellation = co_await asio::this_coro::cancellation_state;
    const bool cancelled = cancellation.cancelled() != asio::cancellation_type::none;
    const std::size_t filled = piece.size() - window.size;
    if (framing_.note(size, filled) && !error) {
      error = make_error_code(beast::http::error::body_limit);
    }
    if (error && !(cancelled && error == asio::error::operation_aborted)) {
      co_return fail(error);
    }
    if (parser_.is_done()) {
      watch_.start();
    }
    if (filled > 0) {
      state_.counters.request_body_bytes.Increment(static_cast<double>(filled));
      if (filled == piece.size()) {
        sizer_.was_full();
      }
      piece.resize(filled);
      co_return std::optional<std::string>(std::move(piece));
    }
    if (parser_.is_done()) {
      co_return std::optional<std::string>();
    }
    if (cancelled) {
      co_return core::make_error(core::ErrorCode::kCancelled, "reading the body was cancelled");
    }
  }
}

core::MonotonicTime ServerRequestBody::next_bytes_due() {
  const core::MonotonicTime now = monotonic_now();
  if (!give_up_at_) {
    give_up_at_ = now + state_.limits.body_timeout;
  }
  return std::min(*give_up_at_, now + state_.limits.transfer_timeout);
}

asio::awaitable<core::Result<void>> ServerRequestBody::send_continue() {
  must_send_continue_ = false;
  io_.write_timer.arm(state_.limits.transfer_timeout);
  auto [error, size] = co_await asio::async_write(io_.socket, asio::buffer(kContinue), kAwaitTuple);
  io_.write_timer.disarm();
  if (error) {
    co_return fail(error);
  }
  co_return core::Result<void>();
}

core::Error ServerRequestBody::fail(const boost::system::error_code& error) {
  core::Error failure = parse_error(error);
  if (io_.read_timer.expired()) {
    failure = core::make_error(core::ErrorCode::kTruncated, "the client stopped sending its body");
  }
  switch (failure.code) {
    case core::ErrorCode::kTooLarge:
      state_.counters.refused_large_body.Increment();
      break;
    case core::ErrorCode::kProtocol:
      state_.counters.refused_malformed_body.Increment();
      break;
    default:
      state_.counters.truncated_requests.Increment();
      watch_.mark_gone();
      break;
  }
  failure_ = failure;
  return failure;
}

bool ServerRequestBody::can_be_skipped() const {
  if (parser_.is_done()) {
    return true;
  }
  const auto remaining = parser_.content_length_remaining();
  return !failure_ && !must_send_continue_ && remaining && *remaining <= kMostSkippedBytes;
}

asio::awaitable<bool> ServerRequestBody::skip() {
  while (!parser_.is_done()) {
    core::Result<std::optional<std::string>> piece = co_await next();
    if (!piece) {
      co_return false;
    }
  }
  co_return true;
}

ServerResponseWriter::ServerResponseWriter(ServerState& state, ServerSocket& io, ClientWatch& watch,
                                           const RequestParser& parser, ServerRequestBody& body)
    : state_(state), io_(io), watch_(watch), parser_(parser), body_(body) {}

core::Result<std::string> ServerResponseWriter::begin(const ResponseHead& head,
                                                      std::optional<std::uint64_t> content_length) {
  core::Result<std::string> text = make_head(head, content_length);
  if (!text) {
    head_error_ = text.error();
  }
  return text;
}

core::Result<std::string> ServerResponseWriter::make_head(
    const ResponseHead& head, std::optional<std::uint64_t> content_length) {
  if (started_) {
    return misuse("the response was started before");
  }
  if (head.status < kFirstFinalStatus || head.status > kMaxStatus) {
    return misuse("not a final status: " + std::to_string(head.status));
  }
  const unsigned version = parser_.get().version();
  HeadText text(status_line(version, head.status));
  core::Result<void> added = text.add_all(head.headers);
  if (!added) {
    return added.error();
  }
  keep_alive_ = parser_.get().keep_alive() && !state_.stopping && body_.can_be_skipped();
  remaining_ = content_length.value_or(0);
  if (has_no_body(head.status)) {
    framing_ = Framing::kNoBody;
  } else if (content_length) {
    framing_ = Framing::kSized;
    text.add("Content-Length", std::to_string(*content_length));
  } else if (version == kHttp11) {
    framing_ = Framing::kChunked;
    text.add("Transfer-Encoding", "chunked");
  } else {
    framing_ = Framing::kUntilClose;
    keep_alive_ = false;
  }
  if (parser_.get().method() == beast::http::verb::head) {
    framing_ = Framing::kNoBody;
  }
  if (version == kHttp11 && !keep_alive_) {
    text.add("Connection", "close");
  } else if (version != kHttp11 && keep_alive_) {
    text.add("Connection", "keep-alive");
  }
  started_ = true;
  body_.drop_continue();
  return text.finish();
}

template <class Buffers>
asio::awaitable<core::Result<void>> ServerResponseWriter::transmit(const Buffers& buffers) {
  std::size_t taken_before = 0;
  auto on_progress = [this, &taken_before](const boost::system::error_code& error,
                                           std::size_t taken) -> std::size_t {
    if (error) {
      return 0;
    }
    state_.note_taken(io_, taken - std::exchange(taken_before, taken));
    io_.write_timer.arm(state_.limits.transfer_timeout);
    return kPieceBytes;
  };
  const UnsentResponse unsent(state_, io_, beast::buffer_bytes(buffers));
  auto [error, size] = co_await asio::async_write(io_.socket, buffers, on_progress, kAwaitTuple);
  io_.write_timer.disarm();
  if (error) {
    failed_ = true;
    watch_.mark_gone();
    co_return client_gone_error();
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<void>> ServerResponseWriter::start(
    ResponseHead head, std::optional<std::uint64_t> content_length) {
  core::Result<std::string> text = begin(head, content_length);
  if (!text) {
    co_return text.error();
  }
  co_return co_await transmit(asio::buffer(*text));
}

core::Result<void> ServerResponseWriter::count_bytes(std::size_t size) {
  if (!started_ || finished_) {
    return misuse("a piece was written outside a response");
  }
  if (failed_) {
    return client_gone_error();
  }
  if (framing_ == Framing::kSized) {
    if (size > remaining_) {
      return misuse("more bytes were written than Content-Length says");
    }
    remaining_ -= size;
  }
  if (framing_ != Framing::kNoBody) {
    state_.counters.response_body_bytes.Increment(static_cast<double>(size));
  }
  return {};
}

asio::awaitable<core::Result<void>> ServerResponseWriter::write(std::string_view piece) {
  core::Result<void> counted = count_bytes(piece.size());
  if (!counted || piece.empty() || framing_ == Framing::kNoBody) {
    co_return counted;
  }
  const asio::const_buffer bytes(piece.data(), piece.size());
  if (framing_ == Framing::kChunked) {
    co_return co_await transmit(beast::http::make_chunk(bytes));
  }
  co_return co_await transmit(bytes);
}

asio::awaitable<core::Result<void>> ServerResponseWriter::finish() {
  core::Result<void> allowed = count_bytes(0);
  if (!allowed) {
    co_return allowed;
  }
  if (framing_ == Framing::kSized && remaining_ > 0) {
    co_return core::make_error(core::ErrorCode::kTruncated,
                               "fewer bytes were written than Content-Length says");
  }
  if (framing_ == Framing::kChunked) {
    core::Result<void> ended = co_await transmit(beast::http::make_chunk_last());
    if (!ended) {
      co_return ended;
    }
  }
  finished_ = true;
  co_return core::Result<void>();
}

asio::awaitable<core::Result<void>> ServerResponseWriter::send(Response message) {
  core::Result<std::string> head = begin(message.head, message.body.size());
  if (!head) {
    co_return head.error();
  }
  core::Result<void> counted = count_bytes(message.body.size());
  if (!counted) {
    co_return counted;
  }
  std::array<asio::const_buffer, 2> buffers = {asio::buffer(*head), asio::buffer(message.body)};
  if (framing_ == Framing::kNoBody) {
    buffers[1] = asio::const_buffer();
  }
  core::Result<void> sent = co_await transmit(buffers);
  finished_ = sent.has_value();
  co_return sent;
}

void ServerResponseWriter::when_client_gone(std::function<void()> callback) {
  watch_.set_callback(std::move(callback));
}

}  // namespace stoneport::http
