#include "controllers/digest_simulation.hpp"

#include <algorithm>
#include <vector>

#include "controllers/digest_exchange.hpp"
#include "core/hash.hpp"
#include "core/random.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {
namespace {

constexpr core::Duration kPhase = std::chrono::milliseconds(250);
constexpr int kPhases = 4;
constexpr std::size_t kPacketBytes = 1200;
constexpr std::uint16_t kPort = 7000;

struct SimulatedNode {
  explicit SimulatedNode(const wire::Member& record, double bytes_per_second)
      : self(record), publisher(bytes_per_second, kPacketBytes), subscriber(record.node) {}

  wire::Member self;
  DigestPublisher publisher;
  DigestSubscriber subscriber;
  ReplicaReports reports;
  std::map<core::ReplicaId, TimedReport> watched;
  std::vector<core::ReplicaId> wanted;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
};

class DigestSimulation {
 public:
  explicit DigestSimulation(const DigestMeasurementSettings& settings)
      : settings_(settings), random_(settings.seed) {
    make_nodes();
    choose_wanted();
    choose_watches();
  }

  DigestMeasurement run() {
    const core::MonotonicTime end = now_ + settings_.length;
    for (int phase = 0; now_ < end; phase = (phase + 1) % kPhases) {
      for (SimulatedNode& node : nodes_) {
        poll(node, phase);
        if (phase == 0) {
          subscribe(node);
        }
        push(node);
      }
      now_ += kPhase;
    }
    return result();
  }

 private:
  core::ReplicaId replica(std::size_t index) const {
    return core::ReplicaId("replica-" + std::to_string(index));
  }

  void make_nodes() {
    for (std::size_t index = 0; index < settings_.members; ++index) {
      wire::Member self;
      self.node = core::NodeId("node-" + std::to_string(index));
      self.incarnation = wire::first_incarnation(1'790'000'000'000);
      self.zone = core::ZoneName("zone-" + std::to_string(index % 6));
      self.region = core::RegionName("region-" + std::to_string(index % 2));
      self.gossip_address = {"10.0.0." + std::to_string(index), kPort};
      self.peer_address = self.gossip_address;
      by_address_[self.gossip_address] = index;
      members_.push_back(self);
      nodes_.emplace_back(self, settings_.bytes_per_second);
    }
  }

  /// Chooses each node's replicas by rendezvous hashing, like the routing subset.
  void choose_wanted() {
    for (SimulatedNode& node : nodes_) {
      for (std::size_t group = 0; group < settings_.groups; ++group) {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t index = group; index < settings_.replicas; index += settings_.groups) {
          ranked.emplace_back(
              core::rendezvous_weight(node.self.node.value(), replica(index).value()), index);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        ranked.resize(std::min(ranked.size(), settings_.subset_size));
        for (const auto& [weight, index] : ranked) {
          node.wanted.push_back(replica(index));
        }
      }
    }
  }

  void choose_watches() {
    for (std::size_t index = 0; index < settings_.replicas; ++index) {
      for (const wire::Member& watcher : watchers_of(replica(index), members_)) {
        nodes_[by_address_.at(watcher.gossip_address)].watched[replica(index)] = TimedReport{};
      }
    }
  }

  void poll(SimulatedNode& node, int phase) {
    int position = 0;
    for (auto& [id, timed] : node.watched) {
      if (position++ % kPhases != phase) {
        continue;
      }
      timed.taken_at = now_;
      wire::ReplicaReport& report = timed.report;
      report.replica = id;
      report.incarnation = core::Incarnation(1);
      report.reachable = true;
      report.running = static_cast<std::uint32_t>(random_.uniform(0, 64));
      report.waiting = static_cast<std::uint32_t>(random_.uniform(0, 64));
      report.max_running = 64;
      report.tokens_per_second = static_cast<std::uint32_t>(random_.uniform(1'000, 5'000));
      report.kv_used_permille = static_cast<std::uint32_t>(random_.uniform(0, 1000));
      report.version = core::WeightVersion(40);
      std::vector<std::uint64_t> prefixes(settings_.published_prefixes);
      for (std::uint64_t& prefix : prefixes) {
        prefix = random_.uniform(0, ~std::uint64_t{0});
      }
      report.cached_prefixes = std::move(prefixes);
      node.reports.add(node.self.node, report, now_);
    }
  }

  SimulatedNode& send(SimulatedNode& from, const core::Address& to, wire::GossipMessage message) {
    wire::GossipPacket packet;
    packet.sender = from.self;
    packet.message = std::move(message);
    const std::size_t bytes = wire::encode_packet(packet).size();
    SimulatedNode& target = nodes_[by_address_.at(to)];
    from.sent += bytes;
    target.received += bytes;
    return target;
  }

  void subscribe(SimulatedNode& node) {
    for (const auto& request : node.subscriber.due(node.wanted, members_, node.reports, now_)) {
      SimulatedNode& watcher = send(node, request.to, request.message);
      watcher.publisher.subscribe(node.self.node, node.self.gossip_address,
                                  request.message.replicas, now_);
    }
  }

  void push(SimulatedNode& node) {
    for (const DigestPublisher::Push& push : node.publisher.due(node.watched, now_)) {
      SimulatedNode& subscriber = send(node, push.to, push.message);
      for (const wire::ReplicaReport& report : push.message.reports) {
        const auto age = std::chrono::milliseconds(report.age_ms);
        subscriber.reports.add(node.self.node, report, now_ - age);
      }
    }
  }

  DigestMeasurement result() const {
    DigestMeasurement measurement;
    const double seconds = core::to_seconds(settings_.length);
    const double node_seconds = seconds * static_cast<double>(nodes_.size());
    std::vector<double> ages;
    std::size_t missing = 0;
    std::size_t wanted = 0;
    for (const SimulatedNode& node : nodes_) {
      measurement.sent_bytes_mean += static_cast<double>(node.sent) / node_seconds;
      measurement.received_bytes_mean += static_cast<double>(node.received) / node_seconds;
      measurement.max_sent_bytes =
          std::max(measurement.max_sent_bytes, static_cast<double>(node.sent) / seconds);
      for (const core::ReplicaId& id : node.wanted) {
        ++wanted;
        const TimedReport* report = node.reports.best(id, now_);
        if (report == nullptr) {
          ++missing;
        } else {
          ages.push_back(core::to_seconds(now_ - report->taken_at));
        }
      }
    }
    measurement.subscriptions_mean =
        static_cast<double>(wanted) / static_cast<double>(nodes_.size());
    measurement.missing_ratio = static_cast<double>(missing) / static_cast<double>(wanted);
    std::sort(ages.begin(), ages.end());
    if (!ages.empty()) {
      measurement.age_p50 = ages[ages.size() / 2];
      measurement.age_p99 = ages[ages.size() * 99 / 100];
    }
    return measurement;
  }

  DigestMeasurementSettings settings_;
  core::RandomSource random_;
  core::MonotonicTime now_{std::chrono::hours(1)};
  std::vector<wire::Member> members_;
  std::vector<SimulatedNode> nodes_;
  std::map<core::Address, std::size_t> by_address_;
};

}  // namespace

DigestMeasurement measure_digests(const DigestMeasurementSettings& settings) {
  return DigestSimulation(settings).run();
}

}  // namespace stoneport::controllers
