/// \file
/// Tenants of a configuration and their API keys. Immutable part of the routing snapshot. Keys are
/// secrets: no function returns one, and faults do not contain them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/identifiers.hpp"
#include "eligibility/region_binding.hpp"

namespace stoneport::tenants {

/// Maximum length of a key; longer ones are refused without comparison.
inline constexpr std::size_t kLongestKeyBytes = 512;

struct Tenant {
  core::TenantName name;
  std::optional<std::uint32_t> priority;  ///< overrides the route's; 0 is the highest priority
  eligibility::Regions regions = {};  ///< where its requests may be served; empty means anywhere
};

/// Definition of a tenant in a configuration.
struct TenantDefinition {
  Tenant tenant;
  std::vector<std::string> keys;
};

/// Looks up tenants by name and by API key.
class TenantTable {
 public:
  /// Creates a table without tenants, which requires no keys.
  TenantTable() = default;
  /// Ignores tenants without a name, and keys that are empty, too long or held by two tenants.
  /// faults() lists each of them; all other definitions are used.
  explicit TenantTable(const std::vector<TenantDefinition>& definitions);

  /// \return whether requests to routes that are not public need a key.
  bool requires_keys() const { return requires_keys_; }
  /// Takes the same time for all wrong keys of the same length.
  /// \return the tenant with \p key, or null.
  const Tenant* find_by_key(std::string_view key) const;
  /// \return the tenant named \p name, or null.
  const Tenant* find(const core::TenantName& name) const;
  std::size_t size() const { return tenants_.size(); }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  /// \return descriptions of the errors in the tenant definitions, without any keys.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Credential {
    std::string key;
    std::size_t tenant = 0;  ///< index into tenants_
    bool is_shared = false;  ///< held by two tenants, so not accepted
  };
  void add_key(const std::string& key, std::size_t tenant);

  bool requires_keys_ = false;
  std::vector<Tenant> tenants_;
  std::map<core::TenantName, std::size_t> by_name_;
  std::unordered_map<std::uint64_t, std::vector<Credential>> by_digest_;
  std::vector<std::string> faults_;
};

}  // namespace stoneport::tenants
