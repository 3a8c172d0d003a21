#include "node/node.hpp"

#include <algorithm>
#include <iterator>

#include "core/decision_log.hpp"
#include "core/hash.hpp"
#include "ingress/route_regions.hpp"
#include "node/holder_liveness.hpp"
#include "node/isolation.hpp"
#include "node/node_gossip_settings.hpp"
#include "node/term_region.hpp"
#include "node/writer_rank.hpp"
#include "records/feed_pace.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::node {
namespace asio = boost::asio;
namespace {

constexpr core::Duration kHandOverPollInterval = std::chrono::milliseconds(100);
/// Interval between two updates of the live members and cold replicas; well below the time that
/// members need to detect a dead one.
constexpr core::Duration kColdTrackInterval = std::chrono::milliseconds(250);

/// Interval between two updates of the feed interval; the number of members changes over seconds.
constexpr core::Duration kFeedPaceInterval = std::chrono::seconds(1);

/// Interval between two updates of the load metrics, which are scraped every few seconds at most.
constexpr core::Duration kLoadPublishInterval = std::chrono::seconds(1);

std::uint64_t process_start_time(const core::TimeSource& time) {
  return static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count());
}

std::uint64_t seed_for(const NodeSettings& settings, std::uint64_t life,
                       std::string_view component) {
  return core::hash64(component, core::hash64(settings.name.value(), life));
}

wire::Member self_of(const NodeSettings& settings, std::uint64_t life) {
  wire::Member self;
  self.node = settings.name;
  self.incarnation = wire::first_incarnation(life);
  self.zone = settings.zone;
  self.region = settings.region;
  self.gossip_address = settings.gossip_address;
  self.peer_address = settings.caller_address;
  return self;
}

ingress::ForwarderSettings forwarder_settings(const NodeSettings& settings) {
  ingress::ForwarderSettings forwarder;
  forwarder.zone = settings.zone;
  forwarder.region = settings.region;
  forwarder.process = settings.name.value();
  if (settings.load_control.admission) {
    forwarder.admission.emplace();
  }
  forwarder.second_calls = settings.load_control.second_calls;
  return forwarder;
}

jobs::CoordinatorSettings coordinator_settings(const NodeSettings& settings,
                                               const std::string& life) {
  jobs::CoordinatorSettings coordinator = settings.coordinator;
  coordinator.term.holder = life;
  coordinator.region = settings.region;
  coordinator.scorer.shares_by_due_time = settings.load_control.admission;
  coordinator.term.bid_delay = jobs::bid_delay_of(settings.processor_share);
  coordinator.dispatcher.fair_steps = settings.load_control.fair_steps;
  return coordinator;
}

usage::UsagePublisherSettings publisher_settings(const std::string& life) {
  usage::UsagePublisherSettings publisher;
  publisher.process = life;
  return publisher;
}

std::set<core::ZoneName> difference(const std::set<core::ZoneName>& from,
                                    const std::set<core::ZoneName>& without) {
  std::set<core::ZoneName> left;
  std::set_difference(from.begin(), from.end(), without.begin(), without.end(),
                      std::inserter(left, left.end()));
  return left;
}

nlohmann::json names_of(const std::set<core::ZoneName>& zones) {
  nlohmann::json names = nlohmann::json::array();
  for (const core::ZoneName& zone : zones) {
    names.push_back(zone.value());
  }
  return names;
}

}  // namespace

