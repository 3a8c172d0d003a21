#include "rollout/event_ownership.hpp"

#include <algorithm>

namespace stoneport::rollout {

void EventOwnership::grant(core::Epoch epoch) {
  granted_ = std::max(granted_, epoch);
}

EventOwnership::Opening EventOwnership::open(const core::EventName& event, core::Epoch epoch_seen) {
  const core::Epoch ours = epoch_of(event);
  if (ours != core::Epoch() && epoch_seen <= ours) {
    return Opening{ours, false};
  }
  const core::Epoch taken = std::max(granted_, epoch_seen.next());
  owned_[event] = taken;
  return Opening{taken, epoch_seen != core::Epoch()};
}

bool EventOwnership::is_fenced(const core::EventName& event, core::Epoch epoch_seen) const {
  return epoch_of(event) < epoch_seen;
}

core::Epoch EventOwnership::epoch_of(const core::EventName& event) const {
  const auto found = owned_.find(event);
  return found == owned_.end() ? core::Epoch() : found->second;
}

}  // namespace stoneport::rollout
