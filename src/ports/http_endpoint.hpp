/// \file
/// What the HTTP clients of the ports share: one call to one address, and how
/// its failures map to errors. Lives on the thread of its http::Client.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "http/client.hpp"

namespace stoneport::ports {

/// Whether a call may change something on the other side. It decides what a
/// lost answer means.
enum class CallKind { kRead, kEffect };

struct EndpointSettings {
  core::Duration timeout = std::chrono::seconds(5);  ///< of a call without a deadline of its own
  core::Duration connect_timeout = std::chrono::seconds(1);
  std::uint64_t max_answer_bytes = std::uint64_t{64} << 20;
};

/// \return the error that a failed exchange stands for. An effect that may have
/// been sent is kOutcomeUnknown, one that was not is kUnavailable.
core::Error error_of(const http::ClientError& failure, CallKind kind);

/// \return the error that a status of 300 or above stands for, with its
/// Retry-After. 429 and 503 mean that nothing took effect; other 5xx leave an
/// effect open.
core::Error error_of(const http::Response& response, CallKind kind);

class HttpEndpoint {
 public:
  /// \p client and \p time outlive the endpoint.
  HttpEndpoint(http::Client& client, core::Address address, const core::TimeSource& time,
               EndpointSettings settings = {});

  boost::asio::awaitable<core::Result<std::string>> get(std::string target) const;
  boost::asio::awaitable<core::Result<std::string>> post(std::string target, std::string body,
                                                         CallKind kind) const;
  boost::asio::awaitable<core::Result<std::string>> put(std::string target, std::string body,
                                                        std::string content_type) const;
  boost::asio::awaitable<core::Result<std::string>> erase(std::string target) const;
  /// Sends \p request and ends at \p deadline.
  /// \return the body of a 2xx answer.
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
