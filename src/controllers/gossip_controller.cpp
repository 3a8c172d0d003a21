#include "controllers/gossip_controller.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(50);
/// Tenths of the byte rate that are reserved for membership.
constexpr std::uint32_t kMembershipShareTenths = 6;
constexpr std::uint32_t kTenths = 10;

}  // namespace

GossipSettings gossip_settings(const config::DaemonSettings& settings) {
  GossipSettings gossip;
  gossip.probe_interval = settings.gossip_interval;
  gossip.bytes_per_second = settings.gossip_bytes_per_second * kMembershipShareTenths / kTenths;
  return gossip;
}

std::uint32_t digest_bytes_per_second(const config::DaemonSettings& settings) {
  return settings.gossip_bytes_per_second * (kTenths - kMembershipShareTenths) / kTenths;
}

wire::Member make_self(const config::DaemonSettings& settings, core::Address gossip_address,
                       core::Address peer_address, core::WallTime start) {
  wire::Member self;
  self.node = settings.node;
  const auto milliseconds = static_cast<std::uint64_t>(start.time_since_epoch().count());
  self.incarnation = wire::first_incarnation(milliseconds);
  self.zone = settings.zone;
  self.region = settings.region;
  self.gossip_address = std::move(gossip_address);
  self.peer_address = std::move(peer_address);
  return self;
}

/// Exports the state's counters as metrics of the process.
struct GossipController::Meters {
  explicit Meters(core::Metrics& metrics)
      : packets_sent(packets(metrics, "sent")),
        packets_received(packets(metrics, "received")),
        bytes_sent(bytes(metrics, "sent")),
        bytes_received(bytes(metrics, "received")),
        malformed(dropped(metrics, "malformed")),
        misdirected(dropped(metrics, "misdirected")),
        refutations(metrics.counter("stoneport_gossip_refutations_total",
                                    "Suspicions of this node that the node refuted")),
        pauses(metrics.counter(
            "stoneport_gossip_pauses_total",
            "Pauses of this process that exceeded the allowed gap between ticks")) {}

  static prometheus::Counter& packets(core::Metrics& metrics, const std::string& direction) {
    return metrics.counter("stoneport_gossip_packets_total", "Gossip packets",
                           {{"direction", direction}});
  }
  static prometheus::Counter& bytes(core::Metrics& metrics, const std::string& direction) {
    return metrics.counter("stoneport_gossip_bytes_total", "Bytes of gossip packets",
                           {{"direction", direction}});
  }
  static prometheus::Counter& dropped(core::Metrics& metrics, const std::string& reason) {
    return metrics.counter("stoneport_gossip_dropped_total", "Gossip packets dropped",
                           {{"reason", reason}});
  }
  static void raise(prometheus::Counter& counter, std::uint64_t now, std::uint64_t& before) {
    counter.Increment(static_cast<double>(now - before));
    before = now;
  }
  void update(const GossipCounts& counts) {
    raise(packets_sent, counts.packets_sent, seen.packets_sent);
    raise(packets_received, counts.packets_received, seen.packets_received);
    raise(bytes_sent, counts.bytes_sent, seen.bytes_sent);
    raise(bytes_received, counts.bytes_received, seen.bytes_received);
    raise(malformed, counts.malformed, seen.malformed);
    raise(misdirected, counts.misdirected, seen.misdirected);
    raise(refutations, counts.refutations, seen.refutations);
    raise(pauses, counts.pauses, seen.pauses);
  }

  prometheus::Counter& packets_sent;
  prometheus::Counter& packets_received;
  prometheus::Counter& bytes_sent;
  prometheus::Counter& bytes_received;
  prometheus::Counter& malformed;
  prometheus::Counter& misdirected;
  prometheus::Counter& refutations;
  prometheus::Counter& pauses;
  GossipCounts seen;
};

GossipController::GossipController(asio::any_io_executor executor, GossipTransport& transport,
                                   wire::Member self, GossipSettings settings,
                                   std::uint64_t random_seed, const core::TimeSource& time,
                                   core::Metrics& metrics)
    : executor_(std::move(executor)),
      transport_(transport),
      state_(std::move(self), settings, random_seed),
      time_(time),
      meters_(std::make_unique<Meters>(metrics)),
      peer_monitor_(metrics) {}

GossipController::~GossipController() {
  if (alive_) {
    transport_.set_receiver(nullptr);
  }
}

