#include "controllers/drain_controller.hpp"

#include <spdlog/spdlog.h>

namespace stoneport::controllers {

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
  if (draining_) {
    return;
  }
  draining_ = true;
  spdlog::info("draining: {}", reason);
  gossip_.announce_leaving();
  begin_stop_();
}

}  // namespace stoneport::controllers
