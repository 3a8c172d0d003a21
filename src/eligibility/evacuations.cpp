#include "eligibility/evacuations.hpp"

#include <utility>

namespace stoneport::eligibility {

bool Evacuations::replace(std::set<core::ZoneName> zones) {
  if (zones == zones_) {
    return false;
  }
  zones_ = std::move(zones);
  return true;
}

}  // namespace stoneport::eligibility
