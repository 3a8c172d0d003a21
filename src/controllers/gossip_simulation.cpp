#include "controllers/gossip_simulation.hpp"

#include <algorithm>

namespace stoneport::controllers {
namespace {

constexpr std::uint16_t kGossipPort = 7000;
constexpr std::size_t kZones = 6;
constexpr std::size_t kRegions = 2;
/// A frozen process's socket holds this many packets, as a small kernel buffer.
constexpr std::size_t kSocketPackets = 128;

core::Address address_of(std::size_t index) {
  return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1),
          kGossipPort};
}

}  // namespace

core::NodeId GossipSimulation::node_name(std::size_t index) {
  return core::NodeId("node-" + std::to_string(index));
}

GossipSimulation::GossipSimulation(GossipSimulationSettings settings)
    : settings_(settings), random_(settings.seed) {
  nodes_.resize(settings.members);
  for (std::size_t index = 0; index < settings.members; ++index) {
    by_address_[address_of(index)] = index;
    nodes_[index].state = make_state(index, nodes_[index].life);
  }
}

std::unique_ptr<GossipState> GossipSimulation::make_state(std::size_t index, std::uint64_t life) {
  wire::Member self;
  self.node = node_name(index);
  self.incarnation = wire::first_incarnation(life);
  self.zone = core::ZoneName("zone-" + std::to_string(index % kZones));
  self.region = core::RegionName("region-" + std::to_string(index % kRegions));
  self.gossip_address = address_of(index);
  self.peer_address = {self.gossip_address.ip, kGossipPort + 1};
  auto state = std::make_unique<GossipState>(self, settings_.gossip,
                                             random_.uniform(1, std::uint64_t{1} << 60));
  state->set_seeds({address_of(0), address_of(1 % settings_.members)});
  return state;
}

void GossipSimulation::restart(std::size_t index, std::uint64_t life) {
  Node& node = nodes_[index];
  node.life = life;
  node.state = make_state(index, node.life);
  node.running = true;
  node.frozen = false;
}

void GossipSimulation::post(std::size_t from, std::vector<OutgoingPacket> packets) {
  for (OutgoingPacket& packet : packets) {
    const auto target = by_address_.find(packet.to);
    if (target == by_address_.end() || random_.chance(settings_.loss) ||
        nodes_[from].group != nodes_[target->second].group) {
      continue;
    }
    in_flight_.emplace(now_ + settings_.latency,
                       Datagram{from, target->second, std::move(packet.bytes)});
  }
}

void GossipSimulation::deliver(const Datagram& datagram) {
  Node& node = nodes_[datagram.to];
  if (!node.running) {
    return;
  }
  GossipOutput output = node.state->on_packet(address_of(datagram.from), datagram.bytes, now_);
  post(datagram.to, std::move(output.packets));
}

void GossipSimulation::step() {
  const core::MonotonicTime end = now_ + settings_.tick;
  std::vector<std::size_t> waiting(nodes_.size(), 0);
  while (!in_flight_.empty() && in_flight_.begin()->first <= end) {
    auto next = in_flight_.extract(in_flight_.begin());
    now_ = std::max(now_, next.key());
    if (nodes_[next.mapped().to].frozen) {
      if (++waiting[next.mapped().to] <= kSocketPackets) {
        next.key() = end + settings_.latency;
        in_flight_.insert(std::move(next));
      }
      continue;
    }
    deliver(next.mapped());
  }
  now_ = end;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].running && !nodes_[index].frozen) {
      post(index, nodes_[index].state->on_tick(now_));
    }
  }
}

std::optional<core::Duration> GossipSimulation::run_until(const std::function<bool()>& condition,
                                                          core::Duration limit) {
  const core::MonotonicTime start = now_;
  while (!condition()) {
    if (now_ - start >= limit) {
      return std::nullopt;
    }
    step();
  }
  return now_ - start;
}

bool GossipSimulation::sees_truth(std::size_t observer) const {
  const GossipRecords& records = state(observer).records();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const wire::Member* known = records.find(node_name(index));
    if (!nodes_[index].running) {
      if (known != nullptr && known->state != wire::MemberState::kDead) {
        return false;
      }
      continue;
    }
    if (known == nullptr || *known != state(index).self()) {
      return false;
    }
  }
  return true;
}

