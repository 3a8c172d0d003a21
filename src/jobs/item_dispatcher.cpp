#include "jobs/item_dispatcher.hpp"

#include "core/decision_log.hpp"
#include "ingress/replica_window.hpp"
#include "jobs/item_dispatcher_meters.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
/// Number of failures after which an item is given up, in multiples of its route's attempts, if
/// fewer replicas than that have failed it.
constexpr std::uint32_t kMostRoundsOfFailures = 2;

/// The client reports a cancelled stream as broken, and a cancelled connection attempt as
/// unreachable, neither of which is the replica's fault. Otherwise two moves in a row would eject
/// the replica.
AttemptEnd end_of_cancelled(const AttemptEnd& end) {
  const bool is_of_cut = end.kind == AttemptEndKind::kBroken ||
                         (end.kind == AttemptEndKind::kNotRun && end.unreachable);
  if (!is_of_cut) {
    return end;
  }
  AttemptEnd cancelled;
  cancelled.reason = end.reason;
  cancelled.version = end.version;
  return cancelled;
}
}  // namespace

ItemDispatcher::ItemDispatcher(ItemDispatcherInputs inputs, Listener listener,
                               ItemDispatcherSettings settings)
    : inputs_(std::move(inputs)),
      listener_(std::move(listener)),
      settings_(settings),
      meters_(std::make_unique<Meters>(inputs_.metrics)),
      speeds_(settings.speeds),
      move_pacer_(settings.move_checks),
      step_pacer_(settings.step_decisions) {}

ItemDispatcher::~ItemDispatcher() = default;

std::uint32_t ItemDispatcher::running_on(const core::ReplicaId& replica) const {
  const auto found = work_.find(replica);
  return found == work_.end() ? 0 : found->second.running;
}

std::optional<eligibility::BlockReason> ItemDispatcher::block_reason(
    const OpenJob& job, const ingress::ReplicaState& replica, core::MonotonicTime now) const {
  const eligibility::Origin origin{eligibility::Sender::kCoordinator, &job.binding};
  return inputs_.directory.gate().block_reason(replica.destination(), origin, now);
}

bool ItemDispatcher::is_cold(const ingress::ReplicaState& replica, core::MonotonicTime now) const {
  return inputs_.directory.gate().is_cold(replica.destination(), now);
}

bool ItemDispatcher::may_make(const OpenJob& job, const ingress::ReplicaState& replica,
                              core::MonotonicTime now) const {
  const auto version = replica.record.versions.find(job.job.model);
  const bool fits =
      version != replica.record.versions.end() && version->second >= job.job.oldest_version;
  if (!fits || !replica.accepts_work()) {
    return false;
  }
  // A cold replica accepts texts again shortly: it is included, as closed.
  const auto bar = block_reason(job, replica, now);
  return !bar || bar == eligibility::BlockReason::kColdRateLimit;
}

bool ItemDispatcher::has_room(const ingress::ReplicaState& replica, core::MonotonicTime now) const {
  const auto work = work_.find(replica.record.id);
  const bool is_taken = work != work_.end() && (work->second.running >= replica.record.slots ||
                                                now < work->second.closed_until);
  return !is_taken && !replica.is_suspect(now) && !replica.outliers.is_ejected(now);
}

std::vector<ingress::ReplicaPointer> ItemDispatcher::usable_replicas(
    const OpenJob& job, core::MonotonicTime now) const {
  const std::string& model = job.job.model.value();
  const auto may_make = [&](const ingress::ReplicaState& replica) {
    return this->may_make(job, replica, now);
  };
  const auto has_room = [&](const ingress::ReplicaState& replica) {
    return this->has_room(replica, now);
  };
  const auto in_window = [&](const std::vector<ingress::ReplicaPointer>& replicas,
                             const auto& usable) {
    return ingress::replicas_in_window(replicas, ingress::window_start(model, replicas.size()),
                                       replicas_compared(job), usable, has_room);
  };
  std::vector<ingress::ReplicaPointer> usable;
  for (const ingress::RouteTarget& target : job.route->targets) {
    // If the first version is too old, only replicas that have loaded another one qualify.
    const bool needs_later = job.job.oldest_version > ingress::kFirstVersion;
    const auto is_of_target = [&](const ingress::ReplicaState& replica) {
      return replica.record.service == target.service && may_make(replica);
    };
    const std::vector<ingress::ReplicaPointer> found =
        needs_later ? in_window(inputs_.directory.with_later_version(job.job.model), is_of_target)
                    : in_window(inputs_.directory.of_service(target.service), may_make);
    usable.insert(usable.end(), found.begin(), found.end());
  }
  return usable;
}

std::size_t ItemDispatcher::replicas_compared(const OpenJob& job) const {
  return std::max(settings_.min_candidates, job.items.size());
}

