#include "routing/subset.hpp"

#include <algorithm>

#include "core/hash.hpp"

namespace stoneport::routing {
namespace {

struct Ranked {
  const Replica* replica = nullptr;
  std::uint64_t weight = 0;
};

bool may_get_work(const Replica& replica) {
  return replica.state == ReplicaState::kUsable || replica.state == ReplicaState::kSuspect;
}

bool ranks_before(const Ranked& left, const Ranked& right) {
  if (left.weight != right.weight) {
    return left.weight > right.weight;
  }
  return left.replica->id < right.replica->id;
}

}  // namespace

std::vector<const Replica*> choose_subset(const SubsetOwner& owner,
                                          std::span<const Replica> replicas, std::size_t size) {
  std::vector<Ranked> local;
  std::vector<Ranked> remote;
  for (const Replica& replica : replicas) {
    if (!may_get_work(replica)) {
      continue;
    }
    const std::uint64_t weight = core::rendezvous_weight(owner.node.value(), replica.id.value());
    std::vector<Ranked>& side = replica.zone == owner.zone ? local : remote;
    side.push_back({&replica, weight});
  }
  std::sort(local.begin(), local.end(), ranks_before);
  std::sort(remote.begin(), remote.end(), ranks_before);

  const std::size_t wanted = std::min(size, local.size() + remote.size());
  std::size_t from_local = std::min(local.size(), (wanted + 1) / 2);
  const std::size_t from_remote = std::min(remote.size(), wanted - from_local);
  from_local = wanted - from_remote;

  std::vector<const Replica*> subset;
  subset.reserve(wanted);
  for (std::size_t rank = 0; rank < from_local; ++rank) {
    subset.push_back(local[rank].replica);
  }
  for (std::size_t rank = 0; rank < from_remote; ++rank) {
    subset.push_back(remote[rank].replica);
  }
  std::sort(subset.begin(), subset.end(),
            [](const Replica* left, const Replica* right) { return left->id < right->id; });
  return subset;
}

}  // namespace stoneport::routing
