#include "ingress/crash_guard.hpp"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;
namespace {

nlohmann::json names_of(const std::set<core::ReplicaId>& replicas) {
  nlohmann::json names = nlohmann::json::array();
  for (const core::ReplicaId& replica : replicas) {
    names.push_back(replica.value());
  }
  return names;
}

ports::ReplicaTarget target_of(const ReplicaState& replica) {
  return {replica.record.id, replica.record.address};
}

void log_held(const quarantine::Suspect& suspect) {
  core::log_decision(core::DecisionEvent::kSuspectHeld,
                     {{"content", suspect.content.value()}, {"replicas", names_of(suspect.ended)}});
}

}  // namespace

struct CrashGuard::Meters {
  explicit Meters(core::Metrics& metrics)
      : ends(metrics.counter("stoneport_crash_suspect_ends_total",
                             "Replica crashes recorded against the requests that were running")),
        cleared(metrics.counter(
            "stoneport_crash_suspects_cleared_total",
            "Suspects cleared because a replica served them completely or an operator "
            "released them")),
        held(metrics.counter("stoneport_crash_suspect_held_back_total",
                             "Times that a request was held back because three or more replicas "
                             "had crashed while running it")),
        withdrawn(metrics.counter("stoneport_crash_suspect_ends_withdrawn_total",
                                  "Recorded crashes withdrawn from a request because other "
                                  "replicas carried its text past the point of the crash")),
        suspects(metrics.gauge("stoneport_crash_suspects",
                               "Requests known to this process during which replicas crashed")),
        held_back(metrics.gauge("stoneport_crash_suspects_held",
                                "Requests known to this process that are held back")) {}
  prometheus::Counter& ends;
  prometheus::Counter& cleared;
  prometheus::Counter& held;
  prometheus::Counter& withdrawn;
  prometheus::Gauge& suspects;
  prometheus::Gauge& held_back;
};

CrashGuard::Run::~Run() {
  if (guard_ != nullptr) {
    guard_->runs_.end(run_);
  }
}

CrashGuard::CrashGuard(ReplicaDirectory& directory, ports::ReplicaClient& client,
                       const core::TimeSource& time, core::Metrics& metrics,
                       CrashGuardSettings settings)
    : directory_(directory),
      client_(client),
      time_(time),
      settings_(settings),
      meters_(std::make_unique<Meters>(metrics)),
      suspects_(settings.suspects),
      history_(settings.history),
      runs_(directory, time, settings.runs,
            [this](const SuspectRun& run, bool is_over) { announce_run(run, is_over); }),
      watch_(client, metrics, settings.watch,
             [this](const BrokenCall& call, CrashVerdict verdict) { on_verdict(call, verdict); }) {}

CrashGuard::~CrashGuard() = default;

std::size_t CrashGuard::healthy_count(const core::ServiceName& service) const {
  const core::MonotonicTime now = time_.now();
  const std::vector<ReplicaPointer>& replicas = directory_.of_service(service);
  const auto is_healthy = [&](const ReplicaPointer& replica) {
    return replica->accepts_work() && !replica->is_suspect(now) && !replica->has_ended() &&
           !watch_.is_watched(replica->record.id) &&
           directory_.gate().is_open(replica->record.zone);
  };
  return static_cast<std::size_t>(std::count_if(replicas.begin(), replicas.end(), is_healthy));
}

bool CrashGuard::may_risk_replica(const core::ServiceName& service) {
  const core::MonotonicTime now = time_.now();
  if (healthy_count(service) > 1) {
    at_most_one_healthy_since_.erase(service);
    return true;
  }
  const core::MonotonicTime since =
      at_most_one_healthy_since_.try_emplace(service, now).first->second;
  return now - since >= settings_.sole_replica_delay;
}

void CrashGuard::on_listing_changed() {
  std::erase_if(at_most_one_healthy_since_,
                [this](const auto& entry) { return healthy_count(entry.first) > 1; });
}

/// A popular request is often running when a replica crashes. A request that was served before is
/// trusted after one crash, and after several as long as another request was present at each.
quarantine::RunRestriction CrashGuard::restriction_of(
    const core::RequestFingerprint& content) const {
  const bool was_served = served_.contains(content);
  // The connections of many replicas may break at once without a crash. A request that everybody
  // sends must not wait for that.
  const std::size_t in_doubt = was_served ? 0 : count_in_doubt(content);
  const quarantine::RunRestriction restriction =
      suspects_.restriction_of(content, was_served, in_doubt);
  const bool is_trusted =
      was_served && restriction == quarantine::RunRestriction::kNotOnLastReplica;
  if (is_trusted) {
    return quarantine::RunRestriction::kFree;
  }
  const bool must_wait =
      restriction == quarantine::RunRestriction::kHeld && reviews_.contains(content);
  return must_wait ? quarantine::RunRestriction::kUndecided : restriction;
}

