#include "http/client.hpp"

#include "http/client_exchange.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace {

constexpr core::Duration kLongestConnect = std::chrono::hours(1);

ClientError not_sent(core::ErrorCode code, std::string message) {
  return ClientError{core::make_error(code, std::move(message)), RequestProgress::kNothingSent};
}

std::string host_field(const core::Address& address) {
  const bool is_version_6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_version_6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

bool is_target(std::string_view target) {
  const bool has_form = target.starts_with('/') || target == "*";
  return has_form && std::all_of(target.begin(), target.end(), [](char character) {
           const auto byte = static_cast<unsigned char>(character);
           return byte > 0x20 && byte != 0x7f;
         });
}

/// \return \p body, which stays its owner's.
std::shared_ptr<BodySource> borrowed(BodySource& body) {
  return std::shared_ptr<BodySource>(std::shared_ptr<void>(), &body);
}

bool announces_empty_body(beast::http::verb method) {
  return method == beast::http::verb::post || method == beast::http::verb::put ||
         method == beast::http::verb::patch;
}

class PooledResponse : public ClientResponse {
 public:
  explicit PooledResponse(std::shared_ptr<ClientExchange> exchange)
      : exchange_(std::move(exchange)) {}
  ~PooledResponse() override { exchange_->abandon(); }

  const ResponseHead& head() const override { return exchange_->head(); }
  BodySource& body() override { return *exchange_; }
  std::optional<std::uint64_t> body_bytes_left() const override {
    return exchange_->body_bytes_left();
  }
  void set_deadline(core::MonotonicTime deadline) override { exchange_->set_deadline(deadline); }
  void cancel() override { exchange_->cancel(); }

 private:
  std::shared_ptr<ClientExchange> exchange_;
};

}  // namespace

core::Result<WireRequest> to_wire(const core::Address& address, const RequestHead& head,
                                  std::optional<std::uint64_t> content_length) {
  if (!is_token(head.method) || !is_target(head.target)) {
    return core::make_error(core::ErrorCode::kInvalidArgument,
                            "not a valid request line: " + head.method + " " + head.target);
  }
  HeadText text(head.method + " " + head.target + " HTTP/1.1");
  // The body follows at once, whatever the original client was waiting for.
  core::Result<void> added = text.add_all(head.headers, beast::http::field::expect);
  if (!added) {
    return added.error();
  }
  if (!head.headers.find("Host")) {
    text.add("Host", host_field(address));
  }
  const beast::http::verb method = beast::http::string_to_verb(head.method);
  if (!content_length) {
    text.add("Transfer-Encoding", "chunked");
  } else if (*content_length > 0 || announces_empty_body(method)) {
    text.add("Content-Length", std::to_string(*content_length));
  }
  WireRequest wire;
  wire.head = text.finish();
  wire.content_length = content_length;
  wire.is_head_method = method == beast::http::verb::head;
  return wire;
}

class Client::Implementation {
 public:
  Implementation(asio::any_io_executor executor, const std::string& name, core::Metrics& metrics)
      : executor_(std::move(executor)),
        counters_(std::make_shared<ClientCounters>(metrics, name)),
        pool_(std::make_shared<ConnectionPool>(counters_)) {}

  /// Static, so that its parameter holds the object from the call on.
  static asio::awaitable<ClientResult<std::unique_ptr<ClientResponse>>> send(
      std::shared_ptr<Implementation> self, core::Address address, RequestHead head,
      std::shared_ptr<BodySource> body, std::optional<std::uint64_t> content_length,
      SendOptions options, bool body_in_memory) {
    self->counters_->requests.Increment();
    core::Result<WireRequest> wire = to_wire(address, head, content_length);
    if (!wire) {
      co_return ClientError{wire.error(), RequestProgress::kNothingSent};
    }
    wire->body_in_memory = body_in_memory || content_length == std::uint64_t{0};
    ClientResult<std::unique_ptr<ClientConnection>> connection =
        co_await self->open(address, options);
    if (!connection) {
      co_return connection.error();
    }
    (*connection)->timer().arm(options.deadline);
    const bool is_reused = (*connection)->reused();
    const auto exchange = std::make_shared<ClientExchange>(
        self->pool_, std::move(*connection), std::move(*wire), std::move(body), options);
    std::optional<ClientError> error = co_await exchange->run();
    if (error) {
      error->stale_connection = is_reused && !exchange->response_began();
      co_return std::move(*error);
    }
    co_return std::unique_ptr<ClientResponse>(std::make_unique<PooledResponse>(exchange));
  }

