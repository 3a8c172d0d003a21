#include "jobs/item_dispatcher.hpp"

#include <fmt/format.h>

#include "core/decision_log.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
/// Of the newest gap in a replica's moving average.
constexpr double kGapWeight = 0.1;
/// Fewer events say nothing of a replica's speed.
constexpr std::uint64_t kEventsToMeasure = 3;
/// Answers of failure after which an item is given up, in the attempts of its route,
/// where fewer replicas than that have failed it.
constexpr std::uint32_t kMostRoundsOfFailures = 2;
}  // namespace

struct ItemDispatcher::Meters {
  explicit Meters(core::Metrics& metrics)
      : running(metrics.gauge("stoneport_running_texts", "Texts that replicas make now")),
        moved(metrics.counter("stoneport_texts_moved_total",
                              "Texts taken from a slow or silent replica")),
        ejected(metrics.counter("stoneport_text_replica_ejections_total",
                                "Replicas left out for a while because they failed texts")),
        whole(metrics.counter("stoneport_texts_whole_total", "Texts that were made whole")) {}
  prometheus::Gauge& running;
  prometheus::Counter& moved;
  prometheus::Counter& ejected;
  prometheus::Counter& whole;
};

ItemDispatcher::ItemDispatcher(ItemDispatcherInputs inputs, Listener listener,
                               ItemDispatcherSettings settings)
    : inputs_(std::move(inputs)),
      listener_(std::move(listener)),
      settings_(settings),
      meters_(std::make_unique<Meters>(inputs_.metrics)) {}

ItemDispatcher::~ItemDispatcher() = default;

std::uint32_t ItemDispatcher::running_on(const core::ReplicaId& replica) const {
  const auto found = work_.find(replica);
  return found == work_.end() ? 0 : found->second.running;
}

void ItemDispatcher::dispatch(std::vector<OpenJobPointer> jobs) {
  const core::MonotonicTime now = inputs_.time.now();
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const OpenJobPointer& left, const OpenJobPointer& right) {
                     return is_placed_before(*left, *right);
                   });
  for (const OpenJobPointer& job : jobs) {
    if (job->route != nullptr) {
      dispatch_job(job, now);
    }
  }
  meters_->running.Set(static_cast<double>(runs_.size()));
}

std::vector<ingress::ReplicaPointer> ItemDispatcher::usable_replicas(const OpenJob& job) const {
  std::vector<ingress::ReplicaPointer> usable;
  for (const ingress::RouteTarget& target : job.route->targets) {
    for (const ingress::ReplicaPointer& replica : inputs_.directory.of_service(target.service)) {
      const auto version = replica->record.versions.find(job.job.model);
      const bool fits =
          version != replica->record.versions.end() && version->second >= job.job.oldest_version;
      if (fits && replica->accepts_work()) {
        usable.push_back(replica);
      }
    }
  }
  return usable;
}

std::vector<ReplicaLoad> ItemDispatcher::loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                               const OpenJob& job, core::MonotonicTime now) {
  std::vector<ReplicaLoad> loads;
  const bool avoids_ejected = ingress::should_avoid_ejected(replicas, now);
  for (const ingress::ReplicaPointer& replica : replicas) {
    ReplicaWork& work = work_[replica->record.id];
    if (now - work.last_event > settings_.speed_memory) {
      work.event_gap = core::Duration(0);
    }
    ReplicaLoad load;
    load.id = replica->record.id;
    load.running = work.running;
    load.slots = replica->record.slots;
    load.event_gap = work.event_gap;
    const bool is_ejected = avoids_ejected && replica->outliers.is_ejected(now);
    load.closed = now < work.closed_until || replica->is_suspect(now) || is_ejected ||
                  inputs_.is_loading(load.id, job.job.model);
    loads.push_back(load);
  }
  return loads;
}

bool ItemDispatcher::has_work(const OpenJob& job, core::MonotonicTime now) {
  return std::any_of(job.items.begin(), job.items.end(), [now](const ItemProgress& item) {
    return item.state == ItemState::kQueued && now >= item.not_before;
  });
}

