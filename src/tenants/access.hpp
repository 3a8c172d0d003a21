/// \file
/// Whether a request may come in, and whose it is. Plain code.
#pragma once

#include <string_view>
#include <vector>

#include "tenants/tenant_table.hpp"

namespace stoneport::tenants {

enum class AccessEnd {
  kGranted,
  kNoKey,      ///< none, or not as "Bearer KEY"
  kManyKeys,   ///< more than one: which counts is not certain
  kUnknownKey  ///< nobody holds it
};
/// \return the name that stands in log lines, such as "unknown_key".
std::string_view to_string(AccessEnd end);

struct Access {
  AccessEnd end = AccessEnd::kGranted;
  core::TenantName tenant;  ///< empty where nobody's key came with the request
};

/// \param authorization every value of the request's credentials field
/// \param is_public whether the route serves requests without a key
Access check_access(const TenantTable& tenants, const std::vector<std::string_view>& authorization,
                    bool is_public);

/// \return the key in "Bearer KEY", the scheme in any case; nothing for other text.
std::optional<std::string_view> bearer_key(std::string_view authorization);

}  // namespace stoneport::tenants
