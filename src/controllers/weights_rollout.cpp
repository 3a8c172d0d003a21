#include "controllers/weights_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace stoneport::controllers {
namespace {

/// A prefetch times out after this multiple of the time that the store's rate allows for.
constexpr int kPrefetchTimeoutFactor = 2;
/// Refused or lost orders after which prefetching on a replica is given up.
constexpr std::uint32_t kMaxPrefetchFailures = 3;
constexpr std::uint32_t kMaxRetryDoublings = 10;

}  // namespace

void WeightsRollout::set_target(const RolloutTarget& target) {
  if (target.policy == target_.policy && target.version <= target_.version) {
    return;
  }
  target_ = target;
  phase_ = RolloutPhase::kPrefetching;
  progress_.clear();
}

void WeightsRollout::on_order_failed(const core::ReplicaId& replica) {
  const auto found = progress_.find(replica);
  if (found == progress_.end() || found->second.load_sent) {
    return;
  }
  Progress& progress = found->second;
  progress.prefetch_sent = std::nullopt;
  ++progress.prefetch_failures;
  progress.prefetch_given_up = progress.prefetch_failures >= kMaxPrefetchFailures;
}

bool WeightsRollout::is_behind(const ReplicaWeights& replica) const {
  return replica.usable && replica.version < target_.version;
}

bool WeightsRollout::is_prefetched(const ReplicaWeights& replica) const {
  return replica.prefetched == target_.version;
}

core::Duration WeightsRollout::transfer_time(std::size_t replica_count) const {
  if (target_.bytes_per_second == 0) {
    return core::Duration::zero();
  }
  const double bytes = static_cast<double>(target_.size_bytes) * static_cast<double>(replica_count);
  return core::from_seconds(bytes / static_cast<double>(target_.bytes_per_second));
}

/// The measured time includes the report's delay, so the rate is never overestimated. Too
/// many concurrent readers are preferred to an idle store.
void WeightsRollout::record_transfer(Progress& progress, core::MonotonicTime now) {
  if (!progress.prefetch_sent || progress.transfer_measured) {
    return;
  }
  progress.transfer_measured = true;
  const double seconds = core::to_seconds(now - *progress.prefetch_sent);
  if (seconds > 0) {
    const double rate = static_cast<double>(target_.size_bytes) / seconds;
    fastest_bytes_per_second_ = std::max(fastest_bytes_per_second_, rate);
  }
}

/// With this many readers each still finishes within target_transfer_time, whatever rate a
/// single replica reaches, so that starting with fewer would have no benefit.
double WeightsRollout::prefetches_within_target_time() const {
  if (target_.size_bytes == 0) {
    return 0;
  }
  const double bytes = static_cast<double>(target_.bytes_per_second) *
                       core::to_seconds(settings_.target_transfer_time);
  return std::floor(bytes / static_cast<double>(target_.size_bytes));
}

double WeightsRollout::prefetches_to_saturate_store() const {
  if (fastest_bytes_per_second_ <= 0) {
    return 0;
  }
  return std::ceil(static_cast<double>(target_.bytes_per_second) / fastest_bytes_per_second_);
}

std::uint32_t WeightsRollout::parallel_prefetches() const {
  const double least = settings_.parallel_prefetches;
  const double most = std::max(settings_.parallel_prefetches, settings_.max_parallel_prefetches);
  const double wanted = std::max(prefetches_within_target_time(), prefetches_to_saturate_store());
  return static_cast<std::uint32_t>(std::clamp(wanted, least, most));
}

core::Duration WeightsRollout::prefetch_timeout() const {
  return std::max(settings_.min_prefetch_timeout,
                  kPrefetchTimeoutFactor * transfer_time(parallel_prefetches()));
}

