/// \file
/// FencedOwnership by the daemon's LeaseKeeper, which holds these leases alone.
#pragma once

#include "controllers/fenced_ownership.hpp"
#include "controllers/lease_keeper.hpp"

namespace stoneport::controllers {

class KeptLeases : public FencedOwnership {
 public:
  explicit KeptLeases(LeaseKeeper& keeper) : keeper_(keeper) {}
  void set_wanted(std::set<std::string> names) override { keeper_.set_wanted(std::move(names)); }
  std::optional<core::Epoch> fenced_epoch(const std::string& name) const override {
    return keeper_.fenced_epoch(name);
  }

 private:
  LeaseKeeper& keeper_;
};

}  // namespace stoneport::controllers