bool CrashGuard::is_held(const core::RequestFingerprint& content) const {
  return suspects_.restriction_of(content) == quarantine::RunRestriction::kHeld &&
         !reviews_.contains(content);
}

std::size_t CrashGuard::count_in_doubt(const core::RequestFingerprint& content) const {
  const std::set<core::ReplicaId> in_doubt = runs_.in_doubt(content);
  const quarantine::Suspect* suspect = suspects_.find(content);
  return static_cast<std::size_t>(
      std::count_if(in_doubt.begin(), in_doubt.end(), [&](const core::ReplicaId& replica) {
        return suspect == nullptr || !suspect->ended.contains(replica);
      }));
}

bool CrashGuard::waits_for_other_process(const core::RequestFingerprint& content) const {
  return runs_.runs_elsewhere(content) && !served_.contains(content);
}

bool CrashGuard::is_only_in_doubt(const core::RequestFingerprint& content) const {
  return suspects_.restriction_of(content) == quarantine::RunRestriction::kFree;
}

std::vector<ReplicaPointer> CrashGuard::replicas_for_suspects(
    const Route& route, const std::vector<ReplicaPointer>& usable) {
  std::set<core::ServiceName> services;
  for (const RouteTarget& target : route.targets) {
    if (may_risk_replica(target.service)) {
      services.insert(target.service);
    }
  }
  std::vector<ReplicaPointer> allowed = usable;
  std::erase_if(allowed, [&](const ReplicaPointer& replica) {
    return replica->has_ended() || !services.contains(replica->record.service);
  });
  const core::MonotonicTime now = time_.now();
  std::vector<ReplicaPointer> sound = allowed;
  std::erase_if(sound, [now](const ReplicaPointer& replica) { return replica->is_suspect(now); });
  return sound.empty() ? allowed : sound;
}

Admission CrashGuard::admit(const core::RequestFingerprint& content, const Route& route,
                            const std::vector<ReplicaPointer>& usable) {
  Admission admission;
  review(content);
  const quarantine::RunRestriction restriction = restriction_of(content);
  if (restriction == quarantine::RunRestriction::kFree && !waits_for_other_process(content)) {
    return admission;
  }
  suspects_.note_seen(content, time_.now());
  if (restriction == quarantine::RunRestriction::kHeld) {
    meters_->held.Increment();
    admission.kind = AdmissionKind::kHeld;
    return admission;
  }
  admission.kind = AdmissionKind::kWait;
  if (runs_.runs_somewhere(content) || restriction == quarantine::RunRestriction::kUndecided) {
    return admission;
  }
  if (restriction == quarantine::RunRestriction::kNotOnLastReplica && is_only_in_doubt(content)) {
    // Most connections that break once do so without a crash: the next attempt must not wait for
    // the verdict.
    if (runs_.may_run_despite_doubt(content)) {
      admission.kind = AdmissionKind::kRun;
      admission.allowed = runs_.least_shared(content, usable);
    }
    return admission;
  }
  admission.is_alone = restriction == quarantine::RunRestriction::kAlone;
  const ReplicaPointer reserved =
      runs_.try_reserve(content, replicas_for_suspects(route, usable), admission.is_alone);
  if (reserved) {
    admission.kind = AdmissionKind::kRun;
    admission.allowed = {reserved};
  }
  return admission;
}

std::optional<CrashGuard::Run> CrashGuard::begin(const core::RequestFingerprint& content,
                                                 const ReplicaState& replica,
                                                 const Admission& admission) {
  if (admission.kind != AdmissionKind::kRun) {
    return std::nullopt;
  }
  const SuspectRun run{content, replica.record.id, admission.is_alone, true};
  core::log_decision(
      core::DecisionEvent::kSuspectRuns,
      {{"content", content.value()}, {"replica", run.replica.value()}, {"alone", run.is_alone}});
  runs_.begin(run);
  return std::optional<Run>(std::in_place, *this, run);
}