void GossipController::start() {
  alive_ = std::make_shared<bool>(true);
  peer_monitor_.start(time_.now());
  transport_.set_receiver(
      [this](const core::Address& from, std::string_view bytes) { receive(from, bytes); });
  runtime::start(executor_, "gossip ticks", run(alive_));
}

void GossipController::stop() {
  if (!alive_) {
    return;
  }
  send(state_.leave_packets());
  transport_.set_receiver(nullptr);
  alive_.reset();
}

asio::awaitable<void> GossipController::run(std::weak_ptr<bool> alive) {
  while (!alive.expired()) {
    const core::MonotonicTime now = time_.now();
    send(state_.on_tick(now));
    meters_->update(state_.counts());
    peer_monitor_.update(state_.live_peers(), now);
    notify_listeners();
    co_await runtime::sleep_for(kTick);
  }
}

void GossipController::receive(const core::Address& from, std::string_view bytes) {
  const core::MonotonicTime now = time_.now();
  const GossipOutput output = state_.on_packet(from, bytes, now);
  peer_monitor_.update(state_.live_peers(), now);
  send(output.packets);
  if (output.received && message_listener_) {
    message_listener_(*output.received);
  }
  notify_listeners();
}

void GossipController::send(const std::vector<OutgoingPacket>& packets) {
  for (const OutgoingPacket& packet : packets) {
    transport_.send(packet);
  }
}

bool GossipController::notify_if_changed(Topic& topic, std::uint64_t version) {
  if (topic.notified_version == version) {
    return false;
  }
  topic.notified_version = version;
  for (const Listener& listener : topic.listeners) {
    listener();
  }
  return true;
}

bool GossipController::notify_joined() {
  const std::vector<core::NodeId> joined = state_.take_joined();
  for (const core::NodeId& node : joined) {
    const wire::Member* const known = state_.records().find(node);
    if (known == nullptr) {
      continue;
    }
    const wire::Member member = *known;  // a listener may change the records
    for (const JoinListener& listener : join_listeners_) {
      listener(member);
    }
  }
  return !joined.empty();
}

void GossipController::notify_listeners() {
  if (notifying_) {
    return;  // the outer call repeats its loop
  }
  notifying_ = true;
  bool notified = true;
  while (notified) {
    notified = notify_if_changed(member_topic_, state_.members_version());
    notified = notify_if_changed(policy_topic_, state_.policies_version()) || notified;
    notified = notify_if_changed(drain_mark_topic_, state_.drain_marks_version()) || notified;
    notified = notify_if_changed(zone_topic_, state_.zone_notices_version()) || notified;
    notified = notify_joined() || notified;
  }
  notifying_ = false;
}

std::vector<wire::Member> GossipController::members() const {
  std::vector<wire::Member> members;
  for (const auto& [node, member] : state_.records().members()) {
    members.push_back(member);
  }
  return members;
}

void GossipController::announce_configuration(core::Revision revision) {
  state_.announce_configuration(revision);
  notify_listeners();
}

void GossipController::announce_leaving() {
  state_.announce_leaving();
  notify_listeners();
}

bool GossipController::mark_leaving(const core::NodeId& node) {
  const bool known = state_.mark_leaving(node);
  notify_listeners();
  return known;
}

void GossipController::announce_policy_version(const wire::PolicyVersion& version) {
  state_.announce_policy_version(version);
  notify_listeners();
}

void GossipController::mark_replica_draining(const wire::ReplicaDrainMark& mark) {
  state_.mark_replica_draining(mark);
  notify_listeners();
}

void GossipController::on_change(Listener listener) {
  member_topic_.listeners.push_back(std::move(listener));
}

void GossipController::on_policy_change(Listener listener) {
  policy_topic_.listeners.push_back(std::move(listener));
}

void GossipController::on_drain_mark_change(Listener listener) {
  drain_mark_topic_.listeners.push_back(std::move(listener));
}

void GossipController::announce_zone(const wire::ZoneNotice& notice) {
  state_.announce_zone(notice);
  notify_listeners();
}

void GossipController::on_zone_change(Listener listener) {
  zone_topic_.listeners.push_back(std::move(listener));
}

std::size_t GossipController::send_message(const core::Address& to, wire::GossipMessage message) {
  const OutgoingPacket packet = state_.wrap(to, std::move(message));
  transport_.send(packet);
  return packet.bytes.size();
}

}  // namespace stoneport::controllers
