#include "controllers/configuration_controller.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;
using config::AdoptionVerdict;
using ports::TablePriority;

constexpr int kMaxPublishAttempts = 8;
constexpr int kMaxStoreReads = 3;
constexpr core::Duration kPublishRetryDelay = std::chrono::milliseconds(50);
constexpr core::Duration kRetryAfterConflicts = std::chrono::seconds(1);
constexpr core::Duration kFetchRetryDelay = std::chrono::milliseconds(150);

std::string write_prefix(const wire::Member& self, std::uint64_t seed) {
  return fmt::format("configuration/{}/{}/{}", self.node.value(), self.incarnation.value(), seed);
}

asio::awaitable<void> wait(asio::steady_timer& timer, core::Duration length) {
  timer.expires_after(length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

core::Error unknown_outcome(const config::PublishCommit& commit, const std::string& cause) {
  return core::make_error(
      core::ErrorCode::kOutcomeUnknown,
      fmt::format("whether {} was accepted as revision {} is not known ({}); publish the same "
                  "document again: if it was accepted, that changes nothing",
                  to_string(commit.key), commit.record.revision.value(), cause));
}

/// An older revision is not an error: the sender will catch up.
bool is_refusal(AdoptionVerdict verdict) {
  return verdict != AdoptionVerdict::kAdopted && verdict != AdoptionVerdict::kSame &&
         verdict != AdoptionVerdict::kOlder;
}

core::Error refusal(AdoptionVerdict verdict) {
  return core::make_error(core::ErrorCode::kProtocol,
                          fmt::format("configuration refused: {}", config::to_string(verdict)));
}

}  // namespace

ConfigurationController::ConfigurationController(asio::any_io_executor executor,
                                                 ports::TableService& table, Membership& membership,
                                                 http::Client& client, const core::TimeSource& time,
                                                 core::Metrics& metrics,
                                                 ConfigurationOptions options)
    : executor_(executor),
      membership_(membership),
      time_(time),
      metrics_(metrics),
      self_(membership.self()),
      options_(options),
      random_(options.seed),
      store_(table, write_prefix(self_, options.seed)),
      peer_client_(client, time),
      adoption_(self_.zone),
      peer_timer_(executor),
      store_timer_(executor),
      revision_gauge_(metrics.gauge("stoneport_configuration_revision",
                                    "Revision of the configuration in force")) {}

void ConfigurationController::start() {
  membership_.on_change([this] {
    members_changed_ = true;
    peer_timer_.cancel();
  });
  runtime::start(executor_, "configuration peers", run_peer_loop());
  runtime::start(executor_, "configuration store", run_store_loop());
}

void ConfigurationController::stop() {
  stopping_ = true;
  peer_timer_.cancel();
  store_timer_.cancel();
}

asio::awaitable<void> ConfigurationController::run_peer_loop() {
  while (!stopping_) {
    members_changed_ = false;
    co_await sync_with_peers();
    if (!members_changed_ && !stopping_) {
      co_await wait(peer_timer_, jittered(options_.peer_poll_interval));
    }
  }
}

asio::awaitable<void> ConfigurationController::run_store_loop() {
  while (!stopping_) {
    core::Result<ConfigurationHead> asked = co_await sync_with_store(TablePriority::kBackground);
    count("store_read", asked.has_value() ? "ok" : "failed");
    const core::Duration shortest =
        ready() ? options_.min_store_poll_interval : options_.initial_store_poll_interval;
    const core::Duration pause = config::next_store_poll(
        membership_.members().size(), options_.fleet_store_polls_per_second, shortest, random_);
    if (!stopping_) {
      co_await wait(store_timer_, pause);
    }
  }
}

/// Fetches from peers until no peer is known to have a newer configuration and none is
/// needed to confirm this one.
asio::awaitable<void> ConfigurationController::sync_with_peers() {
  while (!stopping_) {
    const std::vector<config::ConfigurationPeer> known = peers();
    std::optional<config::ConfigurationPeer> chosen = adoption_.newer_peer(known, random_);
    if (!chosen) {
      chosen = adoption_.vouching_peer(known, random_);
    }
    if (!chosen) {
      check_ready();
      co_return;
    }
    const std::vector<wire::Member> members = other_members();
    const auto member = std::find_if(
        members.begin(), members.end(),
        [&chosen](const wire::Member& candidate) { return candidate.node == chosen->node; });
    const core::Revision before = adoption_.revision();
    core::Result<void> asked = co_await fetch_from_peer(*member);
    count("peer_fetch", asked.has_value() ? "ok" : "failed");
    if (adoption_.revision() == before && !stopping_) {
      co_await runtime::sleep_for(jittered(kFetchRetryDelay));
    }
  }
}

asio::awaitable<core::Result<void>> ConfigurationController::fetch_from_peer(wire::Member peer) {
  const core::Revision since =
      next_peer_fetch_ == FetchScope::kFull ? core::Revision() : adoption_.revision();
  core::Result<PeerConfiguration> answer =
      co_await peer_client_.fetch(peer, since, options_.exchange_timeout);
  if (answer.has_error()) {
    co_return answer.error();
  }
  const AdoptionVerdict verdict = accept_offer(*answer);
  next_peer_fetch_ = verdict == AdoptionVerdict::kBadHash ? FetchScope::kFull : FetchScope::kDelta;
  if (is_refusal(verdict)) {
    co_return refusal(verdict);
  }
  if (answer->ready) {
    adoption_.heard_ready_peer(answer->zone);
  }
  check_ready();
  co_return core::Result<void>();
}

/// Reads the head row and, if it is newer, the documents behind it. A hash mismatch means
/// either that a document was published between the two reads, or that this daemon holds
/// content that the store never had. In both cases the next attempt reads the full
/// configuration.
asio::awaitable<core::Result<ConfigurationHead>> ConfigurationController::sync_with_store(
    TablePriority priority) {
  core::Error error;
  for (int reading = 0; reading < kMaxStoreReads; ++reading) {
    core::Result<ConfigurationHead> head = co_await store_.read_head(priority);
    if (head.has_error()) {
      co_return head.error();
    }
    core::Result<void> outcome;
    if (head->revision > adoption_.revision()) {
      const FetchScope scope = reading == 0 ? FetchScope::kDelta : FetchScope::kFull;
      outcome = co_await read_newer(*head, scope, priority);
    } else {
      count("head", adoption_.compare(head->revision, head->hash));
    }
    if (outcome.has_value()) {
      update_known_head(*head);
      adoption_.heard_store();
      check_ready();
      co_return head;
    }
    error = outcome.error();
    if (error.code != core::ErrorCode::kProtocol) {
      break;
    }
  }
  co_return error;
}

asio::awaitable<core::Result<void>> ConfigurationController::read_newer(ConfigurationHead head,
                                                                        FetchScope scope,
                                                                        TablePriority priority) {
  const ConfigurationHead start = scope == FetchScope::kFull ? ConfigurationHead() : known_head_;
  core::Result<std::map<config::DocumentKey, config::DocumentRecord>> documents =
      co_await store_.read_documents(start.row, priority);
  if (documents.has_error()) {
    co_return documents.error();
  }
  config::ConfigurationDelta delta;
  delta.since = std::min(start.revision, adoption_.revision());
  delta.whole_hash = head.hash;
  delta.changed.revision = head.revision;
  delta.changed.documents = std::move(*documents);
  const AdoptionVerdict verdict = adopt(delta);
  if (is_refusal(verdict)) {
    co_return refusal(verdict);
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<PublishOutcome>> ConfigurationController::publish(
    config::PublishRequest request) {
  core::Result<PublishOutcome> outcome =
      core::make_error(core::ErrorCode::kUnavailable, "no attempt to publish was made");
  for (int attempt = 0; attempt < kMaxPublishAttempts; ++attempt) {
    outcome = co_await try_publish(request);
    const bool raced = outcome.has_error() && outcome.error().code == core::ErrorCode::kConflict;
    if (!raced) {
      break;
    }
    co_await runtime::sleep_for(jittered(kPublishRetryDelay));
  }
  count("publish", outcome.has_value() ? "answered" : "failed");
  if (outcome.has_error() && outcome.error().code == core::ErrorCode::kConflict) {
    co_return core::make_error(core::ErrorCode::kUnavailable,
                               fmt::format("not accepted after {} attempts: {}",
                                           kMaxPublishAttempts, outcome.error().message),
                               kRetryAfterConflicts);
  }
  co_return outcome;
}

/// Reads the newest configuration once and tries once to commit on top of it.
asio::awaitable<core::Result<PublishOutcome>> ConfigurationController::try_publish(
    config::PublishRequest request) {
  core::Result<ConfigurationHead> head = co_await sync_with_store(TablePriority::kInteractive);
  if (head.has_error()) {
    co_return core::make_error(
        core::ErrorCode::kUnavailable,
        "not accepted: the newest configuration could not be read: " + head.error().message);
  }
  if (head->revision != adoption_.revision()) {
    co_return core::make_error(core::ErrorCode::kConflict,
                               "the store holds an older configuration than the one in force");
  }
  config::PublishPlan plan = config::plan_publish(record(), request, time_.wall_now());
  if (auto* commit = std::get_if<config::PublishCommit>(&plan)) {
    co_return co_await commit_plan(std::move(*commit), *head);
  }
  if (const auto* unchanged = std::get_if<config::PublishUnchanged>(&plan)) {
    co_return PublishOutcome(PublishAccepted{unchanged->key, unchanged->revision, true, 0});
  }
  if (auto* conflict = std::get_if<config::PublishConflict>(&plan)) {
    co_return PublishOutcome(std::move(*conflict));
  }
  co_return PublishOutcome(std::get<config::PublishInvalid>(std::move(plan)));
}

asio::awaitable<core::Result<PublishOutcome>> ConfigurationController::commit_plan(
    config::PublishCommit commit, ConfigurationHead head) {
  core::Result<ConfigurationHead> committed = co_await store_.commit(commit, head);
  if (committed.has_error()) {
    const core::Error error = committed.error();
    const bool unsettled = error.code == core::ErrorCode::kOutcomeUnknown ||
                           error.code == core::ErrorCode::kDeadlineExceeded;
    co_return unsettled ? unknown_outcome(commit, error.message) : error;
  }
  const core::Revision revision = commit.record.revision;
  adopt(config::delta_since(commit.record, head.revision));
  update_known_head(*committed);
  adoption_.heard_store();
  check_ready();
  const std::uint32_t copies = co_await push_to_zones(head.revision);
  co_return PublishOutcome(PublishAccepted{commit.key, revision, false, copies});
}

/// Pushes the changes after \p since to one member of every other zone, so that an accepted
/// revision survives the loss of this process even while the store is down.
asio::awaitable<std::uint32_t> ConfigurationController::push_to_zones(core::Revision since) {
  std::uint32_t copies = 0;
  const std::vector<wire::Member> targets = one_member_of_each_other_zone();
  for (const wire::Member& target : targets) {
    core::Result<void> pushed =
        co_await peer_client_.push(target, offer_since(since), options_.push_timeout);
    copies += pushed.has_value() ? 1 : 0;
    count("peer_push", pushed.has_value() ? "ok" : "failed");
  }
  co_return copies;
}

PeerConfiguration ConfigurationController::offer_since(core::Revision since) const {
  return PeerConfiguration{self_.node, self_.zone, ready(), config::delta_since(record(), since)};
}

AdoptionVerdict ConfigurationController::accept_offer(const PeerConfiguration& offer) {
  return adopt(offer.delta);
}

AdoptionVerdict ConfigurationController::adopt(const config::ConfigurationDelta& delta) {
  config::Adoption adoption = adoption_.take(delta);
  count("take", adoption.verdict);
  if (adoption.verdict == AdoptionVerdict::kAdopted) {
    activate(std::move(adoption.configuration));
  }
  return adoption.verdict;
}

void ConfigurationController::activate(config::Configuration configuration) {
  const core::Revision revision = configuration.revision;
  snapshots_.publish(std::make_shared<const config::Configuration>(std::move(configuration)));
  membership_.announce_configuration(revision);
  revision_gauge_.Set(static_cast<double>(revision.value()));
  spdlog::info("configuration {} in force", revision.value());
  notify_listeners();
}

/// Records \p head if the active configuration includes everything up to it.
void ConfigurationController::update_known_head(const ConfigurationHead& head) {
  if (head.row >= known_head_.row && head.revision <= adoption_.revision()) {
    known_head_ = head;
  }
}

void ConfigurationController::check_ready() {
  const bool before = ready();
  if (adoption_.update_ready(peers()) && !before) {
    spdlog::info("ready with configuration {}", adoption_.revision().value());
    notify_listeners();
  }
}

void ConfigurationController::notify_listeners() {
  for (const std::function<void()>& listener : listeners_) {
    listener();
  }
}

void ConfigurationController::count(const char* what, AdoptionVerdict verdict) {
  count(what, std::string(config::to_string(verdict)));
}

void ConfigurationController::count(const char* what, const std::string& outcome) {
  metrics_
      .counter("stoneport_configuration_events_total",
               "Operations of the configuration controller, by event and outcome",
               {{"event", what}, {"outcome", outcome}})
      .Increment();
}

std::vector<wire::Member> ConfigurationController::other_members() const {
  std::vector<wire::Member> members = membership_.members();
  std::erase_if(members, [this](const wire::Member& member) {
    return member.node == self_.node || member.state == wire::MemberState::kDead;
  });
  return members;
}

std::vector<config::ConfigurationPeer> ConfigurationController::peers() const {
  std::vector<config::ConfigurationPeer> known;
  for (const wire::Member& member : other_members()) {
    known.push_back({member.node, member.zone, member.configuration_revision});
  }
  return known;
}

std::vector<wire::Member> ConfigurationController::one_member_of_each_other_zone() {
  std::map<core::ZoneName, std::vector<wire::Member>> zones;
  for (wire::Member& member : other_members()) {
    if (member.zone != self_.zone && member.state == wire::MemberState::kAlive) {
      zones[member.zone].push_back(std::move(member));
    }
  }
  std::vector<wire::Member> chosen;
  for (const auto& [zone, members] : zones) {
    chosen.push_back(members[random_.uniform(0, members.size() - 1)]);
  }
  return chosen;
}

InForceCounts ConfigurationController::count_in_force(core::Revision revision) const {
  InForceCounts counts;
  for (const wire::Member& member : membership_.members()) {
    if (member.state == wire::MemberState::kDead) {
      continue;
    }
    ++counts.total;
    if (member.configuration_revision >= revision) {
      ++counts.in_force;
    } else {
      counts.missing.push_back(member.node);
    }
  }
  return counts;
}

core::Duration ConfigurationController::jittered(core::Duration length) {
  return core::from_seconds(core::to_seconds(length) * (0.5 + random_.fraction()));
}

}  // namespace stoneport::controllers
