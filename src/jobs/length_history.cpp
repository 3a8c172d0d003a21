#include "jobs/length_history.hpp"

#include <algorithm>

namespace stoneport::jobs {

void LengthHistory::note(const std::string& item, const ObservedLength& seen) {
  if (seen.events == 0 || most_ == 0) {
    return;
  }
  const auto [known, is_new] = by_item_.try_emplace(item, seen);
  if (!is_new) {
    const bool tells_more =
        seen.whole || (!known->second.whole && seen.events > known->second.events);
    known->second = tells_more ? seen : known->second;
    return;
  }
  order_.push_back(item);
  if (order_.size() > most_) {
    by_item_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<ObservedLength> LengthHistory::find(const std::string& item) const {
  const auto found = by_item_.find(item);
  return found == by_item_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace stoneport::jobs
