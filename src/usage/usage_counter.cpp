#include "usage/usage_counter.hpp"

#include <algorithm>

namespace stoneport::usage {

void UsageCounter::on_sent(const core::TenantName& tenant, core::MonotonicTime sent_at) {
  (void)tenant;
  ++open_[clock_.window_at(sent_at)];
}

void UsageCounter::on_settled(const core::TenantName& tenant, core::MonotonicTime sent_at,
                              bool has_run) {
  const WindowIndex window = clock_.window_at(sent_at);
  const auto open = open_.find(window);
  if (open != open_.end() && --open->second == 0) {
    open_.erase(open);
  }
  if (has_run) {
    ++counts_[window][tenant];
    ++version_;
  }
}

WindowIndex UsageCounter::complete_through() {
  const WindowIndex ended = clock_.current() - 1;
  return open_.empty() ? ended : std::min(ended, open_.begin()->first - 1);
}

void UsageCounter::forget_before(WindowIndex first) {
  counts_.erase(counts_.begin(), counts_.lower_bound(first));
}

}  // namespace stoneport::usage
