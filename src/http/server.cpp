#include "http/server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/server_connection.hpp"
#include "http/task_start.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

core::Result<asio::ip::tcp::endpoint> endpoint_of(const core::Address& address) {
  boost::system::error_code error;
  const asio::ip::address ip = asio::ip::make_address(address.ip, error);
  if (error) {
    return core::make_error(core::ErrorCode::kInvalidArgument, "not an IP number: " + address.ip);
  }
  return asio::ip::tcp::endpoint(ip, address.port);
}

core::Error cannot_listen(const core::Address& address, const boost::system::error_code& error) {
  return core::make_error(core::ErrorCode::kUnavailable,
                          "cannot listen on " + core::to_string(address) + ": " + error.message());
}

void bind_listener(asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& endpoint,
                   AddressUse use, boost::system::error_code& error) {
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error && use == AddressUse::kShared) {
    acceptor.set_option(ReusePort(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
}

/// Pause after a failed accept, most likely for want of file descriptors.
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(50);

std::string too_many_connections(const HeaderMap& refusal_headers) {
  std::string text =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n";
  for (const auto& [name, value] : refusal_headers.fields()) {
    text += name + ": " + value + "\r\n";
  }
  if (!refusal_headers.find("Retry-After")) {
    text += "Retry-After: 1\r\n";
  }
  return text + "\r\n";
}

std::string metric_name(std::string_view suffix) {
  return "stoneport_http_server_" + std::string(suffix);
}

prometheus::Counter& refusal_counter(core::Metrics& metrics, const std::string& server,
                                     const std::string& reason) {
  return metrics.counter(metric_name("refused_total"), "Requests refused by the HTTP server itself",
                         {{"server", server}, {"reason", reason}});
}

}  // namespace

ServerCounters::ServerCounters(core::Metrics& metrics, const std::string& server)
    : connections_opened(metrics.counter(metric_name("connections_opened_total"),
                                         "Connections accepted", {{"server", server}})),
      connections_closed(metrics.counter(metric_name("connections_closed_total"),
                                         "Connections closed in order", {{"server", server}})),
      connections_reset(metrics.counter(metric_name("connections_reset_total"),
                                        "Connections reset by the server", {{"server", server}})),
      requests(metrics.counter(metric_name("requests_total"), "Requests whose head was read",
                               {{"server", server}})),
      request_body_bytes(metrics.counter(metric_name("request_body_bytes_total"),
                                         "Bytes of request bodies read", {{"server", server}})),
      response_body_bytes(metrics.counter(metric_name("response_body_bytes_total"),
                                          "Bytes of response bodies written",
                                          {{"server", server}})),
      clients_gone(metrics.counter(metric_name("clients_gone_total"),
                                   "Clients that closed while their request was handled",
                                   {{"server", server}})),
      responses_cut(metrics.counter(metric_name("responses_cut_total"),
                                    "Responses that their handler did not finish",
                                    {{"server", server}})),
      unsendable_responses(metrics.counter(metric_name("unsendable_responses_total"),
                                           "Responses replaced by 500 as their head is invalid",
                                           {{"server", server}})),
      refused_malformed_head(refusal_counter(metrics, server, "malformed_head")),
      refused_large_head(refusal_counter(metrics, server, "large_head")),
      refused_slow_head(refusal_counter(metrics, server, "slow_head")),
      refused_malformed_body(refusal_counter(metrics, server, "malformed_body")),
      refused_large_body(refusal_counter(metrics, server, "large_body")),
      refused_connection_limit(refusal_counter(metrics, server, "connection_limit")),
      truncated_requests(metrics.counter(metric_name("truncated_requests_total"),
                                         "Requests whose connection ended first",
                                         {{"server", server}})),
      accept_errors(metrics.counter(metric_name("accept_errors_total"), "Failed accepts",
                                    {{"server", server}})),
      slow_readers_cut(metrics.counter(metric_name("slow_readers_cut_total"),
                                       "Connections reset as too much was kept for clients that "
                                       "do not read",
                                       {{"server", server}})),
      slow_senders_cut(metrics.counter(metric_name("slow_senders_cut_total"),
                                       "Connections reset as their clients stopped sending a body "
                                       "while others waited for memory",
                                       {{"server", server}})),
      unsent_bytes(metrics.gauge(metric_name("unsent_bytes"),
                                 "Bytes of responses that clients have not taken yet",
                                 {{"server", server}})) {}

class Server::Implementation : public std::enable_shared_from_this<Server::Implementation> {
 public:
  Implementation(asio::any_io_executor executor, std::string name, ServerLimits limits,
                 RequestHandler& handler, core::Metrics& metrics)
      : acceptor_(executor),
        changed_(executor, asio::steady_timer::time_point::max()),
        state_(std::make_shared<ServerState>(std::move(name), limits, handler, metrics)) {}

  void begin() {
    state_->on_change = [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->changed_.cancel();
      }
    };
  }

  core::Result<void> listen(const core::Address& address, AddressUse use) {
    const core::Result<asio::ip::tcp::endpoint> endpoint = endpoint_of(address);
    if (!endpoint) {
      return endpoint.error();
    }
    boost::system::error_code error;
    open_listener(*endpoint, use, error);
    if (error) {
      boost::system::error_code ignored;
      acceptor_.close(ignored);
      return cannot_listen(address, error);
    }
    start_task(acceptor_.get_executor(), "http server accept", accept_loop(shared_from_this()));
    return {};
  }

  core::Address local_address() const {
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint = acceptor_.local_endpoint(error);
    return error ? last_address_ : core::Address{endpoint.address().to_string(), endpoint.port()};
  }

  void stop_accepting() {
    if (state_->stopping) {
      return;
    }
    state_->stopping = true;
    accept_pending();
    close_listener();
    for (ServerConnection* connection : state_->connections) {
      connection->begin_drain();
    }
  }

  void abort() {
    state_->stopping = true;
    close_listener();
    // A reset does not end the connection's coroutine at once, so the set stays.
    for (ServerConnection* connection : state_->connections) {
      connection->reset();
    }
  }

  bool idle() const {
    const bool drained = !state_->stopping || state_->connections.empty();
    return state_->requests_in_flight == 0 && drained;
  }

  static asio::awaitable<bool> wait_until_idle(std::shared_ptr<Implementation> self,
                                               core::Duration limit) {
    const core::MonotonicTime deadline = monotonic_now() + limit;
    while (!self->idle() && monotonic_now() < deadline) {
      self->changed_.expires_after(deadline - monotonic_now());
      co_await self->changed_.async_wait(kAwaitTuple);
    }
    co_return self->idle();
  }

  std::size_t requests_in_flight() const { return state_->requests_in_flight; }
  void reset_stalled(std::uint64_t bytes) { state_->reset_stalled(bytes); }
  void reset_stalled_uploads() { state_->reset_stalled_uploads(); }

 private:
  void open_listener(const asio::ip::tcp::endpoint& endpoint, AddressUse use,
                     boost::system::error_code& error) {
    bind_listener(acceptor_, endpoint, use, error);
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      acceptor_.non_blocking(true, error);
    }
  }

  void close_listener() {
    last_address_ = local_address();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  /// Static, as a coroutine starts late: its parameter holds the object from the
  /// call on, a copy made in its body would come too late.
  static asio::awaitable<void> accept_loop(std::shared_ptr<Implementation> self) {
    while (self->acceptor_.is_open()) {
      auto [error, socket] = co_await self->acceptor_.async_accept(kAwaitTuple);
      if (!error) {
        self->serve(std::move(socket));
        continue;
      }
      if (self->acceptor_.is_open()) {
        self->state_->counters.accept_errors.Increment();
        asio::steady_timer pause(self->acceptor_.get_executor(), kAcceptPause);
        co_await pause.async_wait(kAwaitTuple);
      }
    }
  }

  /// Takes in the connections that the kernel has completed already: closing
  /// the listener would reset them.
  void accept_pending() {
    boost::system::error_code error;
    while (acceptor_.is_open() && !error) {
      asio::ip::tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) {
        serve(std::move(socket));
      }
    }
  }

  void serve(asio::ip::tcp::socket socket) {
    if (state_->connections.size() >= state_->limits.max_connections) {
      refuse(std::move(socket));
      return;
    }
    const auto connection = std::make_shared<ServerConnection>(state_, std::move(socket));
    start_task(acceptor_.get_executor(), "http server connection",
               ServerConnection::run(connection));
  }

  void refuse(asio::ip::tcp::socket socket) {
    state_->counters.refused_connection_limit.Increment();
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    const std::string text = too_many_connections(state_->limits.refusal_headers);
    socket.write_some(asio::buffer(text), ignored);
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer changed_;
  std::shared_ptr<ServerState> state_;
  core::Address last_address_;
};

