#include "ingress/load_admission.hpp"

#include "core/decision_log.hpp"

namespace stoneport::ingress {
namespace {

prometheus::Counter& refusals(core::Metrics& metrics, const std::string& reason) {
  return metrics.counter(
      "stoneport_load_admission_refusals_total",
      "Clients' requests refused immediately because their service is overloaded",
      {{"reason", reason}});
}

}  // namespace

LoadAdmission::Meters::Meters(core::Metrics& metrics)
    : over_share(refusals(metrics, "over_share")),
      returned(refusals(metrics, "returned")),
      replicas_full(refusals(metrics, "replicas_full")),
      refused_sends(metrics.counter("stoneport_refused_sends_total",
                                    "Attempts of clients' requests that a full replica refused")) {}

LoadAdmission::LoadAdmission(routing::AdaptiveThrottleSettings settings, std::uint64_t seed,
                             core::Metrics& metrics)
    : settings_(settings), seed_(seed), metrics_(metrics), meters_(metrics) {}

routing::AdaptiveThrottle& LoadAdmission::throttle_of(const core::ServiceName& service) {
  return throttles_.try_emplace(service, settings_, seed_).first->second;
}

void LoadAdmission::publish_overload(const core::ServiceName& service, bool overloaded) {
  metrics_
      .gauge("stoneport_service_overloaded",
             "1 while replicas of the service refuse requests for load",
             {{"service", service.value()}})
      .Set(overloaded ? 1 : 0);
  const routing::ThrottleCounts& counts = throttle_of(service).counts();
  core::log_decision(core::DecisionEvent::kServiceOverloaded, {{"service", service.value()},
                                                               {"overloaded", overloaded},
                                                               {"admitted", counts.admitted},
                                                               {"over_share", counts.over_share},
                                                               {"returned", counts.returned}});
}

void LoadAdmission::begin_overload(const core::ServiceName& service) {
  if (overloaded_.insert(service).second) {
    publish_overload(service, true);
  }
}

void LoadAdmission::end_overloads(core::MonotonicTime now) {
  for (auto service = overloaded_.begin(); service != overloaded_.end();) {
    if (throttle_of(*service).is_armed(now)) {
      ++service;
      continue;
    }
    publish_overload(*service, false);
    service = overloaded_.erase(service);
  }
}

std::optional<core::Duration> LoadAdmission::refusal(const core::ServiceName& service,
                                                     const routing::ThrottleRequest& request,
                                                     core::MonotonicTime now) {
  end_overloads(now);
  const routing::ThrottleDecision decision = throttle_of(service).decide(request, now);
  switch (decision.verdict) {
    case routing::ThrottleVerdict::kAdmit:
      return std::nullopt;
    case routing::ThrottleVerdict::kOverShare:
      meters_.over_share.Increment();
      break;
    case routing::ThrottleVerdict::kRetried:
      meters_.returned.Increment();
      break;
  }
  return decision.retry_after;
}

std::optional<core::Duration> LoadAdmission::refusal_by_replica(
    const core::ServiceName& service, const routing::ThrottleRequest& request,
    const routing::ReplicaRefusal& refusal, core::MonotonicTime now) {
  meters_.refused_sends.Increment();
  routing::AdaptiveThrottle& throttle = throttle_of(service);
  const bool may_go_on = throttle.note_refusal(request, refusal, now);
  if (throttle.is_armed(now)) {
    begin_overload(service);
  }
  if (may_go_on) {
    return std::nullopt;
  }
  meters_.replicas_full.Increment();
  return throttle.refuse(request, now);
}

void LoadAdmission::note_end(const core::ServiceName& service,
                             const routing::ThrottleRequest& request,
                             std::optional<core::Duration> took, core::Duration target,
                             core::MonotonicTime now) {
  throttle_of(service).note_end(request, took, target, now);
}

std::map<core::ServiceName, routing::ThrottleCounts> LoadAdmission::counts() const {
  std::map<core::ServiceName, routing::ThrottleCounts> counts;
  for (const auto& [service, throttle] : throttles_) {
    counts.emplace(service, throttle.counts());
  }
  return counts;
}

}  // namespace stoneport::ingress
