#include "ingress/shared_health.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/decision_log.hpp"

namespace stoneport::ingress {
namespace {

/// In the order of the enumerators.
constexpr std::array<std::string_view, 3> kKindNames = {"silent", "failing", "answered"};
constexpr std::array<std::string_view, kRemoteFindingOutcomes> kOutcomeNames = {
    "avoided",   "doubted",      "cleared",      "stale",   "unknown_replica",
    "overruled", "reporter_cut", "most_avoided", "too_many"};

}  // namespace

std::string_view to_string(FindingKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(RemoteFindingOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

SharedHealth::SharedHealth(ReplicaDirectory& directory, HealthReporter self, std::uint64_t seed,
                           SharedHealthSettings settings)
    : directory_(directory), self_(std::move(self)), random_(seed), settings_(settings) {}

SharedHealth::~SharedHealth() {
  if (listener_) {
    directory_.set_observer(nullptr);
  }
}

void SharedHealth::start(Listener listener) {
  listener_ = std::move(listener);
  directory_.set_observer(this);
}

void SharedHealth::on_silent(ReplicaState& replica, core::MonotonicTime now) {
  note_own(replica, FindingKind::kSilent, now);
}

void SharedHealth::on_ejected(ReplicaState& replica, core::MonotonicTime now) {
  note_own(replica, FindingKind::kFailing, now);
}

void SharedHealth::on_success(ReplicaState& replica, core::MonotonicTime now) {
  const bool was_avoided = replica.avoided_until > core::MonotonicTime();
  const bool was_doubted = replica.doubted_until > core::MonotonicTime();
  if (!was_avoided && !was_doubted) {
    return;
  }
  clear(replica, now);
  if (was_avoided) {
    const HealthFinding finding{replica.record.id, FindingKind::kAnswered, now};
    store(self_, finding);
    listener_(finding);
  }
}

void SharedHealth::note_own(ReplicaState& replica, FindingKind kind, core::MonotonicTime now) {
  const HealthFinding finding{replica.record.id, kind, now};
  if (store(self_, finding)) {
    evaluate(replica, now);
  }
  listener_(finding);
}

bool SharedHealth::store(const HealthReporter& reporter, const HealthFinding& finding) {
  const bool is_known = reporters_.contains(reporter.node);
  // This process's own reporter entry is exempt from the limit.
  if (!is_known && reporters_.size() >= settings_.max_reporters && reporter.node != self_.node) {
    return false;
  }
  Reporter& kept = reporters_[reporter.node];
  kept.zone = reporter.zone;
  if (!kept.seen.contains(finding.replica) &&
      kept.seen.size() >= settings_.max_findings_per_reporter) {
    return false;
  }
  Seen& seen = kept.seen[finding.replica];
  if (seen.at <= finding.at) {
    seen = {finding.kind, finding.at, false};
  }
  return true;
}

RemoteFindingOutcome SharedHealth::apply_remote_finding(const HealthReporter& reporter,
                                                        const HealthFinding& remote_finding,
                                                        core::MonotonicTime now) {
  HealthFinding finding = remote_finding;
  finding.at = std::min(finding.at, now);
  if (now - finding.at >= settings_.validity) {
    return RemoteFindingOutcome::kStale;
  }
  const ReplicaPointer replica = directory_.find(finding.replica);
  if (!replica) {
    return RemoteFindingOutcome::kUnknownReplica;
  }
  const core::ServiceName& service = replica->record.service;
  const bool was_cut = is_unreliable_reporter(reporter.node, service, now);
  if (!store(reporter, finding)) {
    return RemoteFindingOutcome::kTooMany;
  }
  if (finding.kind == FindingKind::kAnswered) {
    clear(*replica, finding.at);
    evaluate(*replica, now);
    return RemoteFindingOutcome::kCleared;
  }
  if (is_unreliable_reporter(reporter.node, service, now)) {
    if (!was_cut) {
      reevaluate_findings_of(reporter.node, now);
    }
    return RemoteFindingOutcome::kReporterUnreliable;
  }
  return finding.at <= replica->last_success ? RemoteFindingOutcome::kOverruled
                                             : evaluate(*replica, now);
}

bool SharedHealth::is_valid(const Seen& seen, core::MonotonicTime now) const {
  return seen.kind != FindingKind::kAnswered && now - seen.at < settings_.validity;
}

bool SharedHealth::is_unreliable_reporter(const core::NodeId& reporter,
                                          const core::ServiceName& service,
                                          core::MonotonicTime now) const {
  const auto kept = reporters_.find(reporter);
  if (kept == reporters_.end()) {
    return false;
  }
  std::size_t bad = 0;
  for (const auto& [id, seen] : kept->second.seen) {
    const ReplicaPointer replica = is_valid(seen, now) ? directory_.find(id) : nullptr;
    bad += replica && replica->record.service == service ? 1 : 0;
  }
  const std::size_t listed = directory_.of_service(service).size();
  // A single bad replica never discredits its reporter: if the service has no other, there is no
  // alternative to it, whoever is at fault.
  return bad > 1 &&
         static_cast<double>(bad) > settings_.max_share_of_service * static_cast<double>(listed);
}

SharedHealth::Evidence SharedHealth::evidence_of(const ReplicaState& replica,
                                                 core::MonotonicTime now) const {
  Evidence evidence;
  std::set<core::ZoneName> zones;
  bool is_seen_from_near = false;
  for (const auto& [node, reporter] : reporters_) {
    const auto found = reporter.seen.find(replica.record.id);
    if (found == reporter.seen.end() || !is_valid(found->second, now)) {
      continue;
    }
    const Seen& seen = found->second;
    const bool is_newer = seen.at > replica.last_success;
    if (seen.is_refuted || !is_newer || is_unreliable_reporter(node, replica.record.service, now)) {
      continue;
    }
    ++evidence.reporters;
    evidence.is_own_alone &= node == self_.node;
    zones.insert(reporter.zone);
    is_seen_from_near |= reporter.zone == self_.zone || reporter.zone == replica.record.zone;
    if (seen.at >= evidence.latest) {
      evidence.latest = seen.at;
      evidence.kind = seen.kind;
    }
  }
  // Reporters in a single other zone may all be behind the same network partition.
  evidence.is_confirmed =
      evidence.reporters >= settings_.min_reporters && (is_seen_from_near || zones.size() > 1);
  return evidence;
}

RemoteFindingOutcome SharedHealth::evaluate(ReplicaState& replica, core::MonotonicTime now) {
  const Evidence evidence = evidence_of(replica, now);
  if (evidence.reporters == 0) {
    return RemoteFindingOutcome::kOverruled;
  }
  // One failed trial confirms earlier findings of several processes again.
  const bool is_avoided = now < replica.avoided_until;
  const auto since = avoided_since_.find(replica.record.id);
  const bool is_trial_due =
      since != avoided_since_.end() && now - since->second >= settings_.max_avoidance;
  if ((evidence.is_confirmed || is_avoided) && !is_trial_due) {
    if (is_avoided || may_avoid_more(replica.record.service, now)) {
      return avoid(replica, evidence, now);
    }
    replica.doubted_until = evidence.latest + settings_.validity;
    return RemoteFindingOutcome::kMostAvoided;
  }
  // this process's own findings take effect through the replica's suspicion
  if (!evidence.is_own_alone) {
    replica.doubted_until = evidence.latest + settings_.validity;
  }
  return RemoteFindingOutcome::kDoubted;
}

RemoteFindingOutcome SharedHealth::avoid(ReplicaState& replica, const Evidence& evidence,
                                         core::MonotonicTime now) {
  const bool was_avoided = now < replica.avoided_until;
  replica.avoided_until = evidence.latest + settings_.validity + draw_trial_wait();
  avoided_.insert(replica.record.id);
  avoided_since_.try_emplace(replica.record.id, now);
  if (!was_avoided) {
    core::log_decision(core::DecisionEvent::kReplicaAvoided,
                       {{"replica", replica.record.id.value()},
                        {"service", replica.record.service.value()},
                        {"kind", to_string(evidence.kind)},
                        {"reporters", evidence.reporters},
                        {"for_ms", core::to_seconds(replica.avoided_until - now) * 1000}});
  }
  return RemoteFindingOutcome::kAvoided;
}

bool SharedHealth::may_avoid_more(const core::ServiceName& service, core::MonotonicTime now) const {
  const auto avoided =
      std::count_if(avoided_.begin(), avoided_.end(), [&](const core::ReplicaId& id) {
        return is_avoided(id, now) && directory_.find(id)->record.service == service;
      });
  return static_cast<double>(avoided + 1) <=
         settings_.max_share_of_service *
             static_cast<double>(directory_.of_service(service).size());
}

bool SharedHealth::is_avoided(const core::ReplicaId& id, core::MonotonicTime now) const {
  const ReplicaPointer replica = directory_.find(id);
  return replica && now < replica->avoided_until;
}

void SharedHealth::reevaluate_findings_of(const core::NodeId& reporter, core::MonotonicTime now) {
  for (const auto& [id, seen] : reporters_[reporter].seen) {
    const ReplicaPointer replica = directory_.find(id);
    if (replica) {
      replica->avoided_until = {};
      replica->doubted_until = {};
      evaluate(*replica, now);
    }
  }
}

void SharedHealth::clear(ReplicaState& replica, core::MonotonicTime until) {
  replica.avoided_until = {};
  replica.doubted_until = {};
  avoided_since_.erase(replica.record.id);
  for (auto& [node, reporter] : reporters_) {
    const auto found = reporter.seen.find(replica.record.id);
    if (found != reporter.seen.end() && found->second.at <= until) {
      found->second.is_refuted = true;
    }
  }
}

/// Of n processes about one retries in the first round, two in the second and four in the third: a
/// replica that is still silent delays few callers, and a recovered one is announced to all.
core::Duration SharedHealth::draw_trial_wait() {
  const double place = random_.fraction() * static_cast<double>(processes_);
  const double round = place <= 1 ? 0 : std::ceil(std::log2(place));
  return settings_.trial_round * static_cast<int>(round);
}

bool SharedHealth::should_report(const HealthFinding& finding, core::MonotonicTime now) const {
  const ReplicaPointer replica = directory_.find(finding.replica);
  if (!replica) {
    return false;
  }
  const bool is_answer = finding.kind == FindingKind::kAnswered;
  if (!is_answer && finding.at <= replica->last_success) {
    return false;
  }
  if (!is_answer && is_unreliable_reporter(self_.node, replica->record.service, now)) {
    return false;
  }
  std::size_t reported = 0;
  for (const auto& [node, reporter] : reporters_) {
    const auto found = reporter.seen.find(finding.replica);
    if (node == self_.node || found == reporter.seen.end()) {
      continue;
    }
    const Seen& seen = found->second;
    const bool says_same = is_answer == (seen.kind == FindingKind::kAnswered);
    reported += says_same && !seen.is_refuted && now - seen.at < settings_.validity / 2 ? 1 : 0;
  }
  return reported < settings_.reports_to_suppress;
}

void SharedHealth::forget_old(core::MonotonicTime now) {
  for (auto& [node, reporter] : reporters_) {
    std::erase_if(reporter.seen,
                  [&](const auto& entry) { return now - entry.second.at >= settings_.validity; });
  }
  std::erase_if(reporters_, [](const auto& entry) { return entry.second.seen.empty(); });
  std::erase_if(avoided_, [&](const core::ReplicaId& id) { return !is_avoided(id, now); });
  // Kept for one validity period after the avoidance, so that the replica is tried before it can be
  // avoided again.
  std::erase_if(avoided_since_, [&](const auto& entry) {
    const ReplicaPointer replica = directory_.find(entry.first);
    return !replica || now >= replica->avoided_until + settings_.validity;
  });
}

std::size_t SharedHealth::size() const {
  std::size_t count = 0;
  for (const auto& [node, reporter] : reporters_) {
    count += reporter.seen.size();
  }
  return count;
}

}  // namespace stoneport::ingress
