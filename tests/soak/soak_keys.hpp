/// \file
/// The tenants of the soak and their keys: two a tenant, the older one of which is taken away
/// whenever a new one comes. Plain code.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace stoneport::tests {

class SoakKeys {
 public:
  using KeysByTenant = std::map<std::string, std::vector<std::string>>;

  SoakKeys() {
    for (const char* tenant : {"north", "south"}) {
      add(tenant);
      add(tenant);
    }
  }
  /// Gives \p tenant a new key in the place of its older one.
  void rotate(const std::string& tenant) {
    std::vector<std::string>& keys = held_.at(tenant);
    revoked_.push_back(keys.front());
    keys.erase(keys.begin());
    add(tenant);
  }
  const KeysByTenant& held() const { return held_; }
  /// \return the newer key of \p tenant, or the one before it.
  const std::string& key_of(const std::string& tenant, bool newer) const {
    return newer ? held_.at(tenant).back() : held_.at(tenant).front();
  }
  const std::vector<std::string>& revoked() const { return revoked_; }

 private:
  void add(const std::string& tenant) {
    held_[tenant].push_back("key-" + tenant + "-" + std::to_string(++made_));
  }

  KeysByTenant held_;
  std::vector<std::string> revoked_;
  int made_ = 0;
};

}  // namespace stoneport::tests
