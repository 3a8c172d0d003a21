/// \file
/// The regions in which a request may be served, cached and stored: those of its route and
/// those of its tenant, where they name any. Plain code.
#pragma once

#include <optional>
#include <set>

#include "core/identifiers.hpp"

namespace stoneport::eligibility {

using Regions = std::set<core::RegionName>;

class RegionBinding {
 public:
  /// Binds nothing.
  RegionBinding() = default;
  /// \param route and \p tenant what each allows; empty allows all regions
  RegionBinding(const Regions& route, const Regions& tenant);

  bool is_bound() const { return allowed_.has_value(); }
  /// \return whether no region at all is allowed: such a request cannot be served.
  bool allows_none() const { return allowed_ && allowed_->empty(); }
  bool allows(const core::RegionName& region) const {
    return !allowed_ || allowed_->contains(region);
  }
  /// \return the allowed regions; only where something binds.
  const Regions& allowed() const { return *allowed_; }

 private:
  std::optional<Regions> allowed_;
};

}  // namespace stoneport::eligibility
