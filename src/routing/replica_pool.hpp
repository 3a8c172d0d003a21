/// \file
/// The replicas of one service or model used by this thread, kept in sync with the routing table,
/// with their loads, chooser and retry budget. Not thread-safe.
#pragma once

#include <memory>
#include <vector>

#include "core/error.hpp"
#include "routing/replica_chooser.hpp"
#include "routing/retry_budget.hpp"
#include "routing/subset.hpp"

namespace stoneport::routing {

/// A replica chosen for one attempt; counts as in flight there until finish() or destruction.
class ChosenReplica {
 public:
  ChosenReplica(const Candidate& candidate, core::MonotonicTime now);
  ~ChosenReplica();
  ChosenReplica(ChosenReplica&& other) noexcept;
  ChosenReplica(const ChosenReplica&) = delete;
  ChosenReplica& operator=(const ChosenReplica&) = delete;
  ChosenReplica& operator=(ChosenReplica&&) = delete;

  const core::ReplicaId& id() const { return id_; }
  const core::Address& address() const { return address_; }
  core::Incarnation incarnation() const { return incarnation_; }
  void finish(LoadSignal signal, core::MonotonicTime now);
  /// Marks the replica as suspect: it gets no work while other replicas are usable.
  /// \return whether it was not suspect before
  bool suspect(core::MonotonicTime now);
  /// Records the prefixes that this attempt leaves in the replica's cache.
  void remember_prefixes(std::span<const std::uint64_t> prefixes, core::MonotonicTime now);

 private:
  core::ReplicaId id_;
  core::Address address_;
  core::Incarnation incarnation_;
  core::MonotonicTime started_at_;
  std::shared_ptr<ReplicaLoad> load_;  ///< shared, as it may outlive its pool during shutdown
};

class ReplicaPool {
 public:
  /// \param size maximum number of replicas used at the same time
  ReplicaPool(SubsetOwner owner, std::size_t size, AdaptiveLimitOptions limit,
              std::unique_ptr<ReplicaChooser> chooser);

  /// Replaces the replicas with \p replicas, which \p table owns.
  /// \return addresses that this thread no longer uses.
  std::vector<core::Address> update(std::shared_ptr<const RoutingTable> table,
                                    std::span<const Replica> replicas);
  /// \return the table of the last update; null before the first.
  const RoutingTable* table() const { return table_.get(); }

  /// Chooses a replica for \p request and counts the attempt as in flight there.
  /// \return kUnavailable if there is no usable replica, kOverloaded if all are full.
  core::Result<ChosenReplica> choose(const ChoiceRequest& request, core::MonotonicTime now);

  RetryBudget& retry_budget() { return retry_budget_; }
  /// Sets the maximum number of requests in flight to each replica, from the template.
  void set_largest_limit(std::uint32_t largest);

 private:
  SubsetOwner owner_;
  std::size_t size_;
  std::shared_ptr<const RoutingTable> table_;
  ReplicaLoads loads_;
  std::vector<Candidate> candidates_;
  std::vector<core::Address> addresses_;
  std::unique_ptr<ReplicaChooser> chooser_;
  RetryBudget retry_budget_;
  std::uint32_t largest_limit_ = 0;
};

}  // namespace stoneport::routing
