// Replica selection of Forwarder, including the cases in which a request can get no replica.
#include <algorithm>

#include "ingress/forwarder_parts.hpp"
#include "ingress/replica_window.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::ingress {
namespace asio = boost::asio;
namespace {

eligibility::Origin origin_of(const ForwardedRequest& request, bool is_suspect) {
  return {request.sender, &request.binding, is_suspect};
}

}  // namespace

std::optional<eligibility::BlockReason> Forwarder::block_reason(const ReplicaState& replica,
                                                                const ForwardedRequest& request,
                                                                bool is_suspect) const {
  return directory_.gate().block_reason(replica.destination(), origin_of(request, is_suspect),
                                        time_.now());
}

bool Forwarder::may_send_to(const ReplicaState& replica, const ForwardedRequest& request,
                            bool is_suspect) const {
  return replica.accepts_work() && !block_reason(replica, request, is_suspect);
}

bool Forwarder::is_cold(const ReplicaState& replica) const {
  return directory_.gate().is_cold(replica.destination(), time_.now());
}

bool Forwarder::is_held_for_cold(const ForwardedRequest& request) const {
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      const bool is_held = replica->accepts_work() && block_reason(*replica, request, false) ==
                                                          eligibility::BlockReason::kColdRateLimit;
      if (is_held) {
        return true;
      }
    }
  }
  return false;
}

bool Forwarder::is_held_too_long(const ForwardedRequest& request, Progress& progress) const {
  if (!is_held_for_cold(request)) {
    return false;
  }
  if (!progress.was_held_for_cold) {
    progress.was_held_for_cold = true;
    meters_->held_for_cold.Increment();
  }
  progress.reason = "only cold replicas are left";
  const core::Duration longest = core::from_seconds(
      core::to_seconds(request.route->target_latency) * settings_.cold_wait_in_target_latencies);
  // A request that has already run cannot be refused any more.
  return progress.runs == 0 && time_.now() - request.received >= longest;
}

bool Forwarder::has_replica_in_regions(const ForwardedRequest& request) const {
  if (!request.binding.is_bound()) {
    return true;
  }
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (request.binding.allows(directory_.gate().region_of(replica->record.zone))) {
        return true;
      }
    }
  }
  return false;
}

void Forwarder::note_sent(const ReplicaState& replica, const ForwardedRequest& request) {
  directory_.gate().note_sent(replica.destination(), origin_of(request, false), time_.now());
  if (directory_.gate().region_of(replica.record.zone) != settings_.region) {
    meters_->sent_to_other_region.Increment();
  }
}

bool Forwarder::is_evacuated(const Route& route) const {
  bool has_replicas = false;
  for (const RouteTarget& target : route.targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (replica->accepts_work() && directory_.gate().is_open(replica->record.zone)) {
        return false;
      }
      has_replicas |= replica->accepts_work();
    }
  }
  return has_replicas;
}

core::Duration Forwarder::evacuated_retry_after(const Route& route, core::Duration left) const {
  for (const RouteTarget& target : route.targets) {
    for (const ReplicaPointer& replica : directory_.of_service(target.service)) {
      if (directory_.gate().is_open(replica->record.zone)) {
        return kDefaultRetryAfter;
      }
    }
  }
  return std::clamp(left / 2, kDefaultRetryAfter, settings_.evacuated_retry_after);
}

std::vector<ReplicaPointer> Forwarder::candidates(const ForwardedRequest& request,
                                                  const Progress& progress, bool is_suspect) const {
  const core::MonotonicTime now = time_.now();
  const std::vector<ReplicaPointer>& replicas = directory_.of_service(*progress.service);
  const auto usable = [&](const ReplicaState& replica) {
    const bool was_tried = progress.preference.excluded.contains(replica.record.id);
    return !was_tried && may_send_to(replica, request, is_suspect);
  };
  const auto has_room = [&](const ReplicaState& replica) {
    const bool is_sound = !replica.is_suspect(now) && !replica.outliers.is_ejected(now);
    return is_sound && !replica.is_full(now) && replica.in_flight < replica.record.slots;
  };
  std::vector<ReplicaPointer> found =
      replicas_in_window(replicas, window_start(settings_.process, replicas.size()),
                         settings_.replicas_compared, usable, has_room);
  if (!found.empty() || request.route->targets.size() == 1) {
    return found;
  }
  for (const RouteTarget& target : request.route->targets) {
    for (const ReplicaPointer& other : directory_.of_service(target.service)) {
      if (may_send_to(*other, request, is_suspect)) {
        found.push_back(other);
      }
    }
  }
  return found;
}

