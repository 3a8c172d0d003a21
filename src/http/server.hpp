/// \file
/// HTTP/1.1 server on one io_context. Each traffic thread owns one Server for
/// the same address (AddressUse::kShared); a Server and its connections live on
/// that thread alone and take no lock.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/metrics.hpp"
#include "http/body.hpp"
#include "http/message.hpp"
#include "http/unsent_bytes.hpp"

namespace stoneport::http {

/// Writes one response. A handler that returns before finish() has succeeded
/// aborts the connection, so that the client sees a cut and never a short body
/// that looks whole.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends the head. Without \p content_length the body goes out chunked.
  /// Content-Length, Transfer-Encoding and Connection are set here and removed
  /// from \p head where the handler put them.
  virtual boost::asio::awaitable<core::Result<void>> start(
      ResponseHead head, std::optional<std::uint64_t> content_length) = 0;
  virtual boost::asio::awaitable<core::Result<void>> write(std::string_view piece) = 0;
  virtual boost::asio::awaitable<core::Result<void>> finish() = 0;
  /// Sends a whole response in one go: start(), write() and finish().
  virtual boost::asio::awaitable<core::Result<void>> send(Response message);
  /// \return whether start() was called.
  virtual bool started() const = 0;
  /// \return whether the client is known to have closed its connection; turns
  /// true while the handler runs (the server watches the socket).
  virtual bool client_gone() const = 0;
  /// Calls \p callback once when client_gone() turns true, at once if it is.
  /// Replaces the callback before it; an empty one removes it. It is dropped
  /// when the handler returns.
  virtual void when_client_gone(std::function<void()> callback) { (void)callback; }
};

/// Has a callback called when the client leaves, for as long as this lives: for callbacks that use
/// what belongs to the coroutine that sets them.
class ClientGoneCallback {
 public:
  ClientGoneCallback(ResponseWriter& response, std::function<void()> callback)
      : response_(response) {
    response_.when_client_gone(std::move(callback));
  }
  ~ClientGoneCallback() { response_.when_client_gone({}); }
  ClientGoneCallback(const ClientGoneCallback&) = delete;
  ClientGoneCallback& operator=(const ClientGoneCallback&) = delete;

 private:
  ResponseWriter& response_;
};

/// Answers the requests of one server, one call per request, on its thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual boost::asio::awaitable<void> handle(const RequestHead& request, BodySource& body,
                                              ResponseWriter& response) = 0;
};

/// Sends a whole response in one go.
boost::asio::awaitable<core::Result<void>> respond(ResponseWriter& response, Response message);
/// Sends \p json with status \p status and content type application/json.
boost::asio::awaitable<core::Result<void>> respond_json(ResponseWriter& response, unsigned status,
                                                        std::string json);
/// \return the JSON error document of the callers' interface:
/// {"code","message","retry_after_ms"}, with a Retry-After header (whole
/// seconds, rounded up) when the error says when to come back.
Response error_response(unsigned status, const core::Error& error);
/// \return the HTTP status that a refusal with \p code carries.
unsigned status_for(core::ErrorCode code);

struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{1} << 30;
  core::Duration head_timeout = std::chrono::seconds(10);      ///< from the first byte of a head
  core::Duration idle_timeout = std::chrono::seconds(60);      ///< between requests
  core::Duration transfer_timeout = std::chrono::seconds(60);  ///< without progress in a body
  core::Duration body_timeout = std::chrono::minutes(30);      ///< for a whole request body
  /// How long a connection between requests stays after stop_accepting(), so
  /// that a request already on its way is answered and not cut.
  core::Duration drain_grace = std::chrono::milliseconds(200);
  std::uint32_t max_connections = 4096;
  UnsentLimits unsent = {};  ///< on what is kept for clients that do not read
  /// Put on the responses with which the server itself refuses a request that
  /// never reaches its handler.
  HeaderMap refusal_headers = {};
};

/// Whether several servers may listen on one address, each getting a part of
/// its connections.
enum class AddressUse {
  kExclusive,  ///< a second listener on the address is refused
  kShared,     ///< with every other server that shares it, whatever its process
};

/// \return kUnavailable when anybody listens on \p address, shared or not. For
/// one that will be shared within the process and with nobody else.
core::Result<void> check_address_free(const core::Address& address);

/// The handler and the metrics must outlive the server and the execution context
/// of its executor: connections that end with the context still count.
class Server {
 public:
  /// \param name label of the server's metrics, such as "caller"
  Server(boost::asio::any_io_executor executor, std::string name, ServerLimits limits,
         RequestHandler& handler, core::Metrics& metrics);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Binds and accepts. Port 0 takes any free one.
  /// \return kUnavailable when the address is taken.
  core::Result<void> listen(const core::Address& address, AddressUse use = AddressUse::kExclusive);
  core::Address local_address() const;
  /// Closes the listener; connections between requests close after the grace of
  /// ServerLimits, those within one finish it with "Connection: close".
  void stop_accepting();
  /// Waits until no request is in flight, and after stop_accepting() until no
  /// connection is left.
  /// \return whether that happened within \p limit.
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit);
  /// Resets every connection and closes the listener at once.
  void abort();
  std::size_t requests_in_flight() const;
  /// Resets connections whose clients have taken nothing of their response for a while, until about
  /// \p bytes less are kept for them. Clients that read are spared.
  void reset_stalled(std::uint64_t bytes);
  /// Resets connections whose clients have begun the body of a request and sent nothing for a
  /// while.
  void reset_stalled_uploads();

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace stoneport::http
