/// \file
/// The tenants of a configuration and their API keys. An immutable part of the routing
/// snapshot. Keys are secrets: nothing here hands one out, and no fault names one.
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

/// Longer keys are refused and never compared.
inline constexpr std::size_t kLongestKeyBytes = 512;

struct Tenant {
  core::TenantName name;
  std::optional<std::uint32_t> priority;  ///< goes before the route's; 0 is served first
  eligibility::Regions regions = {};      ///< where its requests may be served; empty: anywhere
};

/// A tenant as a configuration describes it.
struct TenantDefinition {
  Tenant tenant;
  std::vector<std::string> keys;
};

class TenantTable {
 public:
  /// Without tenants: no request needs a key.
  TenantTable() = default;
  /// Keys that are empty, too long or held by two tenants are nobody's; so is a tenant without
  /// a name. faults() tells of each, and the rest is in force.
  explicit TenantTable(const std::vector<TenantDefinition>& definitions);

  /// \return whether a request needs a key, unless its route is public.
  bool requires_keys() const { return requires_keys_; }
  /// Takes the same time for every wrong key of one length.
  /// \return the holder of \p key, or null.
  const Tenant* holder_of(std::string_view key) const;
  /// \return the tenant named \p name, or null.
  const Tenant* find(const core::TenantName& name) const;
  std::size_t size() const { return tenants_.size(); }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  /// \return what is wrong with the configuration's tenants; no text holds a key.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Credential {
    std::string key;
    std::size_t tenant = 0;  ///< index into tenants_
    bool is_shared = false;  ///< two tenants hold it: it is nobody's
  };
  void add_key(const std::string& key, std::size_t tenant);

  bool requires_keys_ = false;
  std::vector<Tenant> tenants_;
  std::map<core::TenantName, std::size_t> by_name_;
  std::unordered_map<std::uint64_t, std::vector<Credential>> by_digest_;
  std::vector<std::string> faults_;
};

}  // namespace stoneport::tenants