Node::Node(NodeInputs inputs, NodeSettings settings)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      directory_(settings_.zone_regions),
      life_number_(process_start_time(inputs_.time)),
      life_(holder_name(settings_.name, life_number_)),
      directory_random_(seed_for(settings_, life_number_, "directory")),
      window_clock_(inputs_.time, settings_.usage.window_length),
      usage_counter_(window_clock_),
      forwarder_(directory_, inputs_.replicas, forwarder_settings(settings_),
                 seed_for(settings_, life_number_, "forwarder"), inputs_.time, inputs_.metrics,
                 &usage_counter_),
      job_store_(inputs_.store, inputs_.time, inputs_.metrics),
      gossip_endpoint_(inputs_.executor, inputs_.metrics),
      gossip_(inputs_.executor, gossip_endpoint_, self_of(settings_, life_number_),
              node_gossip_settings(), seed_for(settings_, life_number_, "gossip"), inputs_.time,
              inputs_.metrics),
      suspect_exchange_(inputs_.executor, gossip_, forwarder_.guard(), settings_.name,
                        seed_for(settings_, life_number_, "suspects"), inputs_.time,
                        inputs_.metrics),
      suspect_rows_(inputs_.executor, inputs_.store, forwarder_.guard(), inputs_.time,
                    inputs_.metrics),
      shared_health_(directory_, {settings_.name, settings_.zone},
                     seed_for(settings_, life_number_, "shared health")),
      health_exchange_(inputs_.executor, gossip_, shared_health_, settings_.name,
                       seed_for(settings_, life_number_, "health exchange"), inputs_.time,
                       inputs_.metrics),
      coordinator_(coordinator_inputs(), coordinator_settings(settings_, life_),
                   seed_for(settings_, life_number_, "term")),
      store_watch_(inputs_.executor, inputs_.store, inputs_.time, inputs_.metrics),
      usage_publisher_(publisher_inputs(), publisher_settings(life_)),
      cold_replica_monitor_(inputs_.metrics),
      load_metrics_(inputs_.metrics),
      evacuated_zones_(inputs_.metrics.gauge(
          "stoneport_evacuated_zones", "Evacuated zones, to whose replicas nothing is sent")) {
  directory_.gate().cold_rate_limiter().replace_bound(settings_.cold_bound);
  suspect_rows_.set_rank([this](const core::RequestFingerprint& content) {
    return writer_rank(content.value(), settings_.name, gossip_.members_by_node());
  });
}

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
          [this](const std::string& holder) {
            return holder_liveness(holder, gossip_.members_by_node());
          },
          inputs_.time,
          inputs_.metrics,
          [this] {
            return has_coordinator_elsewhere(settings_.region, job_regions_,
                                             gossip_.members_by_node());
          },
          [this](const jobs::TermContext& context) { return make_duties(context); }};
}

usage::UsagePublisher::Inputs Node::publisher_inputs() {
  return {inputs_.executor,
          inputs_.store,
          usage_counter_,
          window_clock_,
          [this] { return counts_usage(); },
          [this] { return gossip_.members_by_node().size(); },
          inputs_.time,
          inputs_.metrics};
}

std::vector<jobs::TermDutyPointer> Node::make_duties(const jobs::TermContext& context) {
  std::vector<jobs::TermDutyPointer> duties;
  if (settings_.usage.reports) {
    usage::UsageReporter::Inputs inputs{inputs_.executor,
                                        inputs_.store,
                                        job_store_,
                                        inputs_.duties,
                                        window_clock_,
                                        [this] { return counts_usage(); },
                                        [this] { return running_processes(); },
                                        inputs_.time,
                                        inputs_.metrics};
    duties.push_back(std::make_shared<usage::UsageReporter>(std::move(inputs), context,
                                                            settings_.usage.reporter));
  }
  if (settings_.orders_replicas) {
    fleet::ReplicaScaler::Inputs inputs{inputs_.executor, inputs_.store,  job_store_,
                                        inputs_.duties,   routes_,        directory_,
                                        inputs_.time,     inputs_.metrics};
    duties.push_back(
        std::make_shared<fleet::ReplicaScaler>(std::move(inputs), context, settings_.scaler));
  }
  return duties;
}

bool Node::counts_usage() const {
  return settings_.usage.reports && routes_.current() != nullptr &&
         routes_.current()->tenants().requires_keys();
}

std::vector<std::string> Node::running_processes() const {
  std::vector<std::string> lives = {life_};
  for (const auto& [node, member] : gossip_.members_by_node()) {
    if (node != settings_.name && member.state == wire::MemberState::kAlive) {
      lives.push_back(holder_name(node, wire::life_of(member.incarnation)));
    }
  }
  return lives;
}

core::Result<void> Node::open() {
  return gossip_endpoint_.open(settings_.gossip_address);
}

void Node::start() {
  gossip_.set_seeds(settings_.gossip_seeds);
  gossip_.on_zone_change([this] { on_zone_notices(); });
  gossip_.on_message([this](const controllers::ReceivedMessage& message) {
    suspect_exchange_.on_message(message);
    health_exchange_.on_message(message);
  });
  suspect_exchange_.start();
  if (settings_.load_control.shared_health) {
    health_exchange_.start();
  }
  suspect_rows_.start();
  coordinator_.start();
  store_watch_.start();
  usage_publisher_.start();
  runtime::start(inputs_.executor, "cold replicas", track_cold_replicas());
  runtime::start(inputs_.executor, "pace of feeds", pace_feeds());
  runtime::start(inputs_.executor, "load", publish_load());
}

