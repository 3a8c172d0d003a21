#include "rollout/start_order.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::rollout {

namespace {
/// Mean length in tokens that is assumed until a sample has finished.
constexpr double kAssumedLength = 256;
}  // namespace

double expected_length(const GroupProgress& group, double usual) {
  const double prior = usual > 0 ? usual : kAssumedLength;
  return (static_cast<double>(group.tokens) + prior) / (group.finished + 1);
}

std::vector<core::SlotId> order_by_expected_length(std::vector<core::SlotId> idle,
                                                   const std::vector<GroupProgress>& groups,
                                                   double usual) {
  const auto rank = [&](core::SlotId slot) {
    const GroupProgress group = slot.prompt < groups.size() ? groups[slot.prompt] : GroupProgress{};
    return std::tuple(-expected_length(group, usual), slot.prompt, slot.sample);
  };
  std::vector<std::pair<std::tuple<double, std::uint32_t, std::uint32_t>, core::SlotId>> ranked;
  ranked.reserve(idle.size());
  for (const core::SlotId slot : idle) {
    ranked.emplace_back(rank(slot), slot);
  }
  std::sort(ranked.begin(), ranked.end());
  std::transform(ranked.begin(), ranked.end(), idle.begin(),
                 [](const auto& entry) { return entry.second; });
  return idle;
}

}  // namespace stoneport::rollout
