#include "ingress/crash_guard.hpp"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <tuple>

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
                             "Ends of replicas noted here against the requests that they ran")),
        cleared(metrics.counter("stoneport_crash_suspects_cleared_total",
                                "Suspects that a replica served whole, or that were let go")),
        held(metrics.counter("stoneport_crash_suspect_held_back_total",
                             "Times that a request got no replica because three or more had "
                             "ended under it")),
        suspects(metrics.gauge("stoneport_crash_suspects",
                               "Requests under which replicas ended, as this process knows")),
        held_back(metrics.gauge("stoneport_crash_suspects_held",
                                "Requests that run no more, as this process knows")) {}
  prometheus::Counter& ends;
  prometheus::Counter& cleared;
  prometheus::Counter& held;
  prometheus::Gauge& suspects;
  prometheus::Gauge& held_back;
};

CrashGuard::Run::~Run() {
  if (guard_ != nullptr) {
    guard_->end(run_);
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
      suspects_(settings.suspects) {}

CrashGuard::~CrashGuard() = default;

std::size_t CrashGuard::healthy_count(const core::ServiceName& service) const {
  const core::MonotonicTime now = time_.now();
  const std::vector<ReplicaPointer>& replicas = directory_.of_service(service);
  const auto is_healthy = [&](const ReplicaPointer& replica) {
    return replica->accepts_work() && !replica->is_suspect(now) && !replica->has_ended() &&
           directory_.gate().is_open(replica->record.zone);
  };
  return static_cast<std::size_t>(std::count_if(replicas.begin(), replicas.end(), is_healthy));
}

bool CrashGuard::may_risk_one(const core::ServiceName& service) {
  const core::MonotonicTime now = time_.now();
  if (healthy_count(service) > 1) {
    nearly_gone_since_.erase(service);
    return true;
  }
  const core::MonotonicTime since = nearly_gone_since_.try_emplace(service, now).first->second;
  return now - since >= settings_.last_replica_patience;
}

void CrashGuard::on_listing_changed() {
  std::erase_if(nearly_gone_since_,
                [this](const auto& entry) { return healthy_count(entry.first) > 1; });
}

bool CrashGuard::runs_somewhere(const core::RequestFingerprint& content) const {
  const auto remote = remote_runs_.find(content);
  const bool runs_elsewhere = remote != remote_runs_.end() && time_.now() < remote->second.until;
  return running_.contains(content) || runs_elsewhere;
}

std::vector<ReplicaPointer> CrashGuard::risked_of(const Route& route,
                                                  const std::vector<ReplicaPointer>& usable) {
  std::set<core::ServiceName> services;
  for (const RouteTarget& target : route.targets) {
    if (may_risk_one(target.service)) {
      services.insert(target.service);
    }
  }
  std::vector<ReplicaPointer> risked = usable;
  std::erase_if(risked, [&](const ReplicaPointer& replica) {
    return replica->has_ended() || !services.contains(replica->record.service);
  });
  return risked;
}

Admission CrashGuard::admit(const core::RequestFingerprint& content, const Route& route,
                            const std::vector<ReplicaPointer>& usable, Spread spread) {
  Admission admission;
  const quarantine::Terms terms = suspects_.terms_of(content);
  const bool is_trusted = terms == quarantine::Terms::kSpareLast && served_.contains(content);
  if (terms == quarantine::Terms::kFree || is_trusted) {
    return admission;
  }
  suspects_.note_seen(content, time_.now());
  if (terms == quarantine::Terms::kHeld) {
    meters_->held.Increment();
    admission.kind = AdmissionKind::kHeld;
    return admission;
  }
  admission.kind = AdmissionKind::kWait;
  if (runs_somewhere(content)) {
    return admission;
  }
  std::vector<ReplicaPointer> risked = risked_of(route, usable);
  const bool is_alone = terms == quarantine::Terms::kAlone;
  if (is_alone || spread == Spread::kApart) {
    return admit_kept(content, risked, is_alone);
  }
  std::erase_if(risked, [this](const ReplicaPointer& replica) {
    return directory_.gate().reservations().holds(replica->record.id, time_.now());
  });
  if (!risked.empty()) {
    admission.kind = AdmissionKind::kRun;
    admission.allowed = std::move(risked);
  }
  return admission;
}

Admission CrashGuard::admit_kept(const core::RequestFingerprint& content,
                                 const std::vector<ReplicaPointer>& risked, bool is_alone) {
  Admission admission;
  admission.kind = AdmissionKind::kWait;
  admission.is_alone = is_alone;
  const auto known = reservations_.find(content);
  if (known != reservations_.end()) {
    Reservation& reservation = known->second;
    const auto found =
        std::find_if(risked.begin(), risked.end(), [&](const ReplicaPointer& candidate) {
          return candidate->record.id == reservation.run.replica;
        });
    const ReplicaPointer replica = found == risked.end() ? nullptr : *found;
    if (!is_void(reservation, replica, is_alone)) {
      const core::Duration settle =
          is_alone ? settings_.reservation_settle : settings_.apart_settle;
      const bool is_settled = time_.now() >= reservation.since + settle;
      if (is_settled && (!is_alone || replica->in_flight == 0)) {
        admission.kind = AdmissionKind::kRun;
        admission.allowed = {replica};
      } else {
        renew(reservation);
      }
      return admission;
    }
    drop(known);
  }
  std::vector<ReplicaPointer> candidates = risked;
  std::erase_if(candidates, [&](const ReplicaPointer& replica) {
    const SuspectRun run{content, replica->record.id, is_alone};
    return is_occupied(content, *replica) || must_give_way(run, replica->record.service);
  });
  const auto idlest = std::min_element(candidates.begin(), candidates.end(),
                                       [](const ReplicaPointer& one, const ReplicaPointer& two) {
                                         return one->in_flight < two->in_flight;
                                       });
  if (idlest != candidates.end()) {
    reserve({content, (*idlest)->record.id, is_alone}, (*idlest)->record.service);
  }
  return admission;
}

bool CrashGuard::is_void(const Reservation& reservation, const ReplicaPointer& replica,
                         bool is_alone) const {
  return !replica || time_.now() >= reservation.until || reservation.run.is_alone != is_alone ||
         must_give_way(reservation.run, reservation.service);
}

bool CrashGuard::is_occupied(const core::RequestFingerprint& content,
                             const ReplicaState& replica) const {
  const core::MonotonicTime now = time_.now();
  const core::ReplicaId& id = replica.record.id;
  const auto is_there = [&](const SuspectRun& run) {
    return run.content != content && run.replica == id;
  };
  return directory_.gate().reservations().holds(id, now) ||
         std::any_of(running_.begin(), running_.end(),
                     [&](const auto& entry) { return is_there(entry.second); }) ||
         std::any_of(reservations_.begin(), reservations_.end(),
                     [&](const auto& entry) { return is_there(entry.second.run); }) ||
         std::any_of(remote_runs_.begin(), remote_runs_.end(), [&](const auto& entry) {
           return now < entry.second.until && is_there(entry.second.run);
         });
}

bool CrashGuard::must_give_way(const SuspectRun& run, const core::ServiceName& service) const {
  const core::MonotonicTime now = time_.now();
  const bool keeps_one_already =
      run.is_alone &&
      std::any_of(reservations_.begin(), reservations_.end(), [&](const auto& entry) {
        const Reservation& other = entry.second;
        return other.run.is_alone && other.service == service && other.run.content < run.content;
      });
  return keeps_one_already ||
         std::any_of(remote_runs_.begin(), remote_runs_.end(), [&](const auto& entry) {
           const RemoteRun& remote = entry.second;
           const ReplicaPointer replica = directory_.find(remote.run.replica);
           const bool are_both_alone = run.is_alone && remote.run.is_alone;
           const bool is_of_service = replica && replica->record.service == service;
           const bool conflicts = remote.run.content == run.content ||
                                  remote.run.replica == run.replica ||
                                  (are_both_alone && is_of_service);
           const bool goes_first =
               std::tie(remote.run.content, remote.holder) < std::tie(run.content, self_);
           return now < remote.until && conflicts && goes_first;
         });
}

void CrashGuard::reserve(const SuspectRun& run, const core::ServiceName& service) {
  Reservation& reservation = reservations_[run.content];
  reservation.run = run;
  reservation.service = service;
  reservation.since = time_.now();
  renew(reservation);
  announce_run(run);
}

void CrashGuard::renew(Reservation& reservation) {
  reservation.until = time_.now() + settings_.notice_length;
  if (reservation.run.is_alone) {
    directory_.gate().reservations().reserve(reservation.run.replica, reservation.until);
  }
}

void CrashGuard::drop(std::map<core::RequestFingerprint, Reservation>::iterator reservation) {
  const SuspectRun run = reservation->second.run;
  reservations_.erase(reservation);
  if (run.is_alone) {
    directory_.gate().reservations().release(run.replica);
  }
  announce_run_over(run);
}

std::optional<CrashGuard::Run> CrashGuard::begin(const core::RequestFingerprint& content,
                                                 const ReplicaState& replica,
                                                 const Admission& admission) {
  if (admission.kind != AdmissionKind::kRun) {
    return std::nullopt;
  }
  const SuspectRun run{content, replica.record.id, admission.is_alone};
  reservations_.erase(content);
  running_[content] = run;
  if (run.is_alone) {
    directory_.gate().reservations().reserve(run.replica, time_.now() + settings_.notice_length);
  }
  core::log_decision(
      core::DecisionEvent::kSuspectRuns,
      {{"content", content.value()}, {"replica", run.replica.value()}, {"alone", run.is_alone}});
  announce_run(run);
  return std::optional<Run>(std::in_place, *this, run);
}

void CrashGuard::end(const SuspectRun& run) {
  running_.erase(run.content);
  if (run.is_alone) {
    directory_.gate().reservations().release(run.replica);
  }
  announce_run_over(run);
}

std::vector<SuspectRun> CrashGuard::own_runs() const {
  std::vector<SuspectRun> runs;
  for (const auto& [content, run] : running_) {
    runs.push_back(run);
  }
  for (const auto& [content, reservation] : reservations_) {
    runs.push_back(reservation.run);
  }
  return runs;
}

asio::awaitable<bool> CrashGuard::settle_broken(core::RequestFingerprint content,
                                                std::string request_id, ReplicaPointer replica) {
  // A replica that has said that it leaves, or is listed no more, may end at any time.
  if (!replica->accepts_work()) {
    co_return false;
  }
  if (!replica->has_ended()) {
    ports::ReplicaTarget target = target_of(*replica);
    const bool has_ended = co_await client_.refuses_connections(std::move(target));
    if (!has_ended) {
      const asio::any_io_executor executor = co_await asio::this_coro::executor;
      runtime::start(executor, "second look at a replica",
                     look_again(content, std::move(request_id), replica));
      co_return false;
    }
  }
  note_end(content, request_id, replica);
  co_return true;
}

asio::awaitable<void> CrashGuard::look_again(core::RequestFingerprint content,
                                             std::string request_id, ReplicaPointer replica) {
  const core::MonotonicTime broke_at = time_.now();
  co_await runtime::sleep_for(settings_.second_look);
  const bool answers = replica->last_answer > broke_at;
  if (answers || !replica->accepts_work()) {
    co_return;
  }
  ports::ReplicaTarget target = target_of(*replica);
  const bool refuses = co_await client_.refuses_connections(std::move(target));
  if (refuses || replica->has_ended()) {
    note_end(content, request_id, replica);
  }
}

void CrashGuard::note_end(const core::RequestFingerprint& content, const std::string& request_id,
                          const ReplicaPointer& replica) {
  const core::MonotonicTime now = time_.now();
  replica->note_end(now);
  replica->suspect(now, settings_.suspicion);
  if (!suspects_.note_end(content, replica->record.id, now)) {
    return;
  }
  meters_->ends.Increment();
  const quarantine::Suspect& suspect = *suspects_.find(content);
  core::log_decision(core::DecisionEvent::kReplicaEndedUnder,
                     {{"request", request_id},
                      {"content", content.value()},
                      {"replica", replica->record.id.value()},
                      {"service", replica->record.service.value()},
                      {"ended", suspect.ended.size()},
                      {"terms", to_string(suspects_.terms_of(content))}});
  if (suspects_.terms_of(content) == quarantine::Terms::kHeld) {
    log_held(suspect);
  }
  announce(content);
}

void CrashGuard::note_served(const core::RequestFingerprint& content) {
  served_.note(content);
  if (!suspects_.clear(content, time_.now())) {
    return;
  }
  meters_->cleared.Increment();
  core::log_decision(core::DecisionEvent::kSuspectCleared,
                     {{"content", content.value()}, {"reason", "served whole"}},
                     core::DecisionWeight::kRoutine);
  announce(content);
}

bool CrashGuard::let_go(const core::RequestFingerprint& content) {
  if (!suspects_.clear(content, time_.now())) {
    return false;
  }
  meters_->cleared.Increment();
  core::log_decision(core::DecisionEvent::kSuspectCleared,
                     {{"content", content.value()}, {"reason", "let go by an operator"}});
  announce(content);
  for (const Listener& listener : listeners_) {
    if (listener.on_let_go) {
      listener.on_let_go(content);
    }
  }
  return true;
}

void CrashGuard::hear(const quarantine::Suspect& suspect) {
  const core::MonotonicTime now = time_.now();
  const quarantine::Terms before = suspects_.terms_of(suspect.content);
  if (!suspects_.merge(suspect, now)) {
    return;
  }
  for (const core::ReplicaId& id : suspect.ended) {
    const ReplicaPointer replica = directory_.find(id);
    if (replica && !replica->has_ended()) {
      replica->note_end(now);
      replica->suspect(now, settings_.suspicion);
    }
  }
  const quarantine::Terms after = suspects_.terms_of(suspect.content);
  if (after != before && after == quarantine::Terms::kHeld) {
    log_held(*suspects_.find(suspect.content));
  }
  update_gauges();
}

void CrashGuard::hear_run(const core::NodeId& holder, const SuspectRun& run, bool is_over) {
  const auto known = remote_runs_.find(run.content);
  if (is_over) {
    if (known != remote_runs_.end() && known->second.holder == holder) {
      remote_runs_.erase(known);
      if (run.is_alone) {
        directory_.gate().reservations().release(run.replica);
      }
    }
    return;
  }
  const core::MonotonicTime until = time_.now() + settings_.notice_length;
  remote_runs_[run.content] = {run, holder, until};
  if (run.is_alone) {
    directory_.gate().reservations().reserve(run.replica, until);
  }
}

void CrashGuard::announce(const core::RequestFingerprint& content) {
  update_gauges();
  for (const Listener& listener : listeners_) {
    if (listener.on_suspect) {
      listener.on_suspect(*suspects_.find(content));
    }
  }
}

void CrashGuard::announce_run(const SuspectRun& run) {
  for (const Listener& listener : listeners_) {
    if (listener.on_run) {
      listener.on_run(run);
    }
  }
}

void CrashGuard::announce_run_over(const SuspectRun& run) {
  for (const Listener& listener : listeners_) {
    if (listener.on_run_over) {
      listener.on_run_over(run);
    }
  }
}

void CrashGuard::forget_old() {
  const core::MonotonicTime now = time_.now();
  suspects_.forget_old(now);
  std::erase_if(remote_runs_, [now](const auto& entry) { return entry.second.until <= now; });
  std::erase_if(reservations_, [now](const auto& entry) { return entry.second.until <= now; });
  directory_.gate().reservations().forget_old(now);
  // A run that goes on keeps its replica.
  for (const auto& [content, run] : running_) {
    if (run.is_alone) {
      directory_.gate().reservations().reserve(run.replica, now + settings_.notice_length);
    }
  }
  update_gauges();
}

void CrashGuard::update_gauges() {
  std::size_t suspects = 0;
  std::size_t held = 0;
  for (const auto& [content, suspect] : suspects_.all()) {
    suspects += suspect.is_cleared() ? 0 : 1;
    const bool may_be_held = suspect.ended.size() >= settings_.suspects.ends_before_held;
    const bool is_held = may_be_held && suspects_.terms_of(content) == quarantine::Terms::kHeld;
    held += is_held ? 1 : 0;
  }
  meters_->suspects.Set(static_cast<double>(suspects));
  meters_->held_back.Set(static_cast<double>(held));
}

}  // namespace stoneport::ingress