std::vector<std::string> Node::cold_senders() const {
  if (draining_ || !joined_ || is_isolated()) {
    return {};
  }
  std::vector<std::string> living = {settings_.name.value()};
  for (const auto& [node, member] : gossip_.members_by_node()) {
    const bool is_other = node != settings_.name;
    if (is_other && member.state == wire::MemberState::kAlive && !member.leaving) {
      living.push_back(node.value());
    }
  }
  return living;
}

asio::awaitable<void> Node::track_cold_replicas() {
  while (true) {
    const core::MonotonicTime now = inputs_.time.now();
    if (joined_) {
      directory_.gate().cold_rate_limiter().replace_members(settings_.name.value(), cold_senders(),
                                                            now);
    }
    cold_replica_monitor_.update(directory_, now);
    co_await runtime::sleep_for(kColdTrackInterval);
  }
}

asio::awaitable<void> Node::publish_load() {
  while (true) {
    load_metrics_.publish(forwarder_.load_statistics(), inputs_.time.now());
    co_await runtime::sleep_for(kLoadPublishInterval);
  }
}

core::Duration Node::feed_interval() const {
  return records::feed_interval(gossip_.members_by_node().size(),
                                inputs_.store.limits().reads_per_second);
}

records::RereadOptions Node::reread_options() const {
  records::RereadOptions options;
  options.first_key = [this] { return directory_.first_name_in_windows(settings_.name.value()); };
  options.pause = [this](std::size_t page_bytes, core::Duration took) {
    const bool needs_more = coordinator_.is_coordinating() || is_missing_a_service();
    return needs_more ? core::Duration(0)
                      : records::reread_pause(gossip_.members_by_node().size(), page_bytes, took);
  };
  options.most_page_bytes = [this] {
    return records::most_page_bytes(gossip_.members_by_node().size());
  };
  return options;
}

bool Node::is_missing_a_service() const {
  const std::shared_ptr<const ingress::RouteTable> table = routes_.current();
  if (!table) {
    return false;
  }
  for (const ingress::Route& route : table->routes()) {
    for (const ingress::RouteTarget& target : route.targets) {
      if (directory_.of_service(target.service).empty()) {
        return true;
      }
    }
  }
  return false;
}

asio::awaitable<void> Node::pace_feeds() {
  while (true) {
    coordinator_.set_feed_interval(feed_interval());
    co_await runtime::sleep_for(kFeedPaceInterval);
  }
}

/// Joins the gossip once this process is ready, because every alive member counts as ready.
void Node::join_when_ready() {
  if (!joined_ && ready()) {
    joined_ = true;
    gossip_.start();
  }
}

void Node::update_routes(std::shared_ptr<const ingress::RouteTable> table) {
  const std::uint64_t version = table->version();
  const std::size_t routes = table->routes().size();
  if (!routes_.offer(std::move(table))) {
    return;
  }
  const tenants::TenantTable& tenants = routes_.current()->tenants();
  std::vector<std::string> region_faults =
      ingress::region_faults(*routes_.current(), settings_.zone_regions);
  core::log_decision(core::DecisionEvent::kConfigurationInForce,
                     {{"version", version},
                      {"routes", routes},
                      {"tenants", tenants.size()},
                      {"faults", tenants.faults()},
                      {"region_faults", std::move(region_faults)}});
  job_regions_ = ingress::binding_of_jobs(*routes_.current());
  directory_.gate().cold_rate_limiter().replace_limits(routes_.current()->cold_starts());
  join_when_ready();
  coordinator_.on_inputs_changed();
}

