/// \file
/// Connections of the client and the pool that keeps them. Private to src/http;
/// lives on the client's thread.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>

#include "http/beast_conversion.hpp"
#include "http/client.hpp"
#include "http/deadline_timer.hpp"

namespace stoneport::http {

struct ClientCounters {
  ClientCounters(core::Metrics& metrics, const std::string& client);
  prometheus::Counter& requests;
  prometheus::Counter& connections_opened;
  prometheus::Counter& connections_reused;
  prometheus::Counter& connections_closed;
  prometheus::Counter& idle_connections_dropped;
  prometheus::Counter& connect_failures;
  prometheus::Counter& deadlines_exceeded;
  prometheus::Counter& truncated_responses;
  prometheus::Counter& malformed_responses;
  prometheus::Counter& large_responses;
  prometheus::Counter& failures_before_response;
  prometheus::Counter& request_body_bytes;
  prometheus::Counter& response_body_bytes;
};

/// One connection. Its deadline closes the socket, which ends whatever waits on it.
class ClientConnection {
 public:
  ClientConnection(boost::asio::any_io_executor executor, core::Address address,
                   std::shared_ptr<ClientCounters> counters);
  ~ClientConnection();

  /// \return the error of opening, or success; limited by the timer's deadline.
  boost::asio::awaitable<boost::system::error_code> connect();
  /// \return whether the other side neither closed nor sent anything meanwhile.
  bool is_usable();
  void close();
  /// Set when the connection is taken for another exchange.
  void mark_reused() { reused_ = true; }
  bool reused() const { return reused_; }

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }
  DeadlineTimer& timer() { return timer_; }
  const core::Address& address() const { return address_; }
  ClientCounters& counters() { return *counters_; }

 private:
  core::Address address_;
  std::shared_ptr<ClientCounters> counters_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  DeadlineTimer timer_;
  bool connected_ = false;
  bool reused_ = false;
};

/// Idle connections by address.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::shared_ptr<ClientCounters> counters);
  /// \return a connection that is still open, or null.
  std::unique_ptr<ClientConnection> take(const core::Address& address);
  void keep(std::unique_ptr<ClientConnection> connection);
  void forget(const core::Address& address);
  bool keeps_connection(const core::Address& address) const;

 private:
  struct Idle {
    std::unique_ptr<ClientConnection> connection;
    core::MonotonicTime since;
  };
  void drop_old(core::MonotonicTime now);

  std::shared_ptr<ClientCounters> counters_;
  std::unordered_map<core::Address, std::deque<Idle>> idle_;
  core::MonotonicTime next_sweep_{};
};

}  // namespace stoneport::http