  static asio::awaitable<ClientResult<Response>> fetch(std::shared_ptr<Implementation> self,
                                                       core::Address address, Request request,
                                                       SendOptions options) {
    const std::uint64_t length = request.body.size();
    auto body = std::make_shared<StringBody>(std::move(request.body));
    const bool body_in_memory = length <= kPieceBytes;
    ClientResult<std::unique_ptr<ClientResponse>> response =
        co_await send(std::move(self), std::move(address), std::move(request.head), std::move(body),
                      length, options, body_in_memory);
    if (!response) {
      co_return response.error();
    }
    core::Result<std::string> text =
        co_await read_whole((*response)->body(), static_cast<std::size_t>(options.max_body_bytes));
    if (!text) {
      co_return ClientError{text.error(), RequestProgress::kMaybeSent};
    }
    Response whole;
    whole.head = (*response)->head();
    whole.body = std::move(*text);
    co_return whole;
  }

  static asio::awaitable<bool> refuses_connections(std::shared_ptr<Implementation> self,
                                                   core::Address address, core::Duration limit) {
    ClientConnection connection(self->executor_, std::move(address), self->counters_);
    connection.timer().arm(limit);
    const boost::system::error_code error = co_await connection.connect();
    connection.close();
    co_return error == asio::error::connection_refused;
  }

  void forget(const core::Address& address) { pool_->forget(address); }
  bool keeps_connection(const core::Address& address) const {
    return pool_->keeps_connection(address);
  }

 private:
  /// Takes a kept connection, or makes one.
  asio::awaitable<ClientResult<std::unique_ptr<ClientConnection>>> open(core::Address address,
                                                                        SendOptions options) {
    if (options.deadline <= monotonic_now()) {
      counters_->deadlines_exceeded.Increment();
      co_return not_sent(core::ErrorCode::kDeadlineExceeded, "the deadline had passed");
    }
    std::unique_ptr<ClientConnection> connection;
    if (!options.fresh_connection) {
      connection = pool_->take(address);
    }
    if (connection) {
      co_return std::move(connection);
    }
    connection = std::make_unique<ClientConnection>(executor_, address, counters_);
    const core::Duration longest = std::min(options.connect_timeout, kLongestConnect);
    const core::MonotonicTime give_up_at = std::min(options.deadline, monotonic_now() + longest);
    connection->timer().arm(give_up_at);
    const boost::system::error_code error = co_await connection->connect();
    if (error) {
      co_return connect_failure(*connection, error, options);
    }
    // The timer has its turn only after what else the thread had to do meanwhile; a caller's
    // reasons to send may be out of date by then.
    if (monotonic_now() > give_up_at) {
      counters_->connect_failures.Increment();
      co_return not_sent(core::ErrorCode::kUnavailable,
                         "connected too late to " + core::to_string(address));
    }
    co_return std::move(connection);
  }

  ClientError connect_failure(ClientConnection& connection, const boost::system::error_code& error,
                              const SendOptions& options) {
    const std::string target = core::to_string(connection.address());
    if (error == asio::error::invalid_argument) {
      return not_sent(core::ErrorCode::kInvalidArgument, "not an IP number: " + target);
    }
    if (connection.timer().expired() && options.deadline <= monotonic_now()) {
      counters_->deadlines_exceeded.Increment();
      return not_sent(core::ErrorCode::kDeadlineExceeded, "no connection in time to " + target);
    }
    if (error == asio::error::operation_aborted && !connection.timer().expired()) {
      return not_sent(core::ErrorCode::kCancelled, "connecting was cancelled");
    }
    counters_->connect_failures.Increment();
    return not_sent(core::ErrorCode::kUnavailable,
                    "cannot connect to " + target + ": " + error.message());
  }

  asio::any_io_executor executor_;
  std::shared_ptr<ClientCounters> counters_;
  std::shared_ptr<ConnectionPool> pool_;
};

Client::Client(asio::any_io_executor executor, std::string name, core::Metrics& metrics)
    : implementation_(std::make_shared<Implementation>(std::move(executor), name, metrics)) {}

Client::~Client() = default;

asio::awaitable<ClientResult<std::unique_ptr<ClientResponse>>> Client::send(
    core::Address address, RequestHead head, std::unique_ptr<BodySource> body,
    std::optional<std::uint64_t> content_length, SendOptions options) {
  return Implementation::send(implementation_, std::move(address), std::move(head), std::move(body),
                              content_length, options, false);
}

asio::awaitable<ClientResult<std::unique_ptr<ClientResponse>>> Client::send(
    core::Address address, RequestHead head, BodySource& body,
    std::optional<std::uint64_t> content_length, SendOptions options) {
  return Implementation::send(implementation_, std::move(address), std::move(head), borrowed(body),
                              content_length, options, false);
}

asio::awaitable<ClientResult<Response>> Client::fetch(core::Address address, Request request,
                                                      SendOptions options) {
  return Implementation::fetch(implementation_, std::move(address), std::move(request), options);
}

asio::awaitable<bool> Client::refuses_connections(core::Address address, core::Duration limit) {
  return Implementation::refuses_connections(implementation_, std::move(address), limit);
}

void Client::forget(const core::Address& address) {
  implementation_->forget(address);
}

bool Client::keeps_connection(const core::Address& address) const {
  return implementation_->keeps_connection(address);
}

}  // namespace stoneport::http