asio::awaitable<bool> CrashGuard::resolve_broken_call(core::RequestFingerprint content,
                                                      std::string request_id,
                                                      ReplicaPointer replica,
                                                      std::uint64_t position) {
  // A replica that is draining or no longer listed may terminate at any time.
  if (!replica->accepts_work()) {
    co_return false;
  }
  BrokenCall call{std::move(content), std::move(request_id), replica, time_.now(), position};
  if (!replica->has_ended()) {
    ports::ReplicaTarget target = target_of(*replica);
    const bool has_ended = co_await client_.refuses_connections(std::move(target));
    if (!has_ended) {
      runs_.begin_doubt(call.content, replica->record.id);
      const asio::any_io_executor executor = co_await asio::this_coro::executor;
      watch_.watch(executor, std::move(call));
      co_return false;
    }
  }
  note_end(call);
  if (reviews_.contains(call.content) && history_.was_at_majority_of_crashes(call.content)) {
    check_others(co_await asio::this_coro::executor, *call.replica);
  }
  co_return true;
}

void CrashGuard::check_others(const asio::any_io_executor& executor, const ReplicaState& crashed) {
  const core::MonotonicTime now = time_.now();
  core::MonotonicTime& checked_at =
      others_checked_at_.try_emplace(crashed.record.service, core::MonotonicTime()).first->second;
  if (now < checked_at + settings_.review_delay) {
    return;  // for another request on the same replica
  }
  checked_at = now;
  std::size_t checked = 0;
  for (const ReplicaPointer& other : directory_.of_service(crashed.record.service)) {
    const bool may_have_ended = other->accepts_work() && !other->has_ended();
    if (may_have_ended && checked < settings_.max_checked_replicas) {
      ++checked;
      runtime::start(executor, "check of another replica", check_other(other));
    }
  }
}

asio::awaitable<void> CrashGuard::check_other(ReplicaPointer replica) {
  co_await check_replica(std::move(replica));
}

asio::awaitable<bool> CrashGuard::check_replica(ReplicaPointer replica) {
  // A replica that is draining or no longer listed may terminate at any time.
  if (!replica->accepts_work()) {
    co_return false;
  }
  if (!replica->has_ended()) {
    ports::ReplicaTarget target = target_of(*replica);
    const bool refuses = co_await client_.refuses_connections(std::move(target));
    if (refuses) {
      note_replica_end(*replica);
    }
  }
  co_return replica->has_ended();
}

void CrashGuard::note_replica_end(ReplicaState& replica) {
  // A replica that is draining or no longer listed may terminate at any time.
  if (!replica.accepts_work() || replica.has_ended()) {
    return;
  }
  const core::MonotonicTime now = time_.now();
  replica.note_end(now);
  replica.suspect(now, settings_.suspicion);
  history_.note_replica(replica.record.service, replica.record.id, now);
}

void CrashGuard::on_verdict(const BrokenCall& call, CrashVerdict verdict) {
  if (verdict == CrashVerdict::kCrashed) {
    note_end(call);
  }
  runs_.end_doubt(call.content, call.replica->record.id);
}

void CrashGuard::note_end(const BrokenCall& call) {
  const core::MonotonicTime now = time_.now();
  const ReplicaRecord& record = call.replica->record;
  call.replica->note_end(now);
  call.replica->suspect(now, settings_.suspicion);
  history_.note({call.content, record.service, record.id, call.broke_at, call.position});
  if (!suspects_.note_end(call.content, record.id, now)) {
    return;
  }
  meters_->ends.Increment();
  if (!recorded_outlived(call.content).empty()) {
    reviews_[call.content] = now + settings_.review_delay;
  }
  log_end(call);
  announce(call.content);
}

void CrashGuard::log_end(const BrokenCall& call) const {
  const quarantine::Suspect& suspect = *suspects_.find(call.content);
  core::log_decision(core::DecisionEvent::kReplicaEndedUnder,
                     {{"request", call.request_id},
                      {"content", call.content.value()},
                      {"replica", call.replica->record.id.value()},
                      {"service", call.replica->record.service.value()},
                      {"position", call.position},
                      {"ended", suspect.ended.size()},
                      {"terms", to_string(restriction_of(call.content))}});
}

std::set<core::ReplicaId> CrashGuard::recorded_outlived(
    const core::RequestFingerprint& content) const {
  std::set<core::ReplicaId> outlived = history_.outlived(content);
  const quarantine::Suspect* suspect = suspects_.find(content);
  std::erase_if(outlived, [suspect](const core::ReplicaId& replica) {
    return suspect == nullptr || !suspect->ended.contains(replica);
  });
  return outlived;
}

