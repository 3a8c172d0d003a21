#include "weights/load_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stoneport::weights {

std::vector<core::ReplicaId> plan_loads(const LoadPlanInput& input,
                                        const LoadPlanSettings& settings) {
  std::uint32_t loading = input.loading_elsewhere;
  std::uint32_t newest = 0;
  std::vector<const ReplicaVersion*> candidates;
  for (const ReplicaVersion& replica : input.replicas) {
    loading += replica.loading ? 1 : 0;
    const bool has_newest = replica.version >= input.wanted;
    newest += has_newest || replica.loading ? 1 : 0;
    if (!has_newest && !replica.loading && replica.available) {
      candidates.push_back(&replica);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const ReplicaVersion* left, const ReplicaVersion* right) {
                     return std::tie(left->version, left->running) <
                            std::tie(right->version, right->running);
                   });
  const auto newest_wanted = static_cast<std::uint32_t>(
      std::ceil(settings.newest_share * static_cast<double>(input.replicas.size())));
  std::vector<core::ReplicaId> orders;
  for (const ReplicaVersion* candidate : candidates) {
    const bool too_old = candidate->version < input.oldest_allowed;
    if (loading >= settings.most_at_once || (!too_old && newest >= newest_wanted)) {
      break;
    }
    orders.push_back(candidate->id);
    ++loading;
    ++newest;
  }
  return orders;
}

}  // namespace stoneport::weights
