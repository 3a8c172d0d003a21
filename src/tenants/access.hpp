/// \file
/// Authenticates requests by API key. Does no I/O.
#pragma once

#include <string_view>
#include <vector>

#include "tenants/tenant_table.hpp"

namespace stoneport::tenants {

/// Result of the authentication of a request.
enum class AccessOutcome {
  kGranted,
  kNoKey,      ///< no credentials, or not of the form "Bearer KEY"
  kManyKeys,   ///< more than one credentials field, which is ambiguous
  kUnknownKey  ///< no tenant has the key
};
/// \return the name used in log lines, such as "unknown_key".
std::string_view to_string(AccessOutcome end);

/// Outcome of the authentication and the authenticated tenant.
struct Access {
  AccessOutcome end = AccessOutcome::kGranted;
  core::TenantName tenant;  ///< empty if the request had no valid key
};

/// Checks the credentials of a request.
/// \param authorization all values of the request's Authorization field
/// \param is_public whether the route serves requests without a key
Access check_access(const TenantTable& tenants, const std::vector<std::string_view>& authorization,
                    bool is_public);

/// \return the key in "Bearer KEY", with a case-insensitive scheme; nothing for any other text.
std::optional<std::string_view> bearer_key(std::string_view authorization);

}  // namespace stoneport::tenants
