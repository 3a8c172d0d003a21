/// \file
/// HTTP/1.1 client with kept-alive connections. One per thread; never shared.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/result.hpp>
#include <memory>
#include <optional>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "http/body.hpp"
#include "http/message.hpp"

namespace stoneport::http {

/// How much of a request may have reached the other side.
enum class RequestProgress {
  kNothingSent,  ///< no byte was handed to the socket: truly not run
  kMaybeSent,    ///< at least one byte was: it may have run
};

struct ClientError {
  core::Error error;
  RequestProgress progress = RequestProgress::kNothingSent;
  /// The request went out on a kept connection that ended before a response began: the other side
  /// may have closed it before the request arrived.
  bool stale_connection = false;
};

[[noreturn]] inline void throw_exception_from_error(const ClientError& error,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed exchange: " + error.error.message);
}

template <class T>
using ClientResult = boost::system::result<T, ClientError>;

/// A response whose head has arrived. Destroying it before the body's end
/// closes the connection; after the end the connection is kept for reuse.
class ClientResponse {
 public:
  virtual ~ClientResponse() = default;
  virtual const ResponseHead& head() const = 0;
  virtual BodySource& body() = 0;
  /// \return the bytes of the body that were not read yet; nullopt if its length is not known.
  virtual std::optional<std::uint64_t> body_bytes_left() const = 0;
  /// Moves the deadline of the exchange.
  virtual void set_deadline(core::MonotonicTime deadline) = 0;
  /// Closes the connection; a pending body read ends with kCancelled.
  virtual void cancel() = 0;
};

struct SendOptions {
  /// The exchange, body included, ends with kDeadlineExceeded at this point.
  core::MonotonicTime deadline;
  /// Longest time for the connection alone.
  core::Duration connect_timeout = std::chrono::seconds(2);
  /// Never use a kept connection. For requests that must not be sent twice: a
  /// kept connection may turn out closed only after the request was written.
  bool fresh_connection = false;
  std::uint64_t max_body_bytes = std::uint64_t{1} << 30;
  /// Of the response's head, and of all interim heads before it together.
  std::uint32_t max_header_bytes = 64 * 1024;
};

/// The metrics must outlive the execution context of its executor.
class Client {
 public:
  /// \param name label of the client's metrics, such as "engine"
  Client(boost::asio::any_io_executor executor, std::string name, core::Metrics& metrics);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends a request and reads the response's head. The body is read by the
  /// caller. A request is sent once: a retry is the caller's decision.
  /// Without \p content_length the body goes out chunked; 0 means no body.
  /// \param body kept until the response is destroyed: a response may come before
  /// its request has been sent whole, and the rest is sent while it is read
  boost::asio::awaitable<ClientResult<std::unique_ptr<ClientResponse>>> send(
      core::Address address, RequestHead head, std::unique_ptr<BodySource> body,
      std::optional<std::uint64_t> content_length, SendOptions options);
  /// The same for a body that belongs to the caller.
  /// \param body must outlive the response, not only this call
  boost::asio::awaitable<ClientResult<std::unique_ptr<ClientResponse>>> send(
      core::Address address, RequestHead head, BodySource& body,
      std::optional<std::uint64_t> content_length, SendOptions options);

  /// Sends a whole request and reads the whole response.
  boost::asio::awaitable<ClientResult<Response>> fetch(core::Address address, Request request,
                                                       SendOptions options);

  /// Opens a connection and closes it. \return whether it was refused: nothing listens there.
  boost::asio::awaitable<bool> refuses_connections(core::Address address, core::Duration limit);

  /// Closes kept connections to \p address, for example when it is leaving.
  void forget(const core::Address& address);
  /// \return whether an idle connection to \p address is kept; it may turn out closed.
  bool keeps_connection(const core::Address& address) const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace stoneport::http