void Node::apply_replica_changes(ingress::ReplicaChanges changes) {
  const std::size_t written = changes.written.size();
  const std::vector<core::Address> left = directory_.apply(std::move(changes));
  for (const core::Address& address : left) {
    inputs_.replicas.forget(address);
  }
  crash_guard().on_listing_changed();
  core::log_decision(core::DecisionEvent::kReplicasChanged,
                     {{"listed", directory_.size()}, {"written", written}, {"left", left.size()}},
                     core::DecisionWeight::kRoutine);
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

void Node::mark_cold(const core::ReplicaId& replica, core::Duration left) {
  if (directory_.find(replica)) {
    directory_.gate().cold_rate_limiter().presume_cold(replica, inputs_.time.now() + left);
  }
}

void Node::apply_evacuations(eligibility::ListedEvacuations listed, core::Revision as_of) {
  eligibility::Evacuations& evacuations = directory_.gate().evacuations();
  const std::set<core::ZoneName> before = evacuations.zones();
  const bool has_changed = evacuations.apply_listing(std::move(listed), as_of);
  if (has_changed) {
    on_evacuations_changed(before);
  }
  for (const auto& [zone, notice] : evacuations.notices()) {
    gossip_.announce_zone({notice.zone, notice.revision, notice.evacuated});
  }
}

void Node::on_zone_notices() {
  eligibility::Evacuations& evacuations = directory_.gate().evacuations();
  const std::set<core::ZoneName> before = evacuations.zones();
  bool has_changed = false;
  for (const auto& [zone, notice] : gossip_.zone_notices()) {
    has_changed |= evacuations.apply_notice({notice.zone, notice.revision, notice.evacuated});
  }
  if (has_changed) {
    on_evacuations_changed(before);
  }
}

void Node::on_evacuations_changed(const std::set<core::ZoneName>& before) {
  const std::set<core::ZoneName>& now = directory_.gate().evacuations().zones();
  const std::set<core::ZoneName> begun = difference(now, before);
  const std::set<core::ZoneName> ended = difference(before, now);
  for (const core::ZoneName& zone : begun) {
    evacuated_since_[zone] = inputs_.time.now();
  }
  for (const core::ZoneName& zone : ended) {
    evacuated_since_.erase(zone);
    directory_.presume_cold(zone, inputs_.time.now());
  }
  evacuated_zones_.Set(static_cast<double>(now.size()));
  core::log_decision(core::DecisionEvent::kZonesEvacuated,
                     {{"zones", names_of(now)},
                      {"begun", names_of(begun)},
                      {"ended", names_of(ended)},
                      {"unknown", names_of(directory_.unknown_zones(now))},
                      {"all", directory_.size() > 0 && !directory_.has_open_zone()}});
  coordinator_.on_inputs_changed();
}

bool Node::ready() const {
  return !draining_ && routes_.current() != nullptr && directory_.loaded();
}

bool Node::can_serve_binding(const eligibility::RegionBinding& binding) const {
  return ingress::is_known(binding, settings_.zone_regions);
}

bool Node::is_isolated() const {
  const core::Duration silence = inputs_.time.now() - inputs_.store.last_served();
  return node::is_isolated(settings_.name, gossip_.members_by_node(), silence, can_reach_others());
}

std::vector<core::Address> Node::caller_addresses(const CallerLocation& location,
                                                  std::string_view host) {
  if (is_isolated()) {
    return {};
  }
  const AvailableMembers candidates =
      available_members({settings_.name, ready(), can_reach_others()}, gossip_.members_by_node());
  const eligibility::Regions allowed_regions =
      routes_.current() ? ingress::regions_of_host(*routes_.current(), host)
                        : eligibility::Regions();
  return select_caller_addresses(candidates, location, allowed_regions, directory_random_);
}

bool Node::can_reach_others() const {
  return node::can_reach_others(gossip_.time_since_last_answer());
}

bool Node::has_other_ready_member() const {
  return has_other_live_member(settings_.name, gossip_.members_by_node());
}

asio::awaitable<void> Node::drain(core::Duration max_wait) {
  const core::MonotonicTime wait_until = inputs_.time.now() + max_wait;
  draining_ = true;
  if (joined_) {
    gossip_.announce_leaving();
  }
  // Without a ready successor this process goes on with the jobs.
  while (lacks_successor() && inputs_.time.now() < wait_until) {
    co_await runtime::sleep_for(kHandOverPollInterval);
  }
  co_await coordinator_.stop();
  if (joined_) {
    gossip_.stop();
  }
}

core::Duration Node::longest_request() const {
  const std::shared_ptr<const ingress::RouteTable>& table = routes_.current();
  return table ? table->longest_request() : core::Duration(0);
}

asio::awaitable<void> Node::finish(core::Duration limit) {
  co_await usage_publisher_.flush(limit);
}

}  // namespace stoneport::node