void ItemDispatcher::dispatch_job(const OpenJobPointer& job, core::MonotonicTime now) {
  if (!has_work(*job, now)) {
    return;
  }
  const std::vector<ingress::ReplicaPointer> replicas = usable_replicas(*job);
  std::vector<ReplicaLoad> replica_loads = loads(replicas, *job, now);
  const core::Duration median = median_event_gap(replica_loads);
  for (const std::size_t index : job->start_order) {
    const ItemProgress& item = job->items[index];
    if (item.state != ItemState::kQueued || now < item.not_before) {
      continue;
    }
    const std::string& group = job->job.items[index].group;
    std::optional<core::ReplicaId> home;
    const auto known_home = job->homes.find(group);
    if (known_home != job->homes.end()) {
      home = known_home->second;
    }
    const std::optional<std::size_t> chosen =
        place_item(replica_loads, median, home, item.failed_at, settings_.placement);
    if (!chosen && item.failed_at.empty()) {
      return;
    }
    if (!chosen) {
      continue;  // only replicas that have failed it have room
    }
    ++replica_loads[*chosen].running;
    job->homes[group] = replica_loads[*chosen].id;
    begin_run(job, index, replicas[*chosen]);
  }
}

ports::ReplicaCall ItemDispatcher::item_call(const OpenJob& job, const JobItem& item) const {
  ports::ReplicaCall call;
  call.request_id = item.id;
  call.head.method = "POST";
  call.head.target = item.path;
  call.head.headers = item.headers;
  call.head.headers.set("Host", job.job.host);
  call.body = item.body;
  const ports::StoreTime now = inputs_.store.now().value_or(job.entry.accepted_at);
  call.time_left = job.route->queue_limit - (now - job.entry.accepted_at);
  return call;
}

void ItemDispatcher::begin_run(const OpenJobPointer& job, std::size_t item,
                               ingress::ReplicaPointer replica) {
  const auto run = std::make_shared<Run>();
  run->job = job;
  run->item = item;
  run->replica = std::move(replica);
  run->last_event = inputs_.time.now();
  job->items[item].state = ItemState::kRunning;
  ++work_[run->replica->record.id].running;
  runs_.push_back(run);
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
  const ingress::InFlight in_flight(run->replica);
  ports::ReplicaTarget target{run->replica->record.id, run->replica->record.address};
  const TextRules rules{job->job.oldest_version, job->route->single_version};
  std::function<void()> on_event = [owner = self.get(), active = run.get()] {
    owner->on_event(*active);
  };
  asio::awaitable<AttemptEnd> task = attempt_text(
      self->inputs_.replicas, std::move(target), self->item_call(*job, job->job.items[run->item]),
      job->items[run->item].text, rules, std::move(on_event));
  const std::optional<AttemptEnd> end =
      co_await runtime::run_cancellable(std::move(task), run->cut);
  self->on_end(run, end.value_or(AttemptEnd()));
}

void ItemDispatcher::on_event(Run& run) {
  const core::MonotonicTime now = inputs_.time.now();
  ReplicaWork& work = work_[run.replica->record.id];
  const core::Duration gap = now - run.last_event;
  if (run.events_made > 0 && work.event_gap == core::Duration(0)) {
    work.event_gap = gap;
  } else if (run.events_made > 0) {
    const double change = core::to_seconds(gap - work.event_gap) * kGapWeight;
    work.event_gap += core::from_seconds(change);
  }
  ++run.events_made;
  run.last_event = now;
  work.last_event = now;
}

void ItemDispatcher::on_end(const RunPointer& run, const AttemptEnd& end) {
  runs_.remove(run);
  --work_[run->replica->record.id].running;
  if (end.version) {
    core::WeightVersion& known = run->replica->record.versions[run->job->job.model];
    known = std::max(known, *end.version);
  }
  if (run->job->over) {
    return;
  }
  if (end.kind == AttemptEndKind::kWhole) {
    meters_->whole.Increment();
    run->replica->outliers.note_success();
    run->job->items[run->item].state = ItemState::kScoring;
    listener_.on_whole(run->job, run->item);
  } else {
    requeue(run, end);
  }
  listener_.on_change();
}

/// Keeps a replica that did not do its part from the next texts for a while.
void ItemDispatcher::note_replica(const Run& run, const AttemptEnd& end) {
  const core::MonotonicTime now = inputs_.time.now();
  const bool refused = end.kind == AttemptEndKind::kNotRun || end.kind == AttemptEndKind::kGone;
  if (refused) {
    work_[run.replica->record.id].closed_until = now + settings_.refusal_pause;
  }
  const bool failed_run =
      end.kind == AttemptEndKind::kFailedAnswer || end.kind == AttemptEndKind::kBroken;
  const bool fell_silent = end.kind == AttemptEndKind::kCut && run.fell_silent;
  if ((failed_run && !end.stale_connection) || fell_silent) {
    if (run.replica->note_failed_run(now)) {
      meters_->ejected.Increment();
    }
  }
  if (end.unreachable || end.kind == AttemptEndKind::kGone) {
    run.replica->suspect(now, settings_.suspicion);
  }
}

