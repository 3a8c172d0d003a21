/// \file
/// Published versions that a test sets: the same one for every policy.
#pragma once

#include "controllers/policy_versions.hpp"

namespace stoneport::support {

class FakePolicyVersions : public controllers::PolicyVersions {
 public:
  core::WeightVersion version;
  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName,
                                                     core::WeightVersion) override {
    co_return core::Result<void>{};
  }
  core::WeightVersion newest(const core::PolicyName&) const override { return version; }
  std::map<core::PolicyName, core::WeightVersion> all() const override {
    return {{core::PolicyName("policy"), version}};
  }
  void on_change(std::function<void()>) override {}
};

}  // namespace stoneport::support