void CrashGuard::review(const core::RequestFingerprint& content) {
  const core::MonotonicTime now = time_.now();
  const auto pending = reviews_.find(content);
  if (pending != reviews_.end() && now < pending->second) {
    return;
  }
  const bool is_first_judgement = pending != reviews_.end();
  reviews_.erase(content);
  const std::set<core::ReplicaId> outlived = recorded_outlived(content);
  if (!outlived.empty() && !history_.was_at_majority_of_crashes(content) &&
      suspects_.withdraw_ends(content, outlived, now)) {
    meters_->withdrawn.Increment(static_cast<double>(outlived.size()));
    core::log_decision(core::DecisionEvent::kCrashesWithdrawn,
                       {{"content", content.value()},
                        {"replicas", names_of(outlived)},
                        {"left", suspects_.find(content)->ended.size()},
                        {"reason", "other replicas carried its text past the point of the crash"}});
    announce(content);
  } else if (is_first_judgement) {
    refresh_held();
  }
}

void CrashGuard::review_all() {
  std::vector<core::RequestFingerprint> contents;
  for (const auto& [content, suspect] : suspects_.all()) {
    contents.push_back(content);
  }
  for (const core::RequestFingerprint& content : contents) {
    review(content);
  }
}

void CrashGuard::note_served(const core::RequestFingerprint& content) {
  served_.note(content);
  history_.forget(content);
  reviews_.erase(content);
  runs_.withdraw_doubts(content);
  if (!suspects_.clear(content, time_.now())) {
    return;
  }
  meters_->cleared.Increment();
  core::log_decision(core::DecisionEvent::kSuspectCleared,
                     {{"content", content.value()}, {"reason", "served whole"}},
                     core::DecisionWeight::kRoutine);
  announce(content);
}

bool CrashGuard::release_suspect(const core::RequestFingerprint& content) {
  history_.forget(content);
  reviews_.erase(content);
  if (!suspects_.clear(content, time_.now())) {
    return false;
  }
  meters_->cleared.Increment();
  core::log_decision(core::DecisionEvent::kSuspectCleared,
                     {{"content", content.value()}, {"reason", "let go by an operator"}});
  announce(content);
  for (const Listener& listener : listeners_) {
    if (listener.on_released) {
      listener.on_released(content);
    }
  }
  return true;
}

void CrashGuard::apply_remote_suspect(const quarantine::Suspect& suspect) {
  const core::MonotonicTime now = time_.now();
  if (!suspects_.merge(suspect, now)) {
    return;
  }
  if (suspect.is_cleared()) {
    announce_cleared_elsewhere(suspect.content);
  }
  for (const core::ReplicaId& id : suspect.ended) {
    const ReplicaPointer replica = directory_.find(id);
    if (!replica) {
      continue;
    }
    history_.note({suspect.content, replica->record.service, id, now, std::nullopt});
    if (!replica->has_ended()) {
      replica->note_end(now);
      replica->suspect(now, settings_.suspicion);
    }
  }
  refresh_held();
}

void CrashGuard::announce_cleared_elsewhere(const core::RequestFingerprint& content) {
  for (const Listener& listener : listeners_) {
    if (listener.on_cleared_elsewhere) {
      listener.on_cleared_elsewhere(content);
    }
  }
}

void CrashGuard::announce(const core::RequestFingerprint& content) {
  refresh_held();
  for (const Listener& listener : listeners_) {
    if (listener.on_suspect) {
      listener.on_suspect(*suspects_.find(content));
    }
  }
}

void CrashGuard::announce_run(const SuspectRun& run, bool is_over) {
  for (const Listener& listener : listeners_) {
    if (listener.on_run) {
      listener.on_run(run, is_over);
    }
  }
}

void CrashGuard::forget_old() {
  review_all();
  suspects_.forget_old(time_.now());
  history_.forget_old(time_.now());
  runs_.forget_old();
  refresh_held();
}

void CrashGuard::refresh_held() {
  std::size_t suspects = 0;
  std::set<core::RequestFingerprint> held;
  for (const auto& [content, suspect] : suspects_.all()) {
    suspects += suspect.is_cleared() ? 0 : 1;
    const bool may_be_held = suspect.ended.size() >= settings_.suspects.crashes_before_held;
    if (may_be_held && is_held(content)) {
      held.insert(content);
    }
  }
  meters_->suspects.Set(static_cast<double>(suspects));
  meters_->held_back.Set(static_cast<double>(held.size()));
  const std::set<core::RequestFingerprint> before = std::exchange(held_, held);
  for (const core::RequestFingerprint& content : held) {
    if (!before.contains(content)) {
      announce_held(*suspects_.find(content));
    }
  }
}

void CrashGuard::announce_held(const quarantine::Suspect& suspect) {
  log_held(suspect);
  for (const Listener& listener : listeners_) {
    if (listener.on_held) {
      listener.on_held(suspect);
    }
  }
}

}  // namespace stoneport::ingress
