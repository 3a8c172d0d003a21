#include "usage/usage_counter.hpp"

#include <algorithm>

namespace stoneport::usage {

ingress::RunObserver::Span UsageCounter::on_sent(core::MonotonicTime sent_at) {
  const WindowIndex window = clock_.window_at(sent_at);
  ++open_[window];
  return window;
}

void UsageCounter::on_settled(const core::TenantName& tenant, Span window, bool has_run) {
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
