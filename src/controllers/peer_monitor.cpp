#include "controllers/peer_monitor.hpp"

#include "core/decision_log.hpp"

namespace stoneport::controllers {
namespace {
constexpr const char* kDependency = "members";
}  // namespace

PeerMonitor::PeerMonitor(core::Metrics& metrics)
    : live_peers_(metrics.gauge("stoneport_gossip_live_peers",
                                "Other members that this process does not consider dead")),
      alone_seconds_(metrics.counter("stoneport_gossip_alone_seconds_total",
                                     "Time for which this process knew no other live member")),
      losses_(metrics.counter("stoneport_gossip_peers_lost_total",
                              "Times that the last other live member was lost")) {}

void PeerMonitor::start(core::MonotonicTime now) {
  alone_since_ = now;
  updated_at_ = now;
}

void PeerMonitor::update(std::size_t live_peers, core::MonotonicTime now) {
  live_peers_.Set(static_cast<double>(live_peers));
  if (alone_since_) {
    alone_seconds_.Increment(core::to_seconds(now - updated_at_));
  }
  updated_at_ = now;
  const bool is_alone = live_peers == 0;
  if (is_alone && !alone_since_) {
    alone_since_ = now;
    losses_.Increment();
    core::log_decision(core::DecisionEvent::kDependencyLost,
                       {{"dependency", kDependency}, {"reason", "all other members are dead"}});
  } else if (!is_alone && alone_since_) {
    const double away_ms = core::to_seconds(now - *alone_since_) * 1000;
    alone_since_.reset();
    core::log_decision(
        core::DecisionEvent::kDependencyRegained,
        {{"dependency", kDependency}, {"away_ms", away_ms}, {"live_peers", live_peers}});
  }
}

}  // namespace stoneport::controllers
