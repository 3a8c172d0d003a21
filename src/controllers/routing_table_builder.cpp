#include "controllers/routing_table_builder.hpp"

#include <algorithm>

#include "controllers/machine_list_view.hpp"

namespace stoneport::controllers {
namespace {

using ports::Machine;
using ports::MachineState;
using routing::ReplicaState;

constexpr double kPermille = 1000;

core::Incarnation newest_incarnation(const Machine& machine, const TimedReport* report) {
  return report == nullptr ? machine.incarnation
                           : std::max(machine.incarnation, report->report.incarnation);
}

bool is_marked(const core::ReplicaId& replica, core::Incarnation incarnation,
               const DrainMarks& marks) {
  const auto mark = marks.find(replica);
  return mark != marks.end() && mark->second >= incarnation;
}

bool is_reported_leaving(const Machine& machine, const TimedReport* report,
                         core::Incarnation incarnation) {
  const bool listed = machine.state == MachineState::kLeaving && machine.incarnation == incarnation;
  const bool reported =
      report != nullptr && report->report.leaving && report->report.incarnation == incarnation;
  return listed || reported;
}

bool was_refused(const Machine& machine, const TimedReport* report, const RoutingInputs& inputs) {
  const auto refusal = inputs.refusals.find(machine.address);
  if (refusal == inputs.refusals.end() || inputs.now - refusal->second > kRefusalCooldown) {
    return false;
  }
  const bool reached_since =
      report != nullptr && report->report.reachable && report->taken_at > refusal->second;
  return !reached_since;
}

ReplicaState state_of(const Machine& machine, const TimedReport* report,
                      core::Incarnation incarnation, const RoutingInputs& inputs) {
  const core::ReplicaId replica(machine.id);
  if (is_marked(replica, incarnation, inputs.drain_marks) ||
      is_reported_leaving(machine, report, incarnation)) {
    return ReplicaState::kLeaving;
  }
  if (was_refused(machine, report, inputs)) {
    return ReplicaState::kDown;
  }
  if (report == nullptr) {
    return ReplicaState::kUsable;  // listed, but no watcher has reported yet
  }
  if (inputs.now - report->taken_at > kReportFreshness) {
    return ReplicaState::kSuspect;
  }
  return report->report.reachable ? ReplicaState::kUsable : ReplicaState::kDown;
}

routing::ReplicaDigest to_digest(const TimedReport& timed) {
  const wire::ReplicaReport& report = timed.report;
  routing::ReplicaDigest digest;
  digest.taken_at = timed.taken_at;
  digest.running = report.running;
  digest.waiting = report.waiting;
  digest.max_running = report.max_running;
  digest.tokens_per_second = report.tokens_per_second;
  digest.kv_used_ratio = report.kv_used_permille / kPermille;
  digest.version = report.version;
  digest.swapping = report.swapping;
  if (report.cached_prefixes) {
    digest.cached_prefixes = *report.cached_prefixes;
    std::sort(digest.cached_prefixes.begin(), digest.cached_prefixes.end());
  }
  return digest;
}

routing::Replica to_replica(const Machine& machine, const RoutingInputs& inputs) {
  routing::Replica replica;
  replica.id = core::ReplicaId(machine.id);
  replica.address = machine.address;
  replica.zone = machine.zone;
  replica.region = machine.region;
  const TimedReport* report = inputs.reports.best(replica.id, inputs.now);
  replica.incarnation = newest_incarnation(machine, report);
  replica.state = state_of(machine, report, replica.incarnation, inputs);
  if (report != nullptr && machine.role == ports::MachineRole::kEngine) {
    replica.digest = to_digest(*report);
  }
  return replica;
}

template <class Key>
void sort_by_id(std::map<Key, std::vector<routing::Replica>>& lists) {
  for (auto& [name, replicas] : lists) {
    std::sort(replicas.begin(), replicas.end(),
              [](const auto& left, const auto& right) { return left.id < right.id; });
  }
}

}  // namespace

routing::RoutingTable build_routing_table(const RoutingInputs& inputs) {
  routing::RoutingTable table;
  for (const Machine& machine : inputs.machines) {
    if (machine.role == ports::MachineRole::kEngine) {
      table.models[core::ModelName(machine.serves)].push_back(to_replica(machine, inputs));
    }
    if (machine.role == ports::MachineRole::kService) {
      table.services[core::ServiceName(machine.serves)].push_back(to_replica(machine, inputs));
    }
  }
  sort_by_id(table.models);
  sort_by_id(table.services);
  return table;
}

std::vector<wire::ReplicaDrainMark> missing_drain_marks(const RoutingInputs& inputs) {
  std::vector<wire::ReplicaDrainMark> missing;
  for (const Machine& machine : inputs.machines) {
    if (!is_replica(machine)) {
      continue;
    }
    const core::ReplicaId replica(machine.id);
    const TimedReport* report = inputs.reports.best(replica, inputs.now);
    const core::Incarnation incarnation = newest_incarnation(machine, report);
    if (is_reported_leaving(machine, report, incarnation) &&
        !is_marked(replica, incarnation, inputs.drain_marks)) {
      missing.push_back({replica, incarnation});
    }
  }
  return missing;
}

}  // namespace stoneport::controllers
