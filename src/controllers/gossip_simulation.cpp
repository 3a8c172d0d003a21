#include "controllers/gossip_simulation.hpp"

#include <algorithm>

namespace stoneport::controllers {
namespace {

constexpr std::uint16_t kGossipPort = 7000;
constexpr std::size_t kZones = 6;
constexpr std::size_t kRegions = 2;
/// Number of packets that the socket of a frozen process buffers, like a small kernel
/// buffer.
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
    if (settings.start_spread > core::Duration::zero()) {
      const double delay = core::to_seconds(settings.start_spread) * random_.fraction();
      nodes_[index].starts_at = now_ + core::from_seconds(delay);
    }
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
  std::vector<core::Address> seeds;
  for (std::size_t seed = 0; seed < std::min(settings_.seeds, settings_.members); ++seed) {
    seeds.push_back(address_of(seed));
  }
  state->set_seeds(std::move(seeds));
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
  if (!running(datagram.to)) {
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
    if (running(index) && !nodes_[index].frozen) {
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

bool GossipSimulation::has_correct_view(std::size_t observer) const {
  const GossipRecords& records = state(observer).records();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const wire::Member* known = records.find(node_name(index));
    if (!running(index)) {
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
    if (running(index) && !has_correct_view(index)) {
      return false;
    }
  }
  return true;
}

namespace {

/// Counts the bytes sent in each second of a run.
class ByteMeter {
 public:
  explicit ByteMeter(const GossipSimulation& simulation) : simulation_(simulation) {
    last_.resize(simulation.size());
  }
  /// Call once per virtual second.
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

/// Runs the phases of one measurement.
class Measurement {
 public:
  explicit Measurement(const GossipSimulationSettings& settings)
      : simulation_(settings), meter_(simulation_), next_sample_(simulation_.now()) {
    result_.members = settings.members;
  }

  GossipMeasurement run() {
    result_.join = until([this] { return simulation_.converged(); });
    if (!result_.join) {
      return result_;
    }
    measure_idle();
    measure_drain_mark();
    measure_revision();
    rest();
    measure_failures();
    result_.peak_bytes_per_second = static_cast<double>(meter_.busiest());
    return result_;
  }

 private:
  static constexpr core::Duration kLimit = std::chrono::minutes(3);
  static constexpr core::Duration kIdlePeriod = std::chrono::seconds(30);
  static constexpr std::size_t kFailureDivisor = 10;  ///< one in this many fails

  std::optional<core::Duration> until(const std::function<bool()>& condition) {
    const auto sample_and_check = [&] {
      if (simulation_.now() >= next_sample_) {
        next_sample_ += std::chrono::seconds(1);
        meter_.sample();
      }
      return condition();
    };
    return simulation_.run_until(sample_and_check, kLimit);
  }

  void rest() {
    const core::MonotonicTime end = simulation_.now() + kIdlePeriod;
    until([&] { return simulation_.now() >= end; });
  }

  void measure_idle() {
    rest();
    const std::uint64_t before = meter_.total();
    rest();
    result_.idle_bytes_per_second =
        static_cast<double>(meter_.total() - before) /
        (core::to_seconds(kIdlePeriod) * static_cast<double>(simulation_.size()));
  }

  bool all_hold(const std::function<bool(const GossipRecords&)>& holds) const {
    for (std::size_t index = 0; index < simulation_.size(); ++index) {
      if (!holds(simulation_.state(index).records())) {
        return false;
      }
    }
    return true;
  }

  void measure_drain_mark() {
    const core::NodeId drained = GossipSimulation::node_name(simulation_.size() / 2);
    simulation_.state(0).mark_leaving(drained);
    result_.drain_mark = until([&] {
      return all_hold([&](const GossipRecords& records) { return records.find(drained)->leaving; });
    });
  }

  /// Every daemon adopts the revision as soon as gossip reports it.
  void measure_revision() {
    const core::Revision revision(1);
    const auto knows_revision = [&](const auto& entry) {
      return entry.second.configuration_revision >= revision;
    };
    const core::MonotonicTime announced = simulation_.now();
    simulation_.state(0).announce_configuration(revision);
    result_.revision = until([&] {
      bool all = true;
      for (std::size_t index = 0; index < simulation_.size(); ++index) {
        const auto& members = simulation_.state(index).records().members();
        if (std::any_of(members.begin(), members.end(), knows_revision)) {
          simulation_.state(index).announce_configuration(revision);
        } else {
          all = false;
        }
      }
      return all;
    });
    if (until([this] { return simulation_.converged(); })) {
      result_.all_revisions = simulation_.now() - announced;
    }
  }

  void measure_failures() {
    for (std::size_t index = 1; index < simulation_.size(); index += kFailureDivisor) {
      simulation_.stop(index);
    }
    result_.failures = until([this] { return simulation_.converged(); });
  }

  GossipSimulation simulation_;
  ByteMeter meter_;
  core::MonotonicTime next_sample_;
  GossipMeasurement result_;
};

}  // namespace

GossipMeasurement measure_gossip(GossipSimulationSettings settings) {
  return Measurement(settings).run();
}

}  // namespace stoneport::controllers
