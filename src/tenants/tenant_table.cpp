#include "tenants/tenant_table.hpp"

#include <random>

#include "core/hash.hpp"

namespace stoneport::tenants {
namespace {

/// Hashes with a seed drawn once per process, so that nobody can choose keys that collide.
std::uint64_t digest_of(std::string_view key) {
  static const std::uint64_t seed = [] {
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
  }();
  return core::hash64(key, seed);
}

/// \return whether both are equal, in a time that does not depend on where they differ.
bool same_secret(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t index = 0; index < left.size(); ++index) {
    difference |=
        static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
  }
  return difference == 0;
}

}  // namespace

TenantTable::TenantTable(const std::vector<TenantDefinition>& definitions) : requires_keys_(true) {
  for (const TenantDefinition& definition : definitions) {
    if (definition.tenant.name.empty()) {
      faults_.emplace_back("a tenant has no name: its keys are not accepted");
      continue;
    }
    const auto [known, is_new] = by_name_.try_emplace(definition.tenant.name, tenants_.size());
    if (is_new) {
      tenants_.push_back(definition.tenant);
    } else {
      faults_.push_back("tenant " + definition.tenant.name.value() +
                        " is defined twice: its keys are combined");
    }
    for (const std::string& key : definition.keys) {
      add_key(key, known->second);
    }
  }
}

void TenantTable::add_key(const std::string& key, std::size_t tenant) {
  const std::string& name = tenants_[tenant].name.value();
  if (key.empty() || key.size() > kLongestKeyBytes) {
    faults_.push_back("tenant " + name + " has a key that is " +
                      (key.empty() ? "empty" : "too long") + ": it is not accepted");
    return;
  }
  std::vector<Credential>& credentials = by_digest_[digest_of(key)];
  for (Credential& credential : credentials) {
    if (!same_secret(credential.key, key)) {
      continue;
    }
    if (credential.tenant != tenant) {
      credential.is_shared = true;
      faults_.push_back("tenants " + tenants_[credential.tenant].name.value() + " and " + name +
                        " have the same key: it is not accepted");
    }
    return;
  }
  credentials.push_back({key, tenant});
}

const Tenant* TenantTable::find_by_key(std::string_view key) const {
  if (key.empty() || key.size() > kLongestKeyBytes) {
    return nullptr;
  }
  const auto found = by_digest_.find(digest_of(key));
  if (found == by_digest_.end()) {
    return nullptr;
  }
  const Tenant* holder = nullptr;
  for (const Credential& credential : found->second) {
    if (same_secret(credential.key, key) && !credential.is_shared) {
      holder = &tenants_[credential.tenant];
    }
  }
  return holder;
}

const Tenant* TenantTable::find(const core::TenantName& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace stoneport::tenants
