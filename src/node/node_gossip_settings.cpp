#include "node/node_gossip_settings.hpp"

namespace stoneport::node {
namespace {

/// A dead process must be removed from the directory within one to two seconds.
constexpr core::Duration kProbeInterval = std::chrono::milliseconds(250);
constexpr core::Duration kShortestSuspicion = std::chrono::milliseconds(1500);
/// Long-term send rate of a process. An idle process sends about 350 bytes per second; the rest is
/// needed when a zone is lost or partitioned. On a simulated network of 74 processes, the 49
/// processes outside a lost zone still gave out addresses in it for 5.2 to 6.25 s at 6,000 bytes
/// per second (3 seeds) and for 2.15 to 3.4 s at this rate (6 seeds).
constexpr std::uint32_t kBytesPerSecond = 24'000;

}  // namespace

controllers::GossipSettings node_gossip_settings() {
  controllers::GossipSettings settings;
  settings.probe_interval = kProbeInterval;
  settings.min_suspicion_timeout = kShortestSuspicion;
  settings.bytes_per_second = kBytesPerSecond;
  return settings;
}

}  // namespace stoneport::node
