#include "controllers/machine_list_controller.hpp"

#include <tuple>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

/// Poll interval until the list has been read once.
constexpr core::Duration kInitialPollInterval = std::chrono::milliseconds(200);
/// Fraction of the interval by which polls are randomized, so that daemons do not poll in
/// step.
constexpr double kJitter = 0.25;

bool same(const ports::Machine& left, const ports::Machine& right) {
  const auto fields = [](const ports::Machine& machine) {
    return std::tie(machine.id, machine.role, machine.serves, machine.address, machine.zone,
                    machine.region, machine.incarnation, machine.state);
  };
  return fields(left) == fields(right);
}

}  // namespace

MachineListController::MachineListController(asio::any_io_executor executor,
                                             ports::MachineList& list, GossipController& gossip,
                                             core::Duration interval, std::uint64_t random_seed,
                                             core::Metrics& metrics)
    : executor_(std::move(executor)),
      list_(list),
      gossip_(gossip),
      interval_(interval),
      random_(random_seed),
      failures_(metrics.counter("stoneport_machine_list_failures_total",
                                "Polls of the machine list that failed")),
      empty_lists_(
          metrics.counter("stoneport_machine_list_empty_total",
                          "Empty machine lists ignored because an earlier list had entries")),
      machines_(std::make_shared<const std::vector<ports::Machine>>()) {}

void MachineListController::start() {
  alive_ = std::make_shared<bool>(true);
  runtime::start(executor_, "machine list", run(alive_));
}

asio::awaitable<void> MachineListController::run(std::weak_ptr<bool> alive) {
  while (!alive.expired()) {
    core::Result<std::vector<ports::Machine>> machines = co_await list_.list();
    if (alive.expired()) {
      co_return;
    }
    if (machines) {
      update_list(std::move(*machines));
    } else {
      failures_.Increment();
    }
    const core::Duration interval =
        loaded_ ? poll_interval(interval_, machines_->size()) : kInitialPollInterval;
    const double share = 1 - kJitter / 2 + kJitter * random_.fraction();
    co_await runtime::sleep_for(core::from_seconds(core::to_seconds(interval) * share));
  }
}

void MachineListController::update_list(std::vector<ports::Machine> machines) {
  if (machines.empty() && !machines_->empty()) {
    empty_lists_.Increment();
    return;
  }
  const bool unchanged = loaded_ && std::equal(machines.begin(), machines.end(), machines_->begin(),
                                               machines_->end(), same);
  loaded_ = true;
  if (unchanged) {
    return;
  }
  const auto before = machines_;
  machines_ = std::make_shared<const std::vector<ports::Machine>>(std::move(machines));
  gossip_.set_seeds(seed_addresses(*machines_, gossip_.self().node));
  for (const core::NodeId& node : newly_leaving_nodes(*before, *machines_)) {
    gossip_.mark_leaving(node);
  }
  for (const auto& listener : listeners_) {
    listener();
  }
}

}  // namespace stoneport::controllers
