#include "filters/identity_filter.hpp"

#include "core/numbers.hpp"
#include "filters/caller_headers.hpp"

namespace stoneport::filters {
namespace {

constexpr std::size_t kLongestKey = 256;
constexpr std::size_t kLongestTenant = 256;

core::Error invalid(std::string_view header, const std::string& rule) {
  return core::make_error(core::ErrorCode::kInvalidArgument, std::string(header) + " " + rule);
}

}  // namespace

core::Result<CallerIdentity> parse_identity(const http::HeaderMap& headers) {
  CallerIdentity identity;
  if (const auto tenant = headers.find(kTenantHeader)) {
    if (tenant->size() > kLongestTenant) {
      return invalid(kTenantHeader, "is longer than 256 bytes");
    }
    identity.tenant = core::TenantName(std::string(*tenant));
  }
  if (const auto priority = headers.find(kPriorityHeader)) {
    identity.priority = core::parse_number<std::int32_t>(*priority);
    if (!identity.priority) {
      return invalid(kPriorityHeader, "must be a whole number");
    }
  }
  if (const auto key = headers.find(kIdempotencyKeyHeader)) {
    if (key->empty() || key->size() > kLongestKey) {
      return invalid(kIdempotencyKeyHeader, "must have 1 to 256 bytes");
    }
    identity.idempotency_key = std::string(*key);
  }
  if (const auto repeatable = headers.find(kRepeatableHeader)) {
    if (*repeatable != "true" && *repeatable != "false") {
      return invalid(kRepeatableHeader, "must be true or false");
    }
    identity.repeatable = *repeatable == "true";
  }
  return identity;
}

boost::asio::awaitable<Outcome> IdentityFilter::handle(RequestContext& request, FilterChain rest) {
  core::Result<CallerIdentity> identity = parse_identity(request.head->headers);
  if (!identity) {
    return ended_with(not_run(identity.error()));
  }
  request.caller = std::move(*identity);
  return rest.proceed(request);
}

}  // namespace stoneport::filters
