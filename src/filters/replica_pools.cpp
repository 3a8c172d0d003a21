#include "filters/replica_pools.hpp"

#include "routing/replica_choice.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::filters {
namespace {

/// Longest wait of one request for a current table. Longer than a daemon that
/// wakes needs to hear one answer, and than its wait when none comes.
constexpr core::Duration kLongestTableWait = std::chrono::milliseconds(1500);
constexpr core::Duration kTablePoll = std::chrono::milliseconds(20);
constexpr core::Duration kRetryAfterStaleTable = std::chrono::seconds(1);

}  // namespace

routing::ReplicaPool& ReplicaPools::of_service(const config::ServiceTemplate& service) {
  routing::ReplicaPool& pool =
      updated(services_, service.service, &routing::RoutingTable::services);
  pool.set_largest_limit(service.max_in_flight_per_replica);
  pool.retry_budget().set_ratio(service.retry_budget);
  return pool;
}

routing::ReplicaPool& ReplicaPools::of_model(const core::ModelName& model) {
  return updated(models_, model, &routing::RoutingTable::models);
}

bool ReplicaPools::knows_model(const core::ModelName& model) const {
  return view_->get()->models.contains(model);
}

boost::asio::awaitable<core::Result<void>> ReplicaPools::wait_until_current(
    const core::TimeSource& time) {
  const core::MonotonicTime end = time.now() + kLongestTableWait;
  while (!current(time.now())) {
    if (time.now() >= end) {
      co_return core::make_error(core::ErrorCode::kUnavailable,
                                 "the daemon does not know yet which back ends are leaving",
                                 kRetryAfterStaleTable);
    }
    co_await runtime::sleep_for(kTablePoll);
  }
  co_return core::Result<void>();
}

template <class Name>
routing::ReplicaPool& ReplicaPools::updated(
    Pools<Name>& pools, const Name& name,
    std::map<Name, std::vector<routing::Replica>> routing::RoutingTable::*replicas) {
  std::unique_ptr<routing::ReplicaPool>& pool = pools[name];
  if (pool == nullptr) {
    pool = make_pool();
  }
  std::shared_ptr<const routing::RoutingTable> newest = view_->get();
  if (pool->table() == newest.get()) {
    return *pool;
  }
  const auto& by_name = (*newest).*replicas;
  const auto found = by_name.find(name);
  std::span<const routing::Replica> known;
  if (found != by_name.end()) {
    known = found->second;
  }
  for (const core::Address& unused : pool->update(std::move(newest), known)) {
    client_.forget(unused);
  }
  return *pool;
}

std::unique_ptr<routing::ReplicaPool> ReplicaPools::make_pool() {
  routing::CostOptions costs;
  costs.zone = options_.zone;
  costs.region = options_.region;
  const std::uint64_t seed = options_.seed + ++pools_made_;
  return std::make_unique<routing::ReplicaPool>(
      routing::SubsetOwner{options_.node, options_.zone}, options_.subset_size,
      routing::AdaptiveLimitOptions{},
      std::make_unique<routing::CostChooser>(std::move(costs), seed));
}

}  // namespace stoneport::filters
