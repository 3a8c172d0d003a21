#include "http/client_connection.hpp"

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kMostIdlePerAddress = 64;
/// Below the server's own idle timeout, so that it seldom closes first.
constexpr core::Duration kLongestIdle = std::chrono::seconds(30);
constexpr core::Duration kSweepInterval = std::chrono::seconds(5);

prometheus::Counter& client_counter(core::Metrics& metrics, const std::string& client,
                                    const std::string& suffix, const std::string& help) {
  return metrics.counter("stoneport_http_client_" + suffix, help, {{"client", client}});
}

}  // namespace

ClientCounters::ClientCounters(core::Metrics& metrics, const std::string& client)
    : requests(client_counter(metrics, client, "requests_total", "Requests begun")),
      connections_opened(
          client_counter(metrics, client, "connections_opened_total", "Connections established")),
      connections_reused(client_counter(metrics, client, "connections_reused_total",
                                        "Requests on a kept connection")),
      connections_closed(
          client_counter(metrics, client, "connections_closed_total", "Connections closed")),
      idle_connections_dropped(client_counter(metrics, client, "idle_connections_dropped_total",
                                              "Kept connections found closed or too old")),
      connect_failures(client_counter(metrics, client, "connect_failures_total",
                                      "Connections that were refused or timed out")),
      deadlines_exceeded(client_counter(metrics, client, "deadlines_exceeded_total",
                                        "Exchanges ended by their deadline")),
      truncated_responses(client_counter(metrics, client, "truncated_responses_total",
                                         "Responses whose connection ended first")),
      malformed_responses(client_counter(metrics, client, "malformed_responses_total",
                                         "Responses that broke the protocol")),
      large_responses(client_counter(metrics, client, "large_responses_total",
                                     "Responses beyond a size limit")),
      failures_before_response(client_counter(metrics, client, "failures_before_response_total",
                                              "Connections that ended before a response began")),
      request_body_bytes(client_counter(metrics, client, "request_body_bytes_total",
                                        "Bytes of request bodies written")),
      response_body_bytes(client_counter(metrics, client, "response_body_bytes_total",
                                         "Bytes of response bodies read")) {}

ClientConnection::ClientConnection(asio::any_io_executor executor, core::Address address,
                                   std::shared_ptr<ClientCounters> counters)
    : address_(std::move(address)),
      counters_(std::move(counters)),
      socket_(executor),
      buffer_(SendOptions().max_header_bytes + kBufferSpareBytes),
      timer_(executor, [this] { close(); }) {}

ClientConnection::~ClientConnection() {
  close();
}

asio::awaitable<boost::system::error_code> ClientConnection::connect() {
  boost::system::error_code error;
  const asio::ip::address ip = asio::ip::make_address(address_.ip, error);
  if (error) {
    co_return error;
  }
  const asio::ip::tcp::endpoint endpoint(ip, address_.port);
  auto [failure] = co_await socket_.async_connect(endpoint, kAwaitTuple);
  if (failure) {
    co_return failure;
  }
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  connected_ = true;
  counters_->connections_opened.Increment();
  co_return failure;
}

bool ClientConnection::is_usable() {
  char byte = 0;
  boost::system::error_code error;
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block && buffer_.size() == 0;
}

void ClientConnection::close() {
  if (!socket_.is_open()) {
    return;
  }
  if (connected_) {
    counters_->connections_closed.Increment();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
}

ConnectionPool::ConnectionPool(std::shared_ptr<ClientCounters> counters)
    : counters_(std::move(counters)) {}

std::unique_ptr<ClientConnection> ConnectionPool::take(const core::Address& address) {
  drop_old(monotonic_now());
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::deque<Idle>& connections = found->second;
  while (!connections.empty()) {
    std::unique_ptr<ClientConnection> connection = std::move(connections.back().connection);
    connections.pop_back();
    if (connection->is_usable()) {
      counters_->connections_reused.Increment();
      connection->mark_reused();
      return connection;
    }
    counters_->idle_connections_dropped.Increment();
  }
  return nullptr;
}

void ConnectionPool::keep(std::unique_ptr<ClientConnection> connection) {
  connection->timer().disarm();
  shrink_when_empty(connection->buffer());
  const core::MonotonicTime now = monotonic_now();
  drop_old(now);
  std::deque<Idle>& connections = idle_[connection->address()];
  if (connections.size() >= kMostIdlePerAddress) {
    connections.pop_front();
    counters_->idle_connections_dropped.Increment();
  }
  connections.push_back({std::move(connection), now});
}

void ConnectionPool::forget(const core::Address& address) {
  idle_.erase(address);
}

bool ConnectionPool::keeps_connection(const core::Address& address) const {
  const auto found = idle_.find(address);
  return found != idle_.end() && !found->second.empty();
}

void ConnectionPool::drop_old(core::MonotonicTime now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::deque<Idle>& connections = entry->second;
    const std::size_t before = connections.size();
    std::erase_if(connections, [now](const Idle& idle) {
      return now - idle.since > kLongestIdle || !idle.connection->is_usable();
    });
    counters_->idle_connections_dropped.Increment(static_cast<double>(before - connections.size()));
    entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace stoneport::http