std::vector<ReplicaLoad> ItemDispatcher::loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                               const OpenJob& job, core::MonotonicTime now) {
  std::vector<ReplicaLoad> loads;
  const bool avoids_ejected = ingress::should_avoid_ejected(replicas, now);
  for (const ingress::ReplicaPointer& replica : replicas) {
    ReplicaWork& work = work_[replica->record.id];
    ReplicaLoad load;
    load.id = replica->record.id;
    load.running = work.running;
    load.long_running = work.long_running;
    load.slots = replica->record.slots;
    load.event_gap = speeds_.event_gap(load.id, {load.running + 1, load.slots}, now);
    const bool is_ejected = avoids_ejected && replica->outliers.is_ejected(now);
    load.closed = now < work.closed_until || replica->is_suspect(now) || is_ejected ||
                  inputs_.is_loading(load.id, job.job.model) ||
                  block_reason(job, *replica, now).has_value();
    loads.push_back(load);
  }
  return loads;
}

ports::ReplicaCall ItemDispatcher::item_call(const OpenJob& job, const JobItem& item) const {
  ports::ReplicaCall call;
  call.request_id = item.id;
  call.head.method = "POST";
  call.head.target = item.path;
  call.head.headers = item.headers;
  call.head.headers.set("Host", job.job.host);
  call.body = item.body;
  call.tenant = job.entry.tenant;
  const ports::StoreTime now = inputs_.store.now().value_or(job.entry.accepted_at);
  call.time_left = job.route->queue_limit - (now - job.entry.accepted_at);
  return call;
}

void ItemDispatcher::begin_run(const OpenJobPointer& job, std::size_t item,
                               ingress::ReplicaPointer replica, bool is_long) {
  const auto run = std::make_shared<Run>();
  run->job = job;
  run->item = item;
  run->replica = std::move(replica);
  run->began = inputs_.time.now();
  run->last_event = run->began;
  inputs_.directory.gate().note_sent(
      run->replica->destination(), {eligibility::Sender::kCoordinator, &job->binding}, run->began);
  job->items[item].state = ItemState::kRunning;
  run->is_long = is_long;
  ReplicaWork& work = work_[run->replica->record.id];
  ++work.running;
  work.long_running += is_long ? 1 : 0;
  run->place = runs_.insert(runs_.end(), run);
  core::log_decision(core::DecisionEvent::kItemStarted,
                     {{"job", job->job.id},
                      {"item", job->job.items[item].id},
                      {"replica", run->replica->record.id.value()},
                      {"from_event", job->items[item].text.events.size() + 1},
                      {"configuration", job->table->version()}},
                     core::DecisionWeight::kRoutine);
  runtime::start(inputs_.executor, "item run", run_item(shared_from_this(), run));
}

asio::awaitable<void> ItemDispatcher::run_item(std::shared_ptr<ItemDispatcher> self,
                                               RunPointer run) {
  const OpenJobPointer job = run->job;
  const ingress::InFlight in_flight(run->replica, eligibility::Sender::kCoordinator);
  ports::ReplicaTarget target{run->replica->record.id, run->replica->record.address};
  const TextRules rules{job->job.oldest_version, job->route->single_version};
  std::function<void()> on_event = [owner = self.get(), active = run.get()] {
    owner->on_event(*active);
  };
  asio::awaitable<AttemptEnd> task = attempt_text(
      self->inputs_.replicas, std::move(target), self->item_call(*job, job->job.items[run->item]),
      job->items[run->item].text, rules, std::move(on_event));
  const std::optional<AttemptEnd> end =
      co_await runtime::run_cancellable(std::move(task), run->cancel);
  const AttemptEnd ended = end.value_or(AttemptEnd());
  co_await check_replica(self, run, ended);
  self->on_end(run, run->is_cancelled ? end_of_cancelled(ended) : ended);
}

asio::awaitable<void> ItemDispatcher::check_replica(std::shared_ptr<ItemDispatcher> self,
                                                    RunPointer run, AttemptEnd end) {
  const bool may_have_crashed = end.kind == AttemptEndKind::kBroken && !end.unreachable;
  if (may_have_crashed && !run->is_cancelled) {
    co_await self->inputs_.guard.check_replica(run->replica);
  }
}

void ItemDispatcher::on_event(Run& run) {
  const core::MonotonicTime now = inputs_.time.now();
  const ingress::ReplicaRecord& replica = run.replica->record;
  if (run.events_made > 0) {
    run.job->items[run.item].silent_moves = 0;
  }
  // The speed of a cold replica is no indication of its speed when warm.
  if (run.events_made > 0 && !is_cold(*run.replica, now)) {
    const Occupancy taken{work_[replica.id].running, replica.slots};
    speeds_.note_event(replica.id, replica.service, taken, now - run.last_event, now);
  }
  ++run.events_made;
  run.last_event = now;
}

