#include "controllers/weights_rollout.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace stoneport::controllers {
namespace {

/// A prefetch is given this many times the time that the store's rate allows.
constexpr int kPatience = 2;
/// Refused or lost orders after which a prefetch is given up.
constexpr std::uint32_t kMostPrefetchFailures = 3;
constexpr std::uint32_t kMostDoublings = 10;

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
  progress.prefetch_given_up = progress.prefetch_failures >= kMostPrefetchFailures;
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

/// The time includes the report's delay, so the rate is never taken for higher
/// than it is and the store is rather shared by too many than left idle.
void WeightsRollout::note_transfer(Progress& progress, core::MonotonicTime now) {
  if (!progress.prefetch_sent || progress.transfer_noted) {
    return;
  }
  progress.transfer_noted = true;
  const double seconds = core::to_seconds(now - *progress.prefetch_sent);
  if (seconds > 0) {
    const double rate = static_cast<double>(target_.size_bytes) / seconds;
    fastest_bytes_per_second_ = std::max(fastest_bytes_per_second_, rate);
  }
}

/// Whoever reads beside so many still has its weights within short_transfer, whatever
/// rate one replica reaches: to begin with fewer would gain nobody anything.
double WeightsRollout::served_in_short_transfer() const {
  if (target_.size_bytes == 0) {
    return 0;
  }
  const double bytes =
      static_cast<double>(target_.bytes_per_second) * core::to_seconds(settings_.short_transfer);
  return std::floor(bytes / static_cast<double>(target_.size_bytes));
}

double WeightsRollout::needed_to_use_up_store() const {
  if (fastest_bytes_per_second_ <= 0) {
    return 0;
  }
  return std::ceil(static_cast<double>(target_.bytes_per_second) / fastest_bytes_per_second_);
}

std::uint32_t WeightsRollout::parallel_prefetches() const {
  const double least = settings_.parallel_prefetches;
  const double most = std::max(settings_.parallel_prefetches, settings_.most_parallel_prefetches);
  const double wanted = std::max(served_in_short_transfer(), needed_to_use_up_store());
  return static_cast<std::uint32_t>(std::clamp(wanted, least, most));
}

core::Duration WeightsRollout::prefetch_timeout() const {
  return std::max(settings_.shortest_prefetch_timeout,
                  kPatience * transfer_time(parallel_prefetches()));
}

void WeightsRollout::follow(const std::vector<ReplicaWeights>& replicas) {
  std::set<core::ReplicaId> present;
  for (const ReplicaWeights& replica : replicas) {
    present.insert(replica.replica);
    Progress& progress = progress_[replica.replica];
    if (progress.incarnation != replica.incarnation) {
      progress = Progress{};  // a new process knows nothing of earlier orders
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
  follow(replicas);
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
    phase_ = RolloutPhase::kSwitching;  // a replica came back with an older version
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
      note_transfer(progress, now);
    }
    if (is_prefetched(*replica) || progress.load_sent || progress.prefetch_given_up) {
      continue;
    }
    if (!progress.prefetch_sent) {
      waiting.push_back(replica);
    } else if (now - *progress.prefetch_sent <= prefetch_timeout()) {
      ++in_flight;
    } else {
      progress.prefetch_given_up = true;  // loading fetches what is missing
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
  const std::uint32_t doublings = std::min(progress.loads - 1, kMostDoublings);
  const core::Duration wait =
      std::min(settings_.longest_load_retry, settings_.first_load_retry * (1 << doublings));
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
