#include "rollout/over_sampling.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stoneport::rollout {

std::uint32_t spare_count(std::uint32_t samples_per_prompt, double share) {
  if (!(share > 0)) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::ceil(share * samples_per_prompt));
}

std::optional<core::SlotId> slot_for_spare(const std::vector<OpenSlot>& open) {
  const auto least =
      std::min_element(open.begin(), open.end(), [](const OpenSlot& left, const OpenSlot& right) {
        return std::tie(left.running, left.tokens_so_far, left.slot) <
               std::tie(right.running, right.tokens_so_far, right.slot);
      });
  if (least == open.end()) {
    return std::nullopt;
  }
  return least->slot;
}

}  // namespace stoneport::rollout
