// ItemDispatcher: handles texts under which replicas crashed.
#include <algorithm>

#include "jobs/item_dispatcher.hpp"
#include "quarantine/request_fingerprint.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
/// Interval at which a text that must not run is checked again, because the guard may release it.
constexpr core::Duration kHeldLook = std::chrono::milliseconds(500);

bool contains(const std::vector<ingress::ReplicaPointer>& replicas, const core::ReplicaId& id) {
  return std::any_of(replicas.begin(), replicas.end(), [&](const ingress::ReplicaPointer& replica) {
    return replica->record.id == id;
  });
}
}  // namespace

core::RequestFingerprint ItemDispatcher::content_of(const OpenJob& job, std::size_t item) {
  const JobItem& described = job.job.items[item];
  return quarantine::fingerprint_of(
      {job.entry.tenant.value(), "POST", job.job.host, described.path, described.body});
}

void ItemDispatcher::place_suspect(JobView& view, std::vector<JobView>& views,
                                   const TextToPlace& text, core::MonotonicTime now) {
  const std::size_t index = view.job->start_order[view.next];
  const ingress::Admission admission =
      inputs_.guard.admit(content_of(*view.job, index), *view.job->route, view.replicas,
                          ingress::SuspectSeparation::kTogether);
  if (admission.kind == ingress::AdmissionKind::kHeld) {
    view.job->items[index].not_before = now + kHeldLook;
    return;
  }
  std::vector<ReplicaLoad> loads = view.loads;
  for (ReplicaLoad& load : loads) {
    const bool is_allowed =
        admission.kind == ingress::AdmissionKind::kFree || contains(admission.allowed, load.id);
    // The replica that is reserved for a text that runs alone is closed to all others.
    load.closed = !is_allowed || (load.closed && !admission.is_alone);
  }
  const std::optional<std::size_t> chosen =
      place_item(loads, view.median, text, settings_.placement);
  if (!chosen) {
    return;
  }
  const core::ReplicaId replica = loads[*chosen].id;
  begin_run(view.job, index, view.replicas[*chosen], text.is_long, admission);
  note_placed(view, views, replica, text.is_long, now);
}

asio::awaitable<void> ItemDispatcher::settle(std::shared_ptr<ItemDispatcher> self, RunPointer run,
                                             AttemptEnd end) {
  const OpenJob& job = *run->job;
  if (end.kind == AttemptEndKind::kComplete) {
    self->inputs_.guard.note_served(content_of(job, run->item));
  }
  const bool may_have_ended = end.kind == AttemptEndKind::kBroken && !end.unreachable;
  if (may_have_ended && !run->is_cancelled) {
    co_await self->inputs_.guard.resolve_broken_call(content_of(job, run->item),
                                                     job.job.items[run->item].id, run->replica,
                                                     job.items[run->item].text.events.size());
  }
  run->suspect_run.reset();
}

}  // namespace stoneport::jobs