void WeightsRollout::update_progress(const std::vector<ReplicaWeights>& replicas) {
  std::set<core::ReplicaId> present;
  for (const ReplicaWeights& replica : replicas) {
    present.insert(replica.replica);
    Progress& progress = progress_[replica.replica];
    if (progress.incarnation != replica.incarnation) {
      progress = Progress{};  // a new process has not received the earlier orders
      progress.incarnation = replica.incarnation;
    }
    if (!is_behind(replica)) {
      progress = Progress{replica.incarnation};
    }
  }
  std::erase_if(progress_, [&](const auto& entry) { return !present.contains(entry.first); });
}

std::vector<RolloutOrder> WeightsRollout::plan(const std::vector<ReplicaWeights>& replicas,
                                               core::MonotonicTime now) {
  std::vector<RolloutOrder> orders;
  if (phase_ == RolloutPhase::kIdle) {
    return orders;
  }
  update_progress(replicas);
  std::vector<const ReplicaWeights*> behind;
  for (const ReplicaWeights& replica : replicas) {
    if (is_behind(replica)) {
      behind.push_back(&replica);
    }
  }
  if (behind.empty()) {
    phase_ = RolloutPhase::kConverged;
    return orders;
  }
  if (phase_ == RolloutPhase::kConverged) {
    phase_ = RolloutPhase::kSwitching;  // a replica restarted with an older version
  }
  const bool all_prefetched = std::all_of(behind.begin(), behind.end(), [&](const auto* replica) {
    return is_prefetched(*replica) || progress_.at(replica->replica).prefetch_given_up;
  });
  if (phase_ == RolloutPhase::kPrefetching && all_prefetched) {
    phase_ = RolloutPhase::kSwitching;
  }
  plan_prefetches(behind, now, orders);
  if (phase_ == RolloutPhase::kSwitching || settings_.switch_order == SwitchOrder::kAsReady) {
    plan_loads(behind, now, orders);
  }
  return orders;
}

void WeightsRollout::plan_prefetches(const std::vector<const ReplicaWeights*>& behind,
                                     core::MonotonicTime now, std::vector<RolloutOrder>& orders) {
  std::uint32_t in_flight = 0;
  std::vector<const ReplicaWeights*> waiting;
  for (const ReplicaWeights* replica : behind) {
    Progress& progress = progress_.at(replica->replica);
    if (is_prefetched(*replica)) {
      record_transfer(progress, now);
    }
    if (is_prefetched(*replica) || progress.load_sent || progress.prefetch_given_up) {
      continue;
    }
    if (!progress.prefetch_sent) {
      waiting.push_back(replica);
    } else if (now - *progress.prefetch_sent <= prefetch_timeout()) {
      ++in_flight;
    } else {
      progress.prefetch_given_up = true;  // the load order fetches what is missing
    }
  }
  for (const ReplicaWeights* replica : waiting) {
    if (in_flight >= parallel_prefetches()) {
      return;
    }
    ++in_flight;
    progress_.at(replica->replica).prefetch_sent = now;
    orders.push_back({replica->replica, replica->address,
                      ports::PrefetchVersion{target_.policy, target_.version}});
  }
}

bool WeightsRollout::load_is_due(const Progress& progress, core::MonotonicTime now) const {
  if (!progress.load_sent) {
    return true;
  }
  const std::uint32_t doublings = std::min(progress.loads - 1, kMaxRetryDoublings);
  const core::Duration wait = std::min(settings_.max_load_retry_interval,
                                       settings_.initial_load_retry_interval * (1 << doublings));
  return now - *progress.load_sent >= wait;
}

void WeightsRollout::plan_loads(const std::vector<const ReplicaWeights*>& behind,
                                core::MonotonicTime now, std::vector<RolloutOrder>& orders) {
  for (const ReplicaWeights* replica : behind) {
    Progress& progress = progress_.at(replica->replica);
    const bool fetched =
        is_prefetched(*replica) || progress.prefetch_given_up || progress.load_sent;
    if (!fetched || replica->swapping || !load_is_due(progress, now)) {
      continue;
    }
    progress.load_sent = now;
    ++progress.loads;
    orders.push_back({replica->replica, replica->address,
                      ports::LoadVersion{target_.policy, target_.version, settings_.running}});
  }
}

}  // namespace stoneport::controllers
