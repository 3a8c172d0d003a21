/// \file
/// Replica load as seen by one thread's own requests. Outlives routing tables: a new table changes
/// the states and digests of replicas, but not the requests in flight. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "routing/adaptive_limit.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/routing_table.hpp"

namespace stoneport::routing {

/// How long a replica remains suspect after this process failed to reach it or got a broken answer.
inline constexpr core::Duration kLocalSuspicion = std::chrono::seconds(5);

class ReplicaLoad : public std::enable_shared_from_this<ReplicaLoad> {
 public:
  explicit ReplicaLoad(AdaptiveLimitOptions limit = {}) : limit_(limit) {}

  void started(core::MonotonicTime now);
  void finished(LoadSignal signal, core::MonotonicTime now);
  std::uint32_t in_flight() const { return in_flight_; }
  /// \return the requests in flight at \p time, as far back as the history reaches.
  std::uint32_t in_flight_at(core::MonotonicTime time) const;

  bool has_room() const { return in_flight_ < limit_.value(); }
  AdaptiveLimit& limit() { return limit_; }
  const AdaptiveLimit& limit() const { return limit_; }

  /// Marks this incarnation of the replica as suspect for kLocalSuspicion.
  void suspect(core::Incarnation incarnation, core::MonotonicTime now);
  /// Ends a suspicion immediately, after an answer.
  void trust() { suspect_until_ = {}; }
  bool is_suspect(core::Incarnation incarnation, core::MonotonicTime now) const;

  RecentPrefixes& recent_prefixes() { return recent_prefixes_; }
  const RecentPrefixes& recent_prefixes() const { return recent_prefixes_; }

 private:
  struct Sample {
    core::MonotonicTime time;
    std::uint32_t in_flight = 0;
  };
  void record(core::MonotonicTime now);

  static constexpr core::Duration kSampleInterval = std::chrono::milliseconds(250);
  std::uint32_t in_flight_ = 0;
  AdaptiveLimit limit_;
  core::MonotonicTime suspect_until_{};
  core::Incarnation suspect_incarnation_;
  RecentPrefixes recent_prefixes_;
  std::array<Sample, 16> history_{};
  std::size_t newest_ = 0;
};

/// A replica and this thread's load on it. Valid as long as both.
struct Candidate {
  const Replica* replica = nullptr;
  ReplicaLoad* load = nullptr;
};

/// \return the state from the table, or suspect if this process failed to reach the replica before
/// the table shows it.
ReplicaState effective_state(const Candidate& candidate, core::MonotonicTime now);

/// Loads of all replicas that this thread has used.
class ReplicaLoads {
 public:
  explicit ReplicaLoads(AdaptiveLimitOptions limit = {}) : limit_(limit) {}
  /// \return the load of \p replica, created on first use; its address is stable.
  ReplicaLoad& of(const core::ReplicaId& replica);
  /// \return one candidate per replica, in the same order.
  std::vector<Candidate> candidates(std::span<const Replica* const> replicas);
  std::vector<Candidate> candidates(std::span<const Replica> replicas);
  /// Removes the loads of replicas that are not in \p replicas and have no requests in flight.
  void retain_only(std::span<const Replica> replicas);
  std::size_t size() const { return loads_.size(); }

 private:
  AdaptiveLimitOptions limit_;
  std::unordered_map<core::ReplicaId, std::shared_ptr<ReplicaLoad>> loads_;
};

}  // namespace stoneport::routing
