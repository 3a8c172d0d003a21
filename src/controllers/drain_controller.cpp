#include "controllers/drain_controller.hpp"

#include <spdlog/spdlog.h>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

DrainController::DrainController(asio::any_io_executor executor, GossipController& gossip,
                                 DrainHooks hooks, core::Duration longest_wait,
                                 core::Metrics& metrics)
    : executor_(std::move(executor)),
      gossip_(gossip),
      hooks_(std::move(hooks)),
      longest_wait_(longest_wait),
      cut_off_(metrics.counter("stoneport_drain_timeouts_total",
                               "Planned stops that ended with work still in flight")) {}

void DrainController::start() {
  const auto look = [this] {
    if (gossip_.self().leaving) {
      begin_drain("marked as leaving");
    }
  };
  gossip_.on_change(look);
  look();
}

void DrainController::begin_drain(const std::string& reason) {
  if (phase_ != DrainPhase::kServing) {
    return;
  }
  phase_ = DrainPhase::kDraining;
  spdlog::info("draining: {}", reason);
  gossip_.announce_leaving();
  runtime::start(executor_, "drain", run());
}

asio::awaitable<void> DrainController::run() {
  hooks_.stop_accepting();
  const bool idle = co_await hooks_.wait_until_idle(longest_wait_);
  if (!idle) {
    cut_off_.Increment();
    spdlog::warn("drain: work was still in flight after {} s", core::to_seconds(longest_wait_));
  }
  co_await hooks_.hand_over();
  gossip_.stop();
  phase_ = DrainPhase::kDrained;
  spdlog::info("drained");
  hooks_.finished();
}

}  // namespace stoneport::controllers
