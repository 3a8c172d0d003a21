/// \file
/// Common base of the ports' HTTP clients: makes one call to one address and maps failures to
/// errors. Use it on the thread of its http::Client only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "http/client.hpp"

namespace stoneport::ports {

/// Whether a call may have side effects on the server, which determines the error code of a lost
/// answer.
enum class CallKind { kRead, kEffect };

struct EndpointSettings {
  core::Duration timeout = std::chrono::seconds(5);  ///< default, for calls without a deadline
  core::Duration connect_timeout = std::chrono::seconds(1);
  std::uint64_t max_answer_bytes = std::uint64_t{64} << 20;
};

/// \return the error for a failed exchange. A kEffect call gives kOutcomeUnknown if the request may
/// have been sent and kUnavailable if not.
core::Error error_of(const http::ClientError& failure, CallKind kind);

/// \return the error for a response with a status of 300 or above, including its Retry-After. 429
/// and 503 mean that nothing took effect; after other 5xx the outcome of an effect is unknown.
core::Error error_of(const http::Response& response, CallKind kind);

class HttpEndpoint {
 public:
  /// \p client and \p time must outlive the endpoint.
  HttpEndpoint(http::Client& client, core::Address address, const core::TimeSource& time,
               EndpointSettings settings = {});

  boost::asio::awaitable<core::Result<std::string>> get(std::string target) const;
  boost::asio::awaitable<core::Result<std::string>> post(std::string target, std::string body,
                                                         CallKind kind) const;
  boost::asio::awaitable<core::Result<std::string>> put(std::string target, std::string body,
                                                        std::string content_type) const;
  boost::asio::awaitable<core::Result<std::string>> erase(std::string target) const;
  /// Sends \p request and waits for the answer until \p deadline.
  /// \return the body of a 2xx answer; otherwise an error, see error_of().
  boost::asio::awaitable<core::Result<std::string>> call(http::Request request, CallKind kind,
                                                         core::MonotonicTime deadline) const;

  core::MonotonicTime default_deadline() const { return time_->now() + settings_.timeout; }
  http::SendOptions options(core::MonotonicTime deadline) const;
  http::Client& client() const { return *client_; }
  const core::Address& address() const { return address_; }

 private:
  http::Client* client_;
  core::Address address_;
  const core::TimeSource* time_;
  EndpointSettings settings_;
};

/// \return a request with a JSON body.
http::Request json_request(std::string method, std::string target, std::string body);

}  // namespace stoneport::ports
