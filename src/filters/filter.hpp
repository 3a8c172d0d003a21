/// \file
/// The request filter chain. Each filter decides on a request and either hands
/// it to the rest of the chain or ends it. Filters belong to one traffic thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "config/configuration.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "filters/completion_request.hpp"
#include "filters/outcome.hpp"
#include "http/server.hpp"

namespace stoneport::filters {

/// What the caller says of itself and its request, by header fields.
struct CallerIdentity {
  core::TenantName tenant;
  std::optional<std::int32_t> priority;
  std::optional<std::string> idempotency_key;
  std::optional<bool> repeatable;
};

/// One request on its way through the chain. The head, body and writer belong to
/// the server and outlive the chain; filters may put their own in front.
struct RequestContext {
  const http::RequestHead* head = nullptr;
  http::BodySource* body = nullptr;
  /// Bytes of the body; nothing when it comes chunked.
  std::optional<std::uint64_t> content_length;
  http::ResponseWriter* response = nullptr;
  core::MonotonicTime arrived_at;

  CallerIdentity caller;

  /// Keeps the template alive that \a service_template points to.
  std::shared_ptr<const config::Configuration> configuration;
  core::ServiceName service;
  std::string target;  ///< as the back end gets it
  const config::ServiceTemplate* service_template = nullptr;
  bool repeatable = false;

  std::optional<CompletionRequest> completion;

  core::MonotonicTime deadline;
  std::int32_t priority = 0;
  std::uint32_t tenant_concurrency = 0;  ///< over all threads of this daemon
};

class FilterChain;

/// For filters that are no coroutines. \return \p outcome when awaited.
inline boost::asio::awaitable<Outcome> ended_with(Outcome outcome) {
  co_return outcome;
}

class Filter {
 public:
  virtual ~Filter() = default;
  /// Treats \p request, usually with \p rest. A filter that does nothing after
  /// the rest returns the rest's own awaitable and takes no coroutine frame.
  virtual boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) = 0;
};

/// The filters still ahead of a request. A view; the filters outlive it.
class FilterChain {
 public:
  explicit FilterChain(std::span<Filter* const> filters) : filters_(filters) {}
  /// Hands \p request to the next filter. The last filter must not call it.
  boost::asio::awaitable<Outcome> proceed(RequestContext& request) const {
    return filters_.front()->handle(request, FilterChain(filters_.subspan(1)));
  }

 private:
  std::span<Filter* const> filters_;
};

}  // namespace stoneport::filters
