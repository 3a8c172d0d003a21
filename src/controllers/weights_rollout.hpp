/// \file
/// Brings the replicas of one model to the newest version of its policy:
/// prefetch everywhere within the weight store's rate, then switch together,
/// and order again whatever the reports do not confirm. Plain state machine;
/// owned by the weights controller that holds the model's lease.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::controllers {

/// One replica as the last report describes it.
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
  std::uint64_t bytes_per_second = 0;  ///< of the weight store, over all readers; zero: unknown
  bool operator==(const RolloutTarget&) const = default;
};

/// When replicas that have the weights are told to switch.
enum class SwitchOrder {
  kTogether,  ///< all in one go, once the last one has them
  kAsReady,   ///< each as soon as it has them
};

struct RolloutSettings {
  /// Replicas that read from the weight store at a time.
  std::uint32_t parallel_prefetches = 8;
  /// Up to so many where short_transfer allows it, or once transfers have shown that
  /// fewer do not use up the store's rate; zero: never more than above.
  std::uint32_t most_parallel_prefetches = 0;
  /// As many read at a time as the store's rate serves within this time; zero: only
  /// the number above and what transfers have shown count.
  core::Duration short_transfer{};
  /// Least time that a prefetch is given before it is ordered again.
  core::Duration shortest_prefetch_timeout = std::chrono::seconds(5);
  /// A swap that reports do not confirm is ordered again after this time, and
  /// after twice as long each further time.
  core::Duration first_load_retry = std::chrono::seconds(3);
  core::Duration longest_load_retry = std::chrono::seconds(30);
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

  /// Aims at \p target; a lower version than the one aimed at is ignored.
  void set_target(const RolloutTarget& target);
  /// \return orders to send now; each counts as sent.
  std::vector<RolloutOrder> plan(const std::vector<ReplicaWeights>& replicas,
                                 core::MonotonicTime now);
  /// The replica refused the order or it was lost: it may be sent again soon.
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
    bool transfer_noted = false;
  };
  void follow(const std::vector<ReplicaWeights>& replicas);
  bool is_behind(const ReplicaWeights& replica) const;
  bool is_prefetched(const ReplicaWeights& replica) const;
  void plan_prefetches(const std::vector<const ReplicaWeights*>& behind, core::MonotonicTime now,
                       std::vector<RolloutOrder>& orders);
  void plan_loads(const std::vector<const ReplicaWeights*>& behind, core::MonotonicTime now,
                  std::vector<RolloutOrder>& orders);
  bool load_is_due(const Progress& progress, core::MonotonicTime now) const;
  core::Duration transfer_time(std::size_t replica_count) const;
  core::Duration prefetch_timeout() const;
  void note_transfer(Progress& progress, core::MonotonicTime now);
  double served_in_short_transfer() const;
  double needed_to_use_up_store() const;
  std::uint32_t parallel_prefetches() const;

  RolloutSettings settings_;
  RolloutTarget target_;
  RolloutPhase phase_ = RolloutPhase::kIdle;
  std::map<core::ReplicaId, Progress> progress_;
  /// Of the fastest transfer to one replica so far, over all targets.
  double fastest_bytes_per_second_ = 0;
};

}  // namespace stoneport::controllers
