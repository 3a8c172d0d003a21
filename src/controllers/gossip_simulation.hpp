/// \file
/// Simulates many GossipStates on a virtual network in virtual time, for tests and for
/// measurements at scales that no test machine can hold. Runs are reproducible from their
/// seed. Not thread-safe.
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
  std::size_t seeds = 2;  ///< number of seed addresses given to a new process
  double loss = 0;        ///< fraction of packets lost
  core::Duration latency = std::chrono::milliseconds(1);
  core::Duration tick = std::chrono::milliseconds(100);
  /// Range of the processes' random start times; packets to a process that has not started
  /// yet are lost.
  core::Duration start_spread{};
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

  /// Suspends the process: it neither ticks nor reads, and packets wait in its socket.
  void freeze(std::size_t index) { nodes_[index].frozen = true; }
  void wake(std::size_t index) { nodes_[index].frozen = false; }
  bool frozen(std::size_t index) const { return nodes_[index].frozen; }
  /// Ends the process without leave packets.
  void stop(std::size_t index) { nodes_[index].running = false; }
  /// \return whether the process has started and not ended
  bool running(std::size_t index) const {
    return nodes_[index].running && nodes_[index].starts_at <= now_;
  }
  /// Starts a new process under the name of a stopped one, with the next run number.
  void restart(std::size_t index) { restart(index, nodes_[index].life + 1); }
  /// Starts a new process with run number \p life, which is lower than the previous one if
  /// the new machine's clock is behind.
  void restart(std::size_t index, std::uint64_t life);
  /// Assigns a partition. Nodes in different groups cannot reach one another; all start in
  /// group 0.
  void set_group(std::size_t index, std::uint32_t group) { nodes_[index].group = group; }
  void set_loss(double loss) { settings_.loss = loss; }

  /// Advances time by one tick.
  void step();
  /// Runs until \p condition holds.
  /// \return the time taken, or nothing if \p limit is exceeded
  std::optional<core::Duration> run_until(const std::function<bool()>& condition,
                                          core::Duration limit);
  /// \return whether all running processes agree on the correct view: every running process
  /// is neither dead nor suspect, every other one is dead
  bool converged() const;

 private:
  struct Node {
    std::unique_ptr<GossipState> state;
    core::MonotonicTime starts_at{};
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
  bool has_correct_view(std::size_t observer) const;

  GossipSimulationSettings settings_;
  core::RandomSource random_;
  core::MonotonicTime now_{std::chrono::seconds(1)};
  std::vector<Node> nodes_;
  std::map<core::Address, std::size_t> by_address_;
  std::multimap<core::MonotonicTime, Datagram> in_flight_;
};

/// Results of one measured run of a cluster.
struct GossipMeasurement {
  std::size_t members = 0;
  std::optional<core::Duration> join;        ///< from one seed until all know all
  std::optional<core::Duration> drain_mark;  ///< until one drain mark is known everywhere
  std::optional<core::Duration> revision;    ///< until one revision is known everywhere
  /// Time until a new revision of every member is known everywhere.
  std::optional<core::Duration> all_revisions;
  /// Time until a tenth of the members, killed at once, is known dead everywhere.
  std::optional<core::Duration> failures;
  double idle_bytes_per_second = 0;  ///< sent per node while nothing changes
  double peak_bytes_per_second = 0;  ///< sent by one node, maximum over any second
};

GossipMeasurement measure_gossip(GossipSimulationSettings settings);

}  // namespace stoneport::controllers
