#include "node/node.hpp"

#include "core/decision_log.hpp"
#include "core/hash.hpp"

namespace stoneport::node {
namespace asio = boost::asio;
namespace {

/// With fewer in the caller's zone, members of all zones are named.
constexpr std::size_t kEnoughNearby = 3;
constexpr std::size_t kMostAddresses = 64;

std::uint64_t life_of_process(const core::TimeSource& time) {
  return static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count());
}

std::uint64_t seed_for(const NodeInputs& inputs, const NodeSettings& settings,
                       std::string_view component) {
  return core::hash64(component, core::hash64(settings.name.value(), life_of_process(inputs.time)));
}

wire::Member self_of(const NodeInputs& inputs, const NodeSettings& settings) {
  wire::Member self;
  self.node = settings.name;
  self.incarnation = wire::first_incarnation(life_of_process(inputs.time));
  self.zone = settings.zone;
  self.region = settings.region;
  self.gossip_address = settings.gossip_address;
  self.peer_address = settings.caller_address;
  return self;
}

/// A dead member must leave the directory within a second or two.
controllers::GossipSettings gossip_settings() {
  controllers::GossipSettings settings;
  settings.probe_interval = std::chrono::milliseconds(250);
  settings.shortest_suspicion = std::chrono::milliseconds(1500);
  return settings;
}

ingress::ForwarderSettings forwarder_settings(const NodeSettings& settings) {
  ingress::ForwarderSettings forwarder;
  forwarder.zone = settings.zone;
  return forwarder;
}

/// A restarted process is another holder.
std::string holder_name(const core::NodeId& node, std::uint64_t life) {
  return node.value() + "#" + std::to_string(life);
}

jobs::CoordinatorSettings coordinator_settings(const NodeInputs& inputs,
                                               const NodeSettings& settings) {
  jobs::CoordinatorSettings coordinator = settings.coordinator;
  coordinator.term.holder = holder_name(settings.name, life_of_process(inputs.time));
  return coordinator;
}

}  // namespace

Node::Node(NodeInputs inputs, NodeSettings settings)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      forwarder_(directory_, inputs_.replicas, forwarder_settings(settings_),
                 seed_for(inputs_, settings_, "forwarder"), inputs_.time, inputs_.metrics),
      job_store_(inputs_.store, inputs_.time, inputs_.metrics),
      gossip_endpoint_(inputs_.executor, inputs_.metrics),
      gossip_(inputs_.executor, gossip_endpoint_, self_of(inputs_, settings_), gossip_settings(),
              seed_for(inputs_, settings_, "gossip"), inputs_.time, inputs_.metrics),
      coordinator_(coordinator_inputs(), coordinator_settings(inputs_, settings_),
                   seed_for(inputs_, settings_, "term")) {}

Node::~Node() = default;

jobs::CoordinatorInputs Node::coordinator_inputs() {
  return {inputs_.executor,
          inputs_.store,
          job_store_,
          inputs_.parser,
          directory_,
          routes_,
          inputs_.replicas,
          forwarder_,
          [this] { return named_versions_; },
          [this] { return ready(); },
          [this](const std::string& holder) { return sign_of(holder); },
          inputs_.time,
          inputs_.metrics};
}

/// One machine runs one process, so a later life of a node ends the earlier ones.
jobs::HolderSign Node::sign_of(const std::string& holder) const {
  const std::string node = holder.substr(0, holder.find('#'));
  for (const wire::Member& member : gossip_.members()) {
    if (member.node.value() != node) {
      continue;
    }
    const bool is_other_life =
        holder_name(member.node, wire::life_of(member.incarnation)) != holder;
    const bool is_newer =
        member.node == settings_.name || member.state == wire::MemberState::kAlive;
    if (is_other_life && is_newer) {
      return jobs::HolderSign::kEnded;
    }
    const bool is_in_doubt =
        member.state == wire::MemberState::kSuspect || member.state == wire::MemberState::kDead;
    return is_in_doubt ? jobs::HolderSign::kSuspect : jobs::HolderSign::kUnknown;
  }
  return jobs::HolderSign::kUnknown;
}

core::Result<void> Node::open() {
  return gossip_endpoint_.open(settings_.gossip_address);
}

void Node::start() {
  gossip_.set_seeds(settings_.gossip_seeds);
  coordinator_.start();
}

/// Members are those that are ready, so a process joins no earlier.
void Node::join_when_ready() {
  if (!joined_ && ready()) {
    joined_ = true;
    gossip_.start();
  }
}

void Node::offer_routes(std::shared_ptr<const ingress::RouteTable> table) {
  const std::uint64_t version = table->version();
  const std::size_t routes = table->routes().size();
  if (!routes_.offer(std::move(table))) {
    return;
  }
  core::log_decision(core::DecisionEvent::kConfigurationInForce,
                     {{"version", version}, {"routes", routes}});
  join_when_ready();
  coordinator_.on_inputs_changed();
}

void Node::replace_replicas(std::vector<ingress::ReplicaRecord> records) {
  const std::size_t count = records.size();
  const std::vector<core::Address> left = directory_.update(std::move(records));
  for (const core::Address& address : left) {
    inputs_.replicas.forget(address);
  }
  core::log_decision(core::DecisionEvent::kReplicasChanged,
                     {{"listed", count}, {"left", left.size()}}, core::DecisionWeight::kRoutine);
  join_when_ready();
  coordinator_.on_inputs_changed();
}

void Node::replace_named_versions(std::map<core::ModelName, core::WeightVersion> versions) {
  for (const auto& [model, version] : versions) {
    if (named_versions_[model] < version) {
      core::log_decision(core::DecisionEvent::kVersionWanted,
                         {{"model", model.value()}, {"version", version.value()}});
      named_versions_[model] = version;
    }
  }
}

bool Node::ready() const {
  return !draining_ && routes_.current() != nullptr && directory_.loaded();
}

std::vector<core::Address> Node::caller_addresses(const core::ZoneName& zone) const {
  std::vector<core::Address> near;
  std::vector<core::Address> all;
  for (const wire::Member& member : gossip_.members()) {
    const bool is_self = member.node == settings_.name;
    const bool takes_callers =
        is_self ? ready() : member.state == wire::MemberState::kAlive && !member.leaving;
    if (!takes_callers || all.size() >= kMostAddresses) {
      continue;
    }
    all.push_back(member.peer_address);
    if (member.zone == zone) {
      near.push_back(member.peer_address);
    }
  }
  return near.size() >= kEnoughNearby ? near : all;
}

asio::awaitable<void> Node::drain() {
  draining_ = true;
  if (joined_) {
    gossip_.announce_leaving();
  }
  co_await coordinator_.stop();
  if (joined_) {
    gossip_.stop();
  }
}

}  // namespace stoneport::node
