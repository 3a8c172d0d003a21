#include "eligibility/region_binding.hpp"

#include <algorithm>
#include <iterator>

namespace stoneport::eligibility {

RegionBinding::RegionBinding(const Regions& route, const Regions& tenant) {
  if (route.empty() && tenant.empty()) {
    return;
  }
  if (route.empty() || tenant.empty()) {
    allowed_ = route.empty() ? tenant : route;
    return;
  }
  allowed_.emplace();
  std::set_intersection(route.begin(), route.end(), tenant.begin(), tenant.end(),
                        std::inserter(*allowed_, allowed_->end()));
}

}  // namespace stoneport::eligibility
