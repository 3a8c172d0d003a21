/// \file
/// The regions in which a request may be served, cached and stored: the intersection of what its
/// route and its tenant allow.
#pragma once

#include <optional>
#include <set>

#include "core/identifiers.hpp"

namespace stoneport::eligibility {

using Regions = std::set<core::RegionName>;

class RegionBinding {
 public:
  /// Creates an unrestricted binding.
  RegionBinding() = default;
  /// \param route regions allowed by the route; empty allows all
  /// \param tenant regions allowed by the tenant; empty allows all
  RegionBinding(const Regions& route, const Regions& tenant);

  bool is_bound() const { return allowed_.has_value(); }
  /// \return whether no region is allowed, so that the request cannot be served.
  bool allows_none() const { return allowed_ && allowed_->empty(); }
  bool allows(const core::RegionName& region) const {
    return !allowed_ || allowed_->contains(region);
  }
  /// \return the allowed regions; requires is_bound().
  const Regions& allowed() const { return *allowed_; }

 private:
  std::optional<Regions> allowed_;
};

}  // namespace stoneport::eligibility
