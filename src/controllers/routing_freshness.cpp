#include "controllers/routing_freshness.hpp"

namespace stoneport::controllers {

bool RoutingFreshness::update(bool gossip_current, core::MonotonicTime now) {
  const bool paused = last_update_ && now - *last_update_ > limits_.max_update_gap;
  last_update_ = now;
  if (gossip_current) {
    waiting_since_.reset();
    current_at_ = now;
    return true;
  }
  if (paused || !waiting_since_) {
    waiting_since_ = now;
  }
  if (now - *waiting_since_ < limits_.max_catch_up) {
    return false;
  }
  current_at_ = now;
  return true;
}

}  // namespace stoneport::controllers