/// A replica may fail whatever it runs, so it takes several to condemn an item.
bool ItemDispatcher::has_failed_too_often(const ItemProgress& item, std::uint32_t most_attempts) {
  return item.failed_at.size() >= most_attempts ||
         item.failed_answers >= most_attempts * kMostRoundsOfFailures;
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
                          has_failed_too_often(item, run->job->route->most_attempts);
  if (has_failed) {
    listener_.on_failed(run->job, run->item);
  }
}

core::Duration ItemDispatcher::median_gap(core::MonotonicTime now) const {
  std::vector<ReplicaLoad> all;
  for (const auto& [id, work] : work_) {
    const bool is_fresh = now - work.last_event <= settings_.speed_memory;
    ReplicaLoad load;
    load.event_gap = is_fresh ? work.event_gap : core::Duration(0);
    all.push_back(load);
  }
  return median_event_gap(all);
}

std::string ItemDispatcher::reason_to_move(Run& run, core::MonotonicTime now,
                                           core::Duration median) {
  const core::ReplicaId& id = run.replica->record.id;
  const core::Duration in_gaps =
      core::from_seconds(core::to_seconds(median) * settings_.silence_in_gaps);
  core::Duration patience = std::max(settings_.shortest_silence, in_gaps);
  if (inputs_.is_loading(id, run.job->job.model)) {
    patience = std::max(patience, settings_.loading_silence);
  }
  if (now - run.last_event > patience) {
    run.replica->suspect(now, settings_.suspicion);
    run.fell_silent = true;
    return fmt::format("silent for {:.0f} ms", core::to_seconds(now - run.last_event) * 1000);
  }
  ReplicaLoad load;
  load.event_gap = work_[id].event_gap;
  if (run.events_made < kEventsToMeasure || !is_slow(load, median, settings_.placement)) {
    return "";
  }
  return fmt::format("slow: {:.0f} ms an event against {:.0f}",
                     core::to_seconds(load.event_gap) * 1000, core::to_seconds(median) * 1000);
}

/// A move must not end in a queue, or on a replica that is as slow.
bool ItemDispatcher::has_better_place(const Run& run, core::MonotonicTime now,
                                      core::Duration median) {
  const std::vector<ingress::ReplicaPointer> replicas = usable_replicas(*run.job);
  std::vector<ReplicaLoad> elsewhere = loads(replicas, *run.job, now);
  for (ReplicaLoad& load : elsewhere) {
    const bool is_here = load.id == run.replica->record.id;
    load.closed |= is_here || is_slow(load, median, settings_.placement);
  }
  const std::set<core::ReplicaId>& excluded = run.job->items[run.item].failed_at;
  const core::Duration median_elsewhere = median_event_gap(elsewhere);
  return place_item(elsewhere, median_elsewhere, std::nullopt, excluded, settings_.placement)
      .has_value();
}

void ItemDispatcher::move_stragglers() {
  const core::MonotonicTime now = inputs_.time.now();
  const core::Duration median = median_gap(now);
  const std::list<RunPointer> runs = runs_;
  for (const RunPointer& run : runs) {
    if (!run->move_reason.empty() || run->job->over) {
      continue;
    }
    std::string reason = reason_to_move(*run, now, median);
    if (reason.empty() || !has_better_place(*run, now, median)) {
      continue;
    }
    run->move_reason = std::move(reason);
    meters_->moved.Increment();
    run->cut.emit(asio::cancellation_type::terminal);
  }
}

void ItemDispatcher::forget_silence() {
  const core::MonotonicTime now = inputs_.time.now();
  for (const RunPointer& run : runs_) {
    run->last_event = now;
  }
}

void ItemDispatcher::cut(const OpenJobPointer& job) {
  const std::list<RunPointer> runs = runs_;
  for (const RunPointer& run : runs) {
    if (!job || run->job == job) {
      run->cut.emit(asio::cancellation_type::terminal);
    }
  }
}

}  // namespace stoneport::jobs