void Forwarder::draw_service(const ForwardedRequest& request, Progress& progress) {
  if (progress.service) {
    return;
  }
  double total = 0;
  for (const RouteTarget& target : request.route->targets) {
    total += target.weight;
  }
  double drawn = random_.fraction() * total;
  progress.service = request.route->targets.back().service;
  for (const RouteTarget& target : request.route->targets) {
    drawn -= target.weight;
    if (drawn < 0) {
      progress.service = target.service;
      break;
    }
  }
  progress.load =
      LoadStatistics::Request(load_statistics_, *progress.service, request.tenant, time_.now());
}

bool Forwarder::is_suspected(const ForwardedRequest& request, Progress& progress) const {
  return may_crash_replicas(request) && guard_.may_restrict() &&
         guard_.is_suspect(progress.content_of(request));
}

Forwarder::Choice Forwarder::choose_now(const ForwardedRequest& request, Progress& progress) {
  const bool is_suspect = is_suspected(request, progress);
  Choice choice;
  choice.usable = candidates(request, progress, is_suspect);
  choice.were_all_tried = choice.usable.empty();
  progress.admission = Admission();
  if (is_suspect) {
    progress.admission = guard_.admit(progress.content, *request.route, choice.usable);
    if (progress.admission.kind != AdmissionKind::kFree) {
      choice.usable = progress.admission.allowed;
    }
  }
  progress.was_looked_for = true;
  choice.replica = choose_replica(choice.usable, progress.preference, time_.now(), random_);
  return choice;
}

bool Forwarder::fails_without_replica(const ForwardedRequest& request, Progress& progress,
                                      const Choice& choice) {
  if (progress.admission.kind == AdmissionKind::kHeld) {
    progress.held_back = true;
    progress.reason = "held back: replicas ended under it";
    return true;
  }
  const bool waits_to_run_apart = progress.admission.kind == AdmissionKind::kWait;
  if (waits_to_run_apart) {
    progress.reason = "waits to run apart from others: replicas ended under it";
  }
  if (choice.usable.empty() && !waits_to_run_apart && !has_replica_in_regions(request)) {
    meters_->refused_for_regions.Increment();
    progress.outside_regions = true;
    progress.reason = "no replica in the regions that its route and tenant allow";
    return true;
  }
  // Requests that have started wait for the zone to reopen; others are refused with a Retry-After.
  if (progress.runs == 0 && !progress.started && is_evacuated(*request.route)) {
    progress.evacuated = true;
    progress.reason = "all replicas lie in evacuated zones";
    meters_->evacuated.Increment();
    return true;
  }
  const bool is_too_late = time_.now() + settings_.no_replica_pause >= progress.give_up_at;
  return is_too_late || is_held_too_long(request, progress);
}

asio::awaitable<ReplicaPointer> Forwarder::choose(const ForwardedRequest& request,
                                                  Progress& progress) {
  while (true) {
    if (request.has_client_left && request.has_client_left()) {
      progress.reason = "its client left before a replica began it";
      co_return nullptr;
    }
    const Choice choice = choose_now(request, progress);
    if (choice.replica) {
      co_return choice.replica;
    }
    if (fails_without_replica(request, progress, choice)) {
      co_return nullptr;
    }
    const bool waits_to_run_apart = progress.admission.kind == AdmissionKind::kWait;
    if (!waits_to_run_apart || choice.were_all_tried) {
      progress.preference.excluded.clear();  // all replicas may be tried again
    }
    progress.load.wait(time_.now());
    co_await runtime::sleep_for(waits_to_run_apart ? settings_.suspect_pause
                                                   : settings_.no_replica_pause);
  }
}

std::optional<RefusalReason> Forwarder::Progress::refusal() const {
  if (runs > 0) {
    return std::nullopt;
  }
  if (held_back) {
    return RefusalReason::kHeldBack;
  }
  if (evacuated) {
    return RefusalReason::kEvacuated;
  }
  if (outside_regions) {
    return RefusalReason::kRegions;
  }
  if (refusals > 0) {
    return RefusalReason::kReplicasRefused;
  }
  if (load_retry_after) {
    return RefusalReason::kOverload;
  }
  return was_looked_for ? RefusalReason::kNoReplica : RefusalReason::kTooLate;
}

ReplicaPreference Forwarder::preference_for(const Route& route) const {
  ReplicaPreference preference;
  preference.zone = settings_.zone;
  preference.in_other_region = [this](const core::ZoneName& zone) {
    return directory_.gate().region_of(zone) != settings_.region;
  };
  if (is_repeatable(route)) {  // other requests never use a kept connection
    preference.is_connected = [this](const core::Address& address) {
      return client_.keeps_connection(address);
    };
    preference.usual_latency = core::from_seconds(core::to_seconds(route.target_latency) *
                                                  settings_.usual_in_target_latencies);
  }
  return preference;
}

}  // namespace stoneport::ingress