core::Result<void> check_address_free(const core::Address& address) {
  const core::Result<asio::ip::tcp::endpoint> endpoint = endpoint_of(address);
  if (!endpoint) {
    return endpoint.error();
  }
  asio::io_context context;
  asio::ip::tcp::acceptor probe(context);
  boost::system::error_code error;
  bind_listener(probe, *endpoint, AddressUse::kExclusive, error);
  if (error) {
    return cannot_listen(address, error);
  }
  return {};
}

Server::Server(asio::any_io_executor executor, std::string name, ServerLimits limits,
               RequestHandler& handler, core::Metrics& metrics)
    : implementation_(std::make_shared<Implementation>(std::move(executor), std::move(name), limits,
                                                       handler, metrics)) {
  implementation_->begin();
}

Server::~Server() {
  implementation_->abort();
}

core::Result<void> Server::listen(const core::Address& address, AddressUse use) {
  return implementation_->listen(address, use);
}
core::Address Server::local_address() const {
  return implementation_->local_address();
}
void Server::stop_accepting() {
  implementation_->stop_accepting();
}
asio::awaitable<bool> Server::wait_until_idle(core::Duration limit) {
  return Implementation::wait_until_idle(implementation_, limit);
}
void Server::abort() {
  implementation_->abort();
}
std::size_t Server::requests_in_flight() const {
  return implementation_->requests_in_flight();
}
void Server::reset_stalled(std::uint64_t bytes) {
  implementation_->reset_stalled(bytes);
}
void Server::reset_stalled_uploads() {
  implementation_->reset_stalled_uploads();
}

}  // namespace stoneport::http
