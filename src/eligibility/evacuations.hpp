/// \file
/// The zones that the operator has evacuated: nothing is sent to replicas there until that is
/// taken back. Plain code; belongs to one thread.
#pragma once

#include <set>

#include "core/identifiers.hpp"

namespace stoneport::eligibility {

class Evacuations {
 public:
  /// Takes in which zones are evacuated now.
  /// \return whether anything changed.
  bool replace(std::set<core::ZoneName> zones);
  bool contains(const core::ZoneName& zone) const { return zones_.contains(zone); }
  const std::set<core::ZoneName>& zones() const { return zones_; }

 private:
  std::set<core::ZoneName> zones_;
};

}  // namespace stoneport::eligibility
