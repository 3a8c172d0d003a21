/// \file
/// Lease operations that a controller needs: declaring the leases it should hold, and
/// obtaining the fencing epoch before each effect. Control thread only.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "core/identifiers.hpp"

namespace stoneport::controllers {

class FencedOwnership {
 public:
  virtual ~FencedOwnership() = default;
  /// Replaces the set of leases that this controller should hold.
  virtual void set_wanted(std::set<std::string> names) = 0;
  /// \return the fencing epoch for an effect that the receiver checks against the epoch and
  /// that may safely happen twice; none when no such effect is allowed now
  virtual std::optional<core::Epoch> fenced_epoch(const std::string& name) const = 0;
};

}  // namespace stoneport::controllers
