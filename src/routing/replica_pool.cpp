#include "routing/replica_pool.hpp"

#include <algorithm>
#include <utility>

namespace stoneport::routing {

ChosenReplica::ChosenReplica(const Candidate& candidate, core::MonotonicTime now)
    : id_(candidate.replica->id),
      address_(candidate.replica->address),
      incarnation_(candidate.replica->incarnation),
      started_at_(now),
      load_(candidate.load->shared_from_this()) {
  load_->started(now);
}

ChosenReplica::~ChosenReplica() {
  finish(LoadSignal::kNeutral, started_at_);
}

ChosenReplica::ChosenReplica(ChosenReplica&& other) noexcept
    : id_(std::move(other.id_)),
      address_(std::move(other.address_)),
      incarnation_(other.incarnation_),
      started_at_(other.started_at_),
      load_(std::move(other.load_)) {}

void ChosenReplica::finish(LoadSignal signal, core::MonotonicTime now) {
  if (load_ != nullptr) {
    std::exchange(load_, nullptr)->finished(signal, now);
  }
}

bool ChosenReplica::suspect(core::MonotonicTime now) {
  if (load_ == nullptr) {
    return false;
  }
  const bool was_suspect = load_->is_suspect(incarnation_, now);
  load_->suspect(incarnation_, now);
  return !was_suspect;
}

void ChosenReplica::remember_prefixes(std::span<const std::uint64_t> prefixes,
                                      core::MonotonicTime now) {
  if (load_ != nullptr) {
    load_->recent_prefixes().add(prefixes, now);
  }
}

ReplicaPool::ReplicaPool(SubsetOwner owner, std::size_t size, AdaptiveLimitOptions limit,
                         std::unique_ptr<ReplicaChooser> chooser)
    : owner_(std::move(owner)), size_(size), loads_(limit), chooser_(std::move(chooser)) {}

std::vector<core::Address> ReplicaPool::update(std::shared_ptr<const RoutingTable> table,
                                               std::span<const Replica> replicas) {
  const std::vector<const Replica*> subset = choose_subset(owner_, replicas, size_);
  candidates_ = loads_.candidates(std::span<const Replica* const>(subset));
  loads_.retain_only(replicas);
  table_ = std::move(table);
  std::vector<core::Address> addresses;
  for (const Candidate& candidate : candidates_) {
    addresses.push_back(candidate.replica->address);
    if (largest_limit_ > 0) {
      candidate.load->limit().set_largest(largest_limit_);
    }
  }
  std::sort(addresses.begin(), addresses.end());
  std::vector<core::Address> unused;
  std::set_difference(addresses_.begin(), addresses_.end(), addresses.begin(), addresses.end(),
                      std::back_inserter(unused));
  addresses_ = std::move(addresses);
  return unused;
}

core::Result<ChosenReplica> ReplicaPool::choose(const ChoiceRequest& request,
                                                core::MonotonicTime now) {
  const Choice choice = chooser_->choose(candidates_, request, now);
  switch (choice.outcome) {
    case ChoiceOutcome::kNoReplica:
      return core::make_error(core::ErrorCode::kUnavailable, "no replica can take the request");
    case ChoiceOutcome::kAllFull:
      return core::make_error(core::ErrorCode::kOverloaded, "every replica is at its limit");
    case ChoiceOutcome::kChosen:
      break;
  }
  return ChosenReplica(candidates_[choice.index], now);
}

void ReplicaPool::set_largest_limit(std::uint32_t largest) {
  if (largest == largest_limit_) {
    return;
  }
  largest_limit_ = largest;
  for (const Candidate& candidate : candidates_) {
    candidate.load->limit().set_largest(largest);
  }
}

}  // namespace stoneport::routing
