/// \file
/// Brings the replicas of one model to the newest version of its policy: prefetches on all
/// within the weight store's rate, switches them, and repeats orders that the reports do
/// not confirm. State machine without I/O; owned by the weights controller that holds the
/// model's lease.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::controllers {

/// State of one replica according to its last report.
struct ReplicaWeights {
  core::ReplicaId replica;
  core::Address address;
  core::Incarnation incarnation;
  core::WeightVersion version;
  core::WeightVersion prefetched;
  bool usable = true;  ///< reachable and not leaving
  bool swapping = false;
};

struct RolloutTarget {
  core::PolicyName policy;
  core::WeightVersion version;
  std::uint64_t size_bytes = 0;        ///< zero: unknown
  std::uint64_t bytes_per_second = 0;  ///< total read rate of the weight store; zero: unknown
  bool operator==(const RolloutTarget&) const = default;
};

/// When replicas that have prefetched the weights are ordered to switch.
enum class SwitchOrder {
  kTogether,  ///< all at once, when the last one has them
  kAsReady,   ///< each as soon as it has them
};

struct RolloutSettings {
  /// Minimum number of replicas that may read from the weight store concurrently.
  std::uint32_t parallel_prefetches = 8;
  /// Maximum number of concurrent readers. It is used as far as target_transfer_time
  /// allows, or as far as measured transfers show that fewer readers do not saturate the
  /// store; zero: always parallel_prefetches.
  std::uint32_t max_parallel_prefetches = 0;
  /// Allows as many concurrent readers as the store can serve within this time; zero: only
  /// parallel_prefetches and measured transfers decide.
  core::Duration target_transfer_time{};
  /// Minimum time before an unconfirmed prefetch is ordered again.
  core::Duration min_prefetch_timeout = std::chrono::seconds(5);
  /// Delay before a swap that reports do not confirm is ordered again; doubles with each
  /// further attempt up to the maximum.
  core::Duration initial_load_retry_interval = std::chrono::seconds(3);
  core::Duration max_load_retry_interval = std::chrono::seconds(30);
  SwitchOrder switch_order = SwitchOrder::kTogether;
  ports::LoadVersion::RunningStreams running = ports::LoadVersion::RunningStreams::kContinue;
};

enum class RolloutPhase { kIdle, kPrefetching, kSwitching, kConverged };

struct RolloutOrder {
  core::ReplicaId replica;
  core::Address address;
  ports::EngineOrder order;
};

class WeightsRollout {
 public:
  explicit WeightsRollout(RolloutSettings settings) : settings_(settings) {}

  /// Sets the target version; a version lower than the current target is ignored.
  void set_target(const RolloutTarget& target);
  /// \return the orders to send now; each is recorded as sent
  std::vector<RolloutOrder> plan(const std::vector<ReplicaWeights>& replicas,
                                 core::MonotonicTime now);
  /// Records that an order was refused or lost, so that it may soon be sent again.
  void on_order_failed(const core::ReplicaId& replica);

  RolloutPhase phase() const { return phase_; }
  const RolloutTarget& target() const { return target_; }

 private:
  struct Progress {
    core::Incarnation incarnation;
    std::optional<core::MonotonicTime> prefetch_sent;
    std::optional<core::MonotonicTime> load_sent;
    std::uint32_t prefetch_failures = 0;
    std::uint32_t loads = 0;
    bool prefetch_given_up = false;
    bool transfer_measured = false;
  };
  void update_progress(const std::vector<ReplicaWeights>& replicas);
  bool is_behind(const ReplicaWeights& replica) const;
  bool is_prefetched(const ReplicaWeights& replica) const;
  void plan_prefetches(const std::vector<const ReplicaWeights*>& behind, core::MonotonicTime now,
                       std::vector<RolloutOrder>& orders);
  void plan_loads(const std::vector<const ReplicaWeights*>& behind, core::MonotonicTime now,
                  std::vector<RolloutOrder>& orders);
  bool load_is_due(const Progress& progress, core::MonotonicTime now) const;
  core::Duration transfer_time(std::size_t replica_count) const;
  core::Duration prefetch_timeout() const;
  void record_transfer(Progress& progress, core::MonotonicTime now);
  double prefetches_within_target_time() const;
  double prefetches_to_saturate_store() const;
  std::uint32_t parallel_prefetches() const;

  RolloutSettings settings_;
  RolloutTarget target_;
  RolloutPhase phase_ = RolloutPhase::kIdle;
  std::map<core::ReplicaId, Progress> progress_;
  /// Rate of the fastest transfer to one replica so far, over all targets.
  double fastest_bytes_per_second_ = 0;
};

}  // namespace stoneport::controllers