bool GossipSimulation::converged() const {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].running && !sees_truth(index)) {
      return false;
    }
  }
  return true;
}

namespace {

/// Counts bytes by the second over a run.
class ByteMeter {
 public:
  explicit ByteMeter(const GossipSimulation& simulation) : simulation_(simulation) {
    last_.resize(simulation.size());
  }
  /// To be called once a virtual second.
  void sample() {
    for (std::size_t index = 0; index < last_.size(); ++index) {
      const std::uint64_t sent = simulation_.state(index).counts().bytes_sent;
      busiest_ = std::max(busiest_, sent - last_[index]);
      last_[index] = sent;
    }
  }
  std::uint64_t busiest() const { return busiest_; }
  std::uint64_t total() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t sent : last_) {
      sum += sent;
    }
    return sum;
  }

 private:
  const GossipSimulation& simulation_;
  std::vector<std::uint64_t> last_;
  std::uint64_t busiest_ = 0;
};

bool all_running(const GossipSimulation& simulation,
                 const std::function<bool(const GossipRecords&)>& holds) {
  for (std::size_t index = 0; index < simulation.size(); ++index) {
    if (simulation.running(index) && !holds(simulation.state(index).records())) {
      return false;
    }
  }
  return true;
}

}  // namespace

GossipMeasurement measure_gossip(GossipSimulationSettings settings) {
  constexpr core::Duration kLimit = std::chrono::minutes(3);
  constexpr int kQuietSeconds = 30;
  GossipSimulation simulation(settings);
  ByteMeter meter(simulation);
  core::MonotonicTime next_sample = simulation.now();
  const auto until = [&](const std::function<bool()>& condition) {
    return simulation.run_until(
        [&] {
          if (simulation.now() >= next_sample) {
            next_sample += std::chrono::seconds(1);
            meter.sample();
          }
          return condition();
        },
        kLimit);
  };
  const auto rest = [&](int seconds) {
    const core::MonotonicTime end = simulation.now() + std::chrono::seconds(seconds);
    until([&] { return simulation.now() >= end; });
  };

  GossipMeasurement result;
  result.members = settings.members;
  result.join = until([&] { return simulation.converged(); });
  if (!result.join) {
    return result;
  }
  rest(kQuietSeconds);
  const std::uint64_t before = meter.total();
  rest(kQuietSeconds);
  result.idle_bytes_per_second = static_cast<double>(meter.total() - before) /
                                 static_cast<double>(kQuietSeconds * settings.members);

  const core::NodeId drained = GossipSimulation::node_name(settings.members / 2);
  simulation.state(0).mark_leaving(drained);
  result.drain_mark = until([&] {
    return all_running(
        simulation, [&](const GossipRecords& records) { return records.find(drained)->leaving; });
  });

  const core::Revision revision(1);
  simulation.state(0).announce_configuration(revision);
  const auto heard = [&](const GossipRecords& records) {
    return std::any_of(records.members().begin(), records.members().end(), [&](const auto& entry) {
      return entry.second.configuration_revision >= revision;
    });
  };
  const core::MonotonicTime announced = simulation.now();
  until([&] {
    // Each daemon takes the revision over as soon as it hears of it.
    bool all = true;
    for (std::size_t index = 0; index < simulation.size(); ++index) {
      const bool knows = heard(simulation.state(index).records());
      all = all && knows;
      if (knows) {
        simulation.state(index).announce_configuration(revision);
      }
    }
    if (all) {
      result.revision = simulation.now() - announced;
    }
    return all;
  });
  if (until([&] { return simulation.converged(); })) {
    result.all_revisions = simulation.now() - announced;
  }
  rest(kQuietSeconds);

  for (std::size_t index = 1; index < settings.members; index += 10) {
    simulation.stop(index);
  }
  result.failures = until([&] { return simulation.converged(); });
  result.busiest_bytes_per_second = static_cast<double>(meter.busiest());
  return result;
}

}  // namespace stoneport::controllers
