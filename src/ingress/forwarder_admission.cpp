// Admission control of Forwarder: refuses clients' requests while a service is overloaded.
#include <algorithm>

#include "ingress/forwarder_parts.hpp"

namespace stoneport::ingress {
namespace {

constexpr unsigned kServerError = 500;

}  // namespace

routing::ThrottleRequest Forwarder::throttle_request(const ForwardedRequest& request) const {
  routing::ThrottleRequest asked;
  asked.route = request.route->name;
  asked.tenant = request.tenant;
  asked.rank = request.table != nullptr ? request.table->rank_of(*request.route, request.tenant)
                                        : request.route->priority;
  // A caller without a deadline, or with one beyond the route's timeout, waits for the timeout.
  asked.time_left =
      std::min(request.deadline, request.received + request.route->timeout) - time_.now();
  return asked;
}

bool Forwarder::is_refused_for_load(const ForwardedRequest& request, Progress& progress) {
  if (!admission_ || request.sender != eligibility::Sender::kFrontEnd) {
    return false;
  }
  draw_service(request, progress);
  progress.load_retry_after =
      admission_->refusal(*progress.service, throttle_request(request), time_.now());
  progress.is_admitted = !progress.load_retry_after;
  progress.admitted_at = time_.now();
  if (progress.load_retry_after) {
    progress.reason = "its service is overloaded";
  }
  return !progress.is_admitted;
}

void Forwarder::note_load(const ForwardedRequest& request, ReplicaState& replica,
                          const ports::CallFailure& failure, Progress& progress) {
  if (!admission_ || !is_refusal_for_load(replica, failure)) {
    return;
  }
  replica.full_until = time_.now() + settings_.full_replica_pause;
  if (!progress.is_admitted || progress.runs > 0 || progress.calls_out > 0) {
    return;  // a request that may have run, or may still be answered, cannot be refused any more
  }
  routing::ReplicaRefusal refusal;
  refusal.replica = replica.record.id;
  const std::vector<ReplicaPointer>& replicas = directory_.of_service(*progress.service);
  refusal.is_only = std::count_if(replicas.begin(), replicas.end(), [](const ReplicaPointer& one) {
                      return one->accepts_work();
                    }) == 1;
  refusal.refusals = ++progress.load_refusals;
  refusal.admitted_at = progress.admitted_at;
  progress.load_retry_after = admission_->refusal_by_replica(
      *progress.service, throttle_request(request), refusal, time_.now());
}

void Forwarder::note_admitted_end(const ForwardedRequest& request, const Progress& progress,
                                  const ports::ReplicaAnswer* answer) {
  if (!progress.is_admitted) {
    return;
  }
  std::optional<core::Duration> took;
  if (answer != nullptr && answer->response.head.status < kServerError) {
    took = time_.now() - progress.admitted_at;
  }
  admission_->note_end(*progress.service, throttle_request(request), took,
                       request.route->target_latency, time_.now());
}

}  // namespace stoneport::ingress
