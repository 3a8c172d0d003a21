/// \file
/// One accepted connection: reads requests one after the other, calls the
/// handler, watches for the client's leaving. Private to src/http; lives on the
/// server's thread.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "http/beast_conversion.hpp"
#include "http/deadline_timer.hpp"
#include "http/server.hpp"

namespace stoneport::http {

class ServerConnection;
class ServerResponseWriter;

struct ServerCounters {
  ServerCounters(core::Metrics& metrics, const std::string& server);
  prometheus::Counter& connections_opened;
  prometheus::Counter& connections_closed;
  prometheus::Counter& connections_reset;
  prometheus::Counter& requests;
  prometheus::Counter& request_body_bytes;
  prometheus::Counter& response_body_bytes;
  prometheus::Counter& clients_gone;
  prometheus::Counter& responses_cut;
  prometheus::Counter& unsendable_responses;
  prometheus::Counter& refused_malformed_head;
  prometheus::Counter& refused_large_head;
  prometheus::Counter& refused_slow_head;
  prometheus::Counter& refused_malformed_body;
  prometheus::Counter& refused_large_body;
  prometheus::Counter& refused_connection_limit;
  prometheus::Counter& truncated_requests;
  prometheus::Counter& accept_errors;
  prometheus::Counter& slow_readers_cut;
  prometheus::Counter& slow_senders_cut;
  prometheus::Gauge& unsent_bytes;
};

struct ServerSocket;

/// What a server shares with its connections.
struct ServerState {
  ServerState(std::string name, ServerLimits server_limits, RequestHandler& request_handler,
              core::Metrics& metrics)
      : limits(server_limits),
        handler(request_handler),
        counters(metrics, name),
        unsent(server_limits.unsent) {}

  /// A response of \p bytes begins to go out on \p io; cuts slow readers where too much is kept.
  void begin_unsent(ServerSocket& io, std::uint64_t bytes);
  void note_taken(const ServerSocket& io, std::uint64_t bytes);
  /// Resets stalled connections until about \p bytes less are kept for them.
  void reset_stalled(std::uint64_t bytes);
  /// Resets connections that wait for more of a request's body and got nothing for a while.
  void reset_stalled_uploads();
  void end_unsent(const ServerSocket& io);
  void cut_slow_reader(ServerSocket& slow, const std::string& reason);

  ServerLimits limits;
  RequestHandler& handler;
  ServerCounters counters;
  std::unordered_set<ServerConnection*> connections;
  UnsentBytes unsent;
  std::unordered_map<UnsentBytes::ConnectionId, ServerSocket*> writing;  ///< those in \a unsent
  /// Connections that wait for more of a request's body, and since when.
  std::unordered_map<ServerSocket*, core::MonotonicTime> reading;
  UnsentBytes::ConnectionId last_connection = 0;
  std::size_t requests_in_flight = 0;
  bool stopping = false;
  /// Called when a request or a connection has ended.
  std::function<void()> on_change;
};

/// Socket of one connection with what reading and writing it needs.
struct ServerSocket {
  ServerSocket(boost::asio::ip::tcp::socket accepted, std::size_t buffer_limit,
               UnsentBytes::ConnectionId connection);
  /// Closes it with a reset.
  void reset();
  /// Cancels the read or write that waits.
  void cancel();
  /// \return the bytes in the kernel's send queue that the other side has not acknowledged.
  std::uint64_t send_queue_bytes();

  UnsentBytes::ConnectionId id;  ///< within the server
  std::string caller;            ///< the IP number of the other side
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  DeadlineTimer read_timer;
  DeadlineTimer write_timer;
};

/// Notices that the client closed while a handler runs. Bytes of a pipelined
/// request are read into the connection's buffer, up to its limit.
class ClientWatch : public std::enable_shared_from_this<ClientWatch> {
 public:
  ClientWatch(std::shared_ptr<ServerSocket> io, prometheus::Counter& clients_gone);
  void start();
  void stop();
  /// Also called when a read or write of the handler finds the client gone.
  void mark_gone();
  bool gone() const { return gone_; }
  void set_callback(std::function<void()> callback);

 private:
  void wait();
  void on_readable(std::uint64_t generation, const boost::system::error_code& error);

  std::shared_ptr<ServerSocket> io_;
  prometheus::Counter& clients_gone_;
  boost::asio::cancellation_signal stop_signal_;
  std::function<void()> callback_;
  std::uint64_t generation_ = 0;
  bool active_ = false;
  bool gone_ = false;
};

class ServerConnection {
 public:
  ServerConnection(std::shared_ptr<ServerState> state, boost::asio::ip::tcp::socket socket);
  ~ServerConnection();

  /// Serves requests until \p connection ends, and holds it for that long.
  static boost::asio::awaitable<void> run(std::shared_ptr<ServerConnection> connection);
  /// Begins the grace of a connection that waits for a request.
  void begin_drain();
  void reset();

 private:
  enum class After { kNextRequest, kClose, kLingeringClose, kReset };

  boost::asio::awaitable<bool> wait_for_request();
  boost::asio::awaitable<After> serve_one();
  boost::asio::awaitable<After> refuse_head(boost::system::error_code error);
  boost::asio::awaitable<After> handle(RequestParser& parser);
  boost::asio::awaitable<void> answer_unsendable(const RequestHead& request,
                                                 ServerResponseWriter& response);
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<void> end(After after);

  std::shared_ptr<ServerState> state_;
  std::shared_ptr<ServerSocket> io_;
  std::shared_ptr<ClientWatch> watch_;
  bool waiting_ = false;
};

}  // namespace stoneport::http
