/// \file
/// Reads the tenant, priority, idempotency key and repeatability off the
/// request's header fields.
#pragma once

#include "filters/filter.hpp"

namespace stoneport::filters {

/// \return what \p headers say; kInvalidArgument for a value that breaks its form.
core::Result<CallerIdentity> parse_identity(const http::HeaderMap& headers);

class IdentityFilter : public Filter {
 public:
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;
};

}  // namespace stoneport::filters