void ItemDispatcher::on_end(const RunPointer& run, const AttemptEnd& end) {
  runs_.erase(run->place);
  ReplicaWork& work = work_[run->replica->record.id];
  --work.running;
  work.long_running -= run->is_long ? 1 : 0;
  if (end.version) {
    inputs_.directory.note_version(run->replica, run->job->job.model, *end.version);
  }
  if (run->job->is_closed) {
    return;
  }
  if (end.kind == AttemptEndKind::kComplete) {
    meters_->whole.Increment();
    run->replica->note_success(inputs_.time.now());
    record_complete(*run);
    listener_.on_complete(run->job, run->item);
  } else {
    requeue(run, end);
  }
  listener_.on_change();
}

void ItemDispatcher::record_complete(const Run& run) {
  ItemProgress& item = run.job->items[run.item];
  item.state = ItemState::kScoring;
  item.made_at = MadeAt{run.replica->record.id, inputs_.time.now() - run.began, run.events_made};
  length_estimators_[run.job->job.model].record_complete(
      run.job->job.items[run.item].expected_tokens, item.text.events.size());
}

/// Withholds the next texts for a while from a replica that failed or refused one.
void ItemDispatcher::note_replica(const Run& run, const AttemptEnd& end) {
  const core::MonotonicTime now = inputs_.time.now();
  const bool refused = end.kind == AttemptEndKind::kNotRun || end.kind == AttemptEndKind::kGone;
  if (refused) {
    work_[run.replica->record.id].closed_until = now + settings_.refusal_pause;
  }
  const bool failed_run =
      end.kind == AttemptEndKind::kFailedAnswer || end.kind == AttemptEndKind::kBroken;
  const bool fell_silent =
      end.kind == AttemptEndKind::kCancelled && run.fell_silent && !is_cold(*run.replica, now);
  if ((failed_run && !end.stale_connection) || fell_silent) {
    if (run.replica->note_failed_run(now)) {
      meters_->ejected.Increment();
    }
  }
  if (end.kind == AttemptEndKind::kGone) {
    inputs_.guard.note_replica_end(*run.replica);
  }
  if (end.unreachable || end.kind == AttemptEndKind::kGone) {
    run.replica->suspect(now, settings_.suspicion);
  }
}

/// A faulty replica may fail everything that it runs, so an item is given up only after several
/// replicas have failed it.
bool ItemDispatcher::has_failed_too_often(const ItemProgress& item, std::uint32_t max_attempts) {
  return item.failed_at.size() >= max_attempts ||
         item.failed_answers >= max_attempts * kMostRoundsOfFailures;
}

void ItemDispatcher::requeue(const RunPointer& run, const AttemptEnd& end) {
  ItemProgress& item = run->job->items[run->item];
  const JobItem& described = run->job->job.items[run->item];
  core::log_decision(
      run->move_reason.empty() ? core::DecisionEvent::kItemFailed : core::DecisionEvent::kItemMoved,
      {{"job", run->job->job.id},
       {"item", described.id},
       {"replica", run->replica->record.id.value()},
       {"end", to_string(end.kind)},
       {"events", item.text.events.size()},
       {"reason", run->move_reason.empty() ? end.reason : run->move_reason}});
  item.state = ItemState::kQueued;
  run->job->order_is_stale = true;
  run->job->homes.erase(described.group);
  note_replica(*run, end);
  if (end.kind == AttemptEndKind::kUnfit) {
    item.text.discard();
  }
  if (end.kind == AttemptEndKind::kFailedAnswer) {
    ++item.failed_answers;
    item.failed_at.insert(run->replica->record.id);
  }
  const bool has_failed = end.kind == AttemptEndKind::kImpossible ||
                          has_failed_too_often(item, run->job->route->max_attempts);
  if (has_failed) {
    listener_.on_failed(run->job, run->item);
  }
}

void ItemDispatcher::move(Run& run, std::string reason) {
  run.move_reason = std::move(reason);
  meters_->moved.Increment();
  cancel(run);
}

void ItemDispatcher::cancel(Run& run) {
  run.is_cancelled = true;
  run.cancel.emit(asio::cancellation_type::terminal);
}

void ItemDispatcher::reset_silence() {
  const core::MonotonicTime now = inputs_.time.now();
  for (const RunPointer& run : runs_) {
    run->last_event = now;
  }
}

void ItemDispatcher::cancel(const OpenJobPointer& job) {
  const std::list<RunPointer> runs = runs_;
  for (const RunPointer& run : runs) {
    if (!job || run->job == job) {
      cancel(*run);
    }
  }
}

}  // namespace stoneport::jobs
