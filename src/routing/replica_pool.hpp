/// \file
/// The replicas of one service or model that this thread uses, kept up to date
/// with the routing table, with their loads, chooser and retry budget. Plain
/// code, owned by one thread.
#pragma once

#include <memory>
#include <vector>

#include "core/error.hpp"
#include "routing/replica_chooser.hpp"
#include "routing/retry_budget.hpp"
#include "routing/subset.hpp"

namespace stoneport::routing {

/// A replica that was chosen for one attempt; counts as in flight there until
/// finish() or destruction.
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
  /// The replica could not be reached: it gets no work while others are usable.
  void suspect(core::MonotonicTime now);
  /// Notes what this attempt leaves in the replica's prefix cache.
  void remember_prefixes(std::span<const std::uint64_t> prefixes, core::MonotonicTime now);

 private:
  core::ReplicaId id_;
  core::Address address_;
  core::Incarnation incarnation_;
  core::MonotonicTime started_at_;
  std::shared_ptr<ReplicaLoad> load_;  ///< may outlive its pool at a stop
};

class ReplicaPool {
 public:
  /// \param size most replicas used at once
  ReplicaPool(SubsetOwner owner, std::size_t size, AdaptiveLimitOptions limit,
              std::unique_ptr<ReplicaChooser> chooser);

  /// Takes in \p replicas, which \p table owns.
  /// \return addresses that this thread no longer uses.
  std::vector<core::Address> update(std::shared_ptr<const RoutingTable> table,
                                    std::span<const Replica> replicas);
  /// \return the table that the pool was last updated with; null before.
  const RoutingTable* table() const { return table_.get(); }

  /// Chooses a replica for \p request, and counts the attempt as in flight there.
  /// \return kUnavailable when none is there, kOverloaded when all are full.
  core::Result<ChosenReplica> choose(const ChoiceRequest& request, core::MonotonicTime now);

  RetryBudget& retry_budget() { return retry_budget_; }
  /// Most requests in flight towards each replica, as the template says.
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
