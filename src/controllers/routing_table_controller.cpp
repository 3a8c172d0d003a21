#include "controllers/routing_table_controller.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

/// Changes within this time are combined into one table.
constexpr core::Duration kRebuildDebounce = std::chrono::milliseconds(100);
/// Maximum age of a table; it is rebuilt even without changes, because reports age and
/// refusals expire.
constexpr core::Duration kMaxTableAge = std::chrono::seconds(1);

const routing::Replica* find(const routing::RoutingTable& table, const core::ReplicaId& id) {
  const auto search = [&](const auto& lists) -> const routing::Replica* {
    for (const auto& [name, replicas] : lists) {
      for (const routing::Replica& replica : replicas) {
        if (replica.id == id) {
          return &replica;
        }
      }
    }
    return nullptr;
  };
  const routing::Replica* engine = search(table.models);
  return engine != nullptr ? engine : search(table.services);
}

}  // namespace

RoutingTableController::RoutingTableController(asio::any_io_executor executor,
                                               MachineListController& machines,
                                               ReplicaWatcher& watcher, GossipController& gossip,
                                               const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      machines_(machines),
      watcher_(watcher),
      gossip_(gossip),
      time_(time),
      rebuilds_(metrics.counter("stoneport_routing_table_builds_total", "Routing tables built")),
      refusals_total_(
          metrics.counter("stoneport_refused_connections_total",
                          "Connections refused by back ends, as reported by traffic threads")),
      catch_ups_(metrics.counter(
          "stoneport_routing_catch_ups_total",
          "Times that the routing table waited for gossip updates after a pause")) {}

void RoutingTableController::start() {
  alive_ = std::make_shared<bool>(true);
  const auto mark_changed = [this] { changed_ = true; };
  machines_.on_change(mark_changed);
  watcher_.on_change(mark_changed);
  gossip_.on_drain_mark_change(mark_changed);
  runtime::start(executor_, "routing table", run(alive_));
}

void RoutingTableController::report_refused(const core::Address& address) {
  refusals_total_.Increment();
  refusals_[address] = time_.now();
  changed_ = true;
}

bool RoutingTableController::drain_replica(const core::ReplicaId& replica) {
  const auto table = current();
  const routing::Replica* found = find(*table, replica);
  if (found == nullptr) {
    return false;
  }
  gossip_.mark_replica_draining({replica, found->incarnation});
  return true;
}

void RoutingTableController::forget_old_refusals() {
  const core::MonotonicTime now = time_.now();
  std::erase_if(refusals_,
                [&](const auto& entry) { return now - entry.second > kRefusalCooldown; });
}

void RoutingTableController::update_freshness() {
  const bool was_current = current_;
  current_ = freshness_.update(gossip_.current(), time_.now());
  if (current_ && !was_current) {
    changed_ = true;  // traffic is waiting for a current table
  }
  if (was_current && !current_) {
    catch_ups_.Increment();
  }
}

void RoutingTableController::rebuild() {
  forget_old_refusals();
  const auto machines = machines_.machines();
  const core::MonotonicTime now = time_.now();
  const RoutingInputs inputs{*machines, watcher_.reports(), gossip_.drain_marks(), refusals_, now};
  for (const wire::ReplicaDrainMark& mark : missing_drain_marks(inputs)) {
    gossip_.mark_replica_draining(mark);
  }
  auto table = std::make_shared<routing::RoutingTable>(build_routing_table(inputs));
  table->generation = ++generation_;
  table->current_until = freshness_.current_until();
  publisher_.publish(std::move(table));
  rebuilds_.Increment();
  rebuilt_at_ = now;
  changed_ = false;
}

asio::awaitable<void> RoutingTableController::run(std::weak_ptr<bool> alive) {
  while (!alive.expired()) {
    update_freshness();
    if (changed_ || time_.now() - rebuilt_at_ >= kMaxTableAge) {
      rebuild();
    }
    co_await runtime::sleep_for(kRebuildDebounce);
  }
}

}  // namespace stoneport::controllers
