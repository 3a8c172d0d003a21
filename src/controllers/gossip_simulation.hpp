/// \file
/// Many GossipStates on a virtual network in virtual time, for tests and for
/// measurements at sizes that no test machine holds. Every run is repeatable
/// from its seed. Owned by one thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "controllers/gossip_state.hpp"

namespace stoneport::controllers {

struct GossipSimulationSettings {
  std::size_t members = 3;
  std::uint64_t seed = 1;
  std::size_t seeds = 2;  ///< how many addresses a new process is given
  double loss = 0;        ///< share of packets lost
  core::Duration latency = std::chrono::milliseconds(1);
  core::Duration tick = std::chrono::milliseconds(100);
  GossipSettings gossip;
};

class GossipSimulation {
 public:
  explicit GossipSimulation(GossipSimulationSettings settings);

  std::size_t size() const { return nodes_.size(); }
  core::MonotonicTime now() const { return now_; }
  GossipState& state(std::size_t index) { return *nodes_[index].state; }
  const GossipState& state(std::size_t index) const { return *nodes_[index].state; }
  static core::NodeId node_name(std::size_t index);

  /// A frozen process neither ticks nor reads; packets wait in its socket.
  void freeze(std::size_t index) { nodes_[index].frozen = true; }
  void wake(std::size_t index) { nodes_[index].frozen = false; }
  bool frozen(std::size_t index) const { return nodes_[index].frozen; }
  /// Ends the process without a farewell.
  void stop(std::size_t index) { nodes_[index].running = false; }
  bool running(std::size_t index) const { return nodes_[index].running; }
  /// Starts a new process under the name of a stopped one, in the life after.
  void restart(std::size_t index) { restart(index, nodes_[index].life + 1); }
  /// The same in life \p life, which is lower where the new machine's clock is behind.
  void restart(std::size_t index, std::uint64_t life);
  /// Nodes in different groups do not reach one another; all start in group 0.
  void set_group(std::size_t index, std::uint32_t group) { nodes_[index].group = group; }
  void set_loss(double loss) { settings_.loss = loss; }

  /// Moves time by one tick.
  void step();
  /// Runs until \p condition holds. \return the time taken, nothing past \p limit.
  std::optional<core::Duration> run_until(const std::function<bool()>& condition,
                                          core::Duration limit);
  /// \return whether every process that runs has the same, true picture of all:
  /// those that run are not dead or suspect, those that do not are dead.
  bool converged() const;

 private:
  struct Node {
    std::unique_ptr<GossipState> state;
    bool running = true;
    bool frozen = false;
    std::uint32_t group = 0;
    std::uint64_t life = 1;
  };
  struct Datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };
  std::unique_ptr<GossipState> make_state(std::size_t index, std::uint64_t life);
  void post(std::size_t from, std::vector<OutgoingPacket> packets);
  void deliver(const Datagram& datagram);
  bool sees_truth(std::size_t observer) const;

  GossipSimulationSettings settings_;
  core::RandomSource random_;
  core::MonotonicTime now_{std::chrono::seconds(1)};
  std::vector<Node> nodes_;
  std::map<core::Address, std::size_t> by_address_;
  std::multimap<core::MonotonicTime, Datagram> in_flight_;
};

/// What one measured run of a cluster came to.
struct GossipMeasurement {
  std::size_t members = 0;
  std::optional<core::Duration> join;           ///< all know all, from one seed
  std::optional<core::Duration> drain_mark;     ///< one drain mark known everywhere
  std::optional<core::Duration> revision;       ///< one revision known of by everyone
  std::optional<core::Duration> all_revisions;  ///< everyone's new revision known everywhere
  std::optional<core::Duration> failures;       ///< a tenth killed at once, known dead everywhere
  double idle_bytes_per_second = 0;             ///< sent by a node, nothing happening
  double busiest_bytes_per_second = 0;          ///< sent by a node, most over any second
};

GossipMeasurement measure_gossip(GossipSimulationSettings settings);

}  // namespace stoneport::controllers
