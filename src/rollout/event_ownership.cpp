#include "rollout/event_ownership.hpp"

#include <algorithm>

namespace stoneport::rollout {

void EventOwnership::grant(core::Epoch epoch) {
  granted_ = std::max(granted_, epoch);
}

EventOwnership::Opening EventOwnership::open(const core::EventName& event, core::Epoch epoch_seen) {
  Entry& entry = owned_[event];
  const bool is_ours = entry.epoch != core::Epoch() && !entry.lost && epoch_seen <= entry.epoch;
  if (is_ours) {
    return Opening{entry.epoch, false};
  }
  const bool may_be_begun = entry.lost || epoch_seen != core::Epoch();
  entry.epoch = std::max(granted_, std::max(epoch_seen, entry.epoch).next());
  entry.lost = false;
  return Opening{entry.epoch, may_be_begun};
}

void EventOwnership::mark_lost(const core::EventName& event) {
  const auto found = owned_.find(event);
  if (found != owned_.end()) {
    found->second.lost = true;
  }
}

bool EventOwnership::is_fenced(const core::EventName& event, core::Epoch epoch_seen) const {
  return epoch_of(event) < epoch_seen;
}

core::Epoch EventOwnership::epoch_of(const core::EventName& event) const {
  const auto found = owned_.find(event);
  return found == owned_.end() ? core::Epoch() : found->second.epoch;
}

}  // namespace stoneport::rollout
