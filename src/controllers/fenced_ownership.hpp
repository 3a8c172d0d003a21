/// \file
/// What a controller needs of leases: to name those it should hold, and to ask
/// for the fencing epoch before each effect. Control thread only.
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
  /// \return the epoch under which an effect that the other side fences, and
  /// that may happen twice, is allowed now; nothing when it is not.
  virtual std::optional<core::Epoch> fenced_epoch(const std::string& name) const = 0;
};

}  // namespace stoneport::controllers
