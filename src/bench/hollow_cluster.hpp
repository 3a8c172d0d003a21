/// \file
/// Many members in one process: each runs the daemons' own GossipController over a
/// UDP socket of its own on loopback, a share of them on each of a few threads.
/// Controllers are touched on their own thread alone.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "controllers/gossip_endpoint.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "runtime/event_loop_thread.hpp"

namespace stoneport::bench {

struct HollowClusterSettings {
  std::uint32_t members = 50;
  std::uint32_t threads = 4;
  std::uint32_t zones = 3;
  std::vector<core::Address> seeds;  ///< gossip addresses of real daemons to join
  std::uint64_t seed = 1;
};

/// Gossip's traffic of all members that run.
struct ClusterTraffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t packets_sent = 0;
};

class HollowCluster {
 public:
  /// Asked of one member, on its thread.
  using Condition = std::function<bool(const controllers::GossipController&)>;
  using Action = std::function<void(controllers::GossipController&)>;

  explicit HollowCluster(HollowClusterSettings settings);
  ~HollowCluster();

  /// Opens the sockets and starts every member.
  core::Result<void> start();
  std::size_t size() const { return members_.size(); }
  std::size_t running_count() const;
  bool running(std::size_t index) const { return members_[index]->running; }
  static core::NodeId node_name(std::size_t index);

  /// Runs \p action on the thread of one member and waits for it.
  void run_on(std::size_t index, const Action& action);
  /// Ends a member without a farewell, as a crash does.
  void kill(std::size_t index);
  /// \return the time until \p condition has held on every member that runs;
  /// nothing when \p limit passes first.
  std::optional<core::Duration> wait_for_all(const Condition& condition, core::Duration limit);
  ClusterTraffic traffic();

 private:
  struct HollowMember {
    std::size_t thread = 0;
    std::unique_ptr<controllers::GossipEndpoint> endpoint;
    std::unique_ptr<controllers::GossipController> controller;
    core::Address address;
    bool running = false;
  };

  /// Runs \p action on a thread and waits for it.
  void run_on_thread(std::size_t thread, const std::function<void()>& action);
  core::Result<void> start_member(std::size_t index);

  HollowClusterSettings settings_;
  core::SystemTimeSource time_;
  core::Metrics metrics_;
  std::vector<std::unique_ptr<runtime::EventLoopThread>> threads_;
  std::vector<std::unique_ptr<HollowMember>> members_;
};

}  // namespace stoneport::bench
