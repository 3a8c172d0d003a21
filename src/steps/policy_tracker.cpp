#include "steps/policy_tracker.hpp"

namespace stoneport::steps {

void PolicyTracker::observe(const core::PolicyName& policy, core::WeightVersion version) {
  Entry& entry = policies_[policy];
  if (version > entry.current) {
    entry.current = version;
    entry.publication_rate.published(version, dependencies_.time.now());
  }
}

core::WeightVersion PolicyTracker::current(const core::PolicyName& policy) {
  observe(policy, dependencies_.policies.newest(policy));
  return policies_[policy].current;
}

}  // namespace stoneport::steps
