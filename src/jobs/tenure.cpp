#include "jobs/tenure.hpp"

#include <boost/asio/post.hpp>

#include "core/decision_log.hpp"
#include "jobs/job_adoption.hpp"
#include "runtime/cancellable.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr core::Duration kAdoptionRetry = std::chrono::milliseconds(100);
/// A gap between ticks that means that this process was paused.
constexpr core::Duration kLongestGap = std::chrono::milliseconds(500);
}  // namespace

struct Tenure::Meters {
  explicit Meters(core::Metrics& metrics)
      : open_jobs(metrics.gauge("stoneport_open_jobs", "Jobs that this coordinator works on")),
        running(metrics.gauge("stoneport_running_texts", "Texts that replicas make now")),
        moved(metrics.counter("stoneport_texts_moved_total",
                              "Texts taken from a slow or silent replica")),
        whole(metrics.counter("stoneport_texts_whole_total", "Texts that were made whole")),
        job_seconds(metrics.seconds_histogram("stoneport_job_seconds",
                                              "From a job's acceptance to its close")) {}
  prometheus::Gauge& open_jobs;
  prometheus::Gauge& running;
  prometheus::Counter& moved;
  prometheus::Counter& whole;
  prometheus::Histogram& job_seconds;
};

Tenure::Tenure(const CoordinatorInputs& inputs, const CoordinatorSettings& settings,
               TermKeeper& keeper, Term term)
    : inputs_(inputs),
      settings_(settings),
      keeper_(keeper),
      term_(term),
      meters_(std::make_unique<Meters>(inputs.metrics)) {}

Tenure::~Tenure() = default;

void Tenure::start() {
  const std::weak_ptr<Tenure> weak = weak_from_this();
  index_ = std::make_unique<records::TableMirror>(
      inputs_.executor, inputs_.store, std::string(kIndexTable), std::string(kJobPartition),
      [weak](const records::TableMirror::Records& records) {
        if (const auto self = weak.lock()) {
          self->on_index(records);
        }
      });
  ResultLister::Listener listing;
  listing.on_listed = [weak](const PendingResult& listed, std::uint64_t position) {
    if (const auto self = weak.lock()) {
      self->on_listed(listed, position);
    }
  };
  listing.on_deposed = [weak](std::string_view reason) {
    if (const auto self = weak.lock()) {
      self->keeper_.on_deposed(reason);
    }
  };
  lister_ = std::make_shared<ResultLister>(inputs_.executor, inputs_.store, term_,
                                           std::move(listing), inputs_.metrics);
  checkpoints_ = std::make_shared<CheckpointWriter>(
      inputs_.executor, inputs_.store, term_,
      [weak] {
        const auto self = weak.lock();
        return self ? self->open_jobs() : std::vector<OpenJobPointer>();
      },
      inputs_.metrics);
  scorer_ =
      std::make_unique<Scorer>(inputs_.forwarder, inputs_.routes, inputs_.time, inputs_.metrics);
  weights::WeightLoader::Inputs loading;
  loading.wanted = [weak] {
    const auto self = weak.lock();
    return self ? self->wanted_versions() : weights::WantedVersions();
  };
  loading.may_order = [weak] {
    const auto self = weak.lock();
    return self && self->may_order();
  };
  loading.running = [weak](const core::ReplicaId& id) {
    const auto self = weak.lock();
    return self ? self->work_[id].running : 0;
  };
  loading.on_loaded = [weak] {
    if (const auto self = weak.lock()) {
      self->dispatch_soon();
    }
  };
  weights::WeightLoaderSettings weights;
  weights.plan = settings_.weights;
  weights.holder = settings_.term.holder;
  weights.fence = term_.epoch;
  // The first term of all follows nobody.
  const bool is_first = term_.epoch == core::Epoch(1);
  weights.first_order_at =
      inputs_.time.now() + (is_first ? core::Duration(0) : settings_.order_pause);
  loader_ = std::make_shared<weights::WeightLoader>(
      inputs_.executor, inputs_.directory, inputs_.replicas, std::move(loading), std::move(weights),
      inputs_.time, inputs_.metrics);
  last_tick_ = inputs_.time.now();
  index_->start();
  lister_->start();
  checkpoints_->start();
  loader_->start();
  runtime::start(inputs_.executor, "coordinator tick", tick_loop(shared_from_this()));
}

void Tenure::stop() {
  over_ = true;
  index_->stop();
  lister_->stop();
  checkpoints_->stop();
  loader_->stop();
  for (const auto& [id, job] : jobs_) {
    job->over = true;
  }
  const std::list<ActiveRunPointer> runs = runs_;
  for (const ActiveRunPointer& run : runs) {
    run->cut.emit(asio::cancellation_type::terminal);
  }
  meters_->open_jobs.Set(0);
}

asio::awaitable<void> Tenure::hand_over() {
  handing_over_ = true;
  loader_->stop();
  co_await checkpoints_->write();
}

std::vector<OpenJobPointer> Tenure::open_jobs() const {
  std::vector<OpenJobPointer> open;
  for (const auto& [id, job] : jobs_) {
    if (!job->over) {
      open.push_back(job);
    }
  }
  return open;
}

void Tenure::on_index(const records::TableMirror::Records& records) {
  if (over_) {
    return;
  }
  std::vector<ports::Record> all;
  for (const auto& [key, record] : records) {
    all.push_back(record);
  }
  std::uint64_t malformed = 0;
  for (auto& [id, entry] : decode_index(all, malformed)) {
    const bool is_finished = entry.ended || entry.whole;
    const auto open = jobs_.find(id);
    if (open != jobs_.end()) {
      if (entry.ended) {
        const OpenJobPointer job = open->second;
        close_job(job, "ended by its client");
      }
      continue;
    }
    if (is_finished) {
      closed_.insert(id);
    }
    if (closed_.contains(id) || !adopting_.insert(id).second) {
      continue;
    }
    const bool is_fresh = records.at(id).revision > term_.revision;
    runtime::start(inputs_.executor, "job adoption",
                   adopt(shared_from_this(), id, entry, is_fresh));
  }
}

asio::awaitable<void> Tenure::adopt(std::shared_ptr<Tenure> self, std::string id,
                                    JobIndexEntry entry, bool is_fresh) {
  while (!self->over_ && !self->closed_.contains(id)) {
    core::Result<OpenJobPointer> adopted =
        co_await adopt_job(self->inputs_.jobs, self->inputs_.parser, id, entry, is_fresh);
    if (self->over_ || self->closed_.contains(id)) {
      break;
    }
    if (adopted) {
      const OpenJobPointer job = *adopted;
      self->jobs_[id] = job;
      self->refresh_route(*job);
      self->meters_->open_jobs.Set(static_cast<double>(self->jobs_.size()));
      core::log_decision(core::DecisionEvent::kJobAdopted,
                         {{"job", id},
                          {"epoch", self->term_.epoch.value()},
                          {"items", job->items.size()},
                          {"listed", job->listed},
                          {"fresh", is_fresh},
                          {"oldest_version", job->job.oldest_version.value()}});
      for (std::size_t index = 0; index < job->items.size(); ++index) {
        job->items[index].not_before = self->inputs_.time.now();
      }
      self->dispatch_soon();
      break;
    }
    if (adopted.error().code == core::ErrorCode::kInvalidArgument) {
      self->closed_.insert(id);
      core::log_decision(core::DecisionEvent::kJobEnded,
                         {{"job", id}, {"reason", adopted.error().message}});
      break;
    }
    co_await runtime::sleep_for(kAdoptionRetry);
  }
  self->adopting_.erase(id);
}

void Tenure::close_job(const OpenJobPointer& job, std::string_view reason) {
  job->over = true;
  closed_.insert(job->job.id);
  jobs_.erase(job->job.id);
  const std::list<ActiveRunPointer> runs = runs_;
  for (const ActiveRunPointer& run : runs) {
    if (run->job == job) {
      run->cut.emit(asio::cancellation_type::terminal);
    }
  }
  meters_->open_jobs.Set(static_cast<double>(jobs_.size()));
  const std::optional<ports::StoreTime> now = inputs_.store.now();
  if (now) {
    meters_->job_seconds.Observe(core::to_seconds(*now - job->entry.accepted_at));
  }
  core::log_decision(core::DecisionEvent::kJobEnded, {{"job", job->job.id},
                                                      {"reason", reason},
                                                      {"listed", job->listed},
                                                      {"items", job->items.size()}});
  dispatch_soon();
}

bool Tenure::refresh_route(OpenJob& job) const {
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  const ingress::Route* route =
      table ? table->find(job.job.host, http::path_of(job.entry.path)) : nullptr;
  if (route != nullptr) {
    job.table = table;
    job.route = route;
  }
  return job.route != nullptr;
}

void Tenure::dispatch_soon() {
  if (dispatch_pending_ || over_) {
    return;
  }
  dispatch_pending_ = true;
  asio::post(inputs_.executor, [self = shared_from_this()] {
    self->dispatch_pending_ = false;
    self->dispatch();
  });
}

void Tenure::dispatch() {
  if (over_ || handing_over_) {
    return;
  }
  const core::MonotonicTime now = inputs_.time.now();
  std::vector<OpenJobPointer> jobs = open_jobs();
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const OpenJobPointer& left, const OpenJobPointer& right) {
                     return left->entry.accepted_at < right->entry.accepted_at;
                   });
  for (const OpenJobPointer& job : jobs) {
    if (refresh_route(*job)) {
      dispatch_job(job, now);
    }
  }
  meters_->running.Set(static_cast<double>(runs_.size()));
}

std::vector<ingress::ReplicaPointer> Tenure::usable_replicas(const OpenJob& job) const {
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

std::vector<ReplicaLoad> Tenure::loads(const std::vector<ingress::ReplicaPointer>& replicas,
                                       const OpenJob& job, core::MonotonicTime now) {
  std::vector<ReplicaLoad> loads;
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
    load.closed = now < work.closed_until || replica->is_suspect(now) ||
                  loader_->is_loading(load.id, job.job.model);
    loads.push_back(load);
  }
  return loads;
}

void Tenure::dispatch_job(const OpenJobPointer& job, core::MonotonicTime now) {
  const std::vector<ingress::ReplicaPointer> replicas = usable_replicas(*job);
  std::vector<ReplicaLoad> replica_loads = loads(replicas, *job, now);
  for (const std::size_t index : job->start_order) {
    ItemProgress& item = job->items[index];
    if (item.state != ItemState::kQueued || now < item.not_before) {
      continue;
    }
    const std::string& group = job->job.items[index].group;
    std::optional<core::ReplicaId> home;
    const auto known_home = job->homes.find(group);
    if (known_home != job->homes.end()) {
      home = known_home->second;
    }
    const std::optional<std::size_t> chosen = place_item(replica_loads, home, settings_.placement);
    if (!chosen) {
      return;
    }
    ++replica_loads[*chosen].running;
    job->homes[group] = replica_loads[*chosen].id;
    begin_run(job, index, replicas[*chosen]);
  }
}

ports::ReplicaCall Tenure::item_call(const OpenJob& job, const JobItem& item) const {
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

void Tenure::begin_run(const OpenJobPointer& job, std::size_t item,
                       ingress::ReplicaPointer replica) {
  const auto run = std::make_shared<ActiveRun>();
  run->job = job;
  run->item = item;
  run->replica = std::move(replica);
  run->started = inputs_.time.now();
  run->last_event = run->started;
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

asio::awaitable<void> Tenure::run_item(std::shared_ptr<Tenure> self, ActiveRunPointer run) {
  const OpenJobPointer job = run->job;
  const ingress::InFlight in_flight(run->replica);
  ports::ReplicaTarget target{run->replica->record.id, run->replica->record.address};
  const TextRules rules{job->job.oldest_version, job->route->single_version};
  std::function<void()> on_event = [&tenure = *self, &active = *run] { tenure.on_event(active); };
  asio::awaitable<AttemptEnd> task = attempt_text(
      self->inputs_.replicas, std::move(target), self->item_call(*job, job->job.items[run->item]),
      job->items[run->item].text, rules, std::move(on_event));
  const std::optional<AttemptEnd> end =
      co_await runtime::run_cancellable(std::move(task), run->cut);
  self->on_run_end(run, end.value_or(AttemptEnd()));
}

void Tenure::on_event(ActiveRun& run) {
  const core::MonotonicTime now = inputs_.time.now();
  ReplicaWork& work = work_[run.replica->record.id];
  if (run.events_made > 0) {
    constexpr double kWeight = 0.1;
    const core::Duration gap = now - run.last_event;
    work.event_gap =
        work.event_gap == core::Duration(0)
            ? gap
            : work.event_gap + core::from_seconds(core::to_seconds(gap - work.event_gap) * kWeight);
  }
  ++run.events_made;
  run.last_event = now;
  work.last_event = now;
}

void Tenure::on_run_end(const ActiveRunPointer& run, const AttemptEnd& end) {
  runs_.remove(run);
  ReplicaWork& work = work_[run->replica->record.id];
  --work.running;
  if (end.version) {
    core::WeightVersion& known = run->replica->record.versions[run->job->job.model];
    known = std::max(known, *end.version);
  }
  if (over_ || run->job->over) {
    return;
  }
  ItemProgress& item = run->job->items[run->item];
  if (end.kind == AttemptEndKind::kWhole) {
    meters_->whole.Increment();
    item.state = ItemState::kScoring;
    runtime::start(inputs_.executor, "scoring", score(shared_from_this(), run->job, run->item));
  } else {
    requeue(run, end);
  }
  dispatch_soon();
}

void Tenure::requeue(const ActiveRunPointer& run, const AttemptEnd& end) {
  const core::MonotonicTime now = inputs_.time.now();
  ItemProgress& item = run->job->items[run->item];
  ReplicaWork& work = work_[run->replica->record.id];
  const JobItem& described = run->job->job.items[run->item];
  item.state = ItemState::kQueued;
  core::log_decision(
      run->moving ? core::DecisionEvent::kItemMoved : core::DecisionEvent::kItemFailed,
      {{"job", run->job->job.id},
       {"item", described.id},
       {"replica", run->replica->record.id.value()},
       {"end", to_string(end.kind)},
       {"events", item.text.events.size()},
       {"reason", end.reason}});
  run->job->homes.erase(described.group);
  switch (end.kind) {
    case AttemptEndKind::kNotRun:
    case AttemptEndKind::kGone:
      work.closed_until = now + settings_.refusal_pause;
      break;
    case AttemptEndKind::kFailedAnswer:
      ++item.failed_answers;
      if (item.failed_answers >= run->job->route->most_attempts) {
        list(run->job, run->item, ResultState::kTerminated, "");
      }
      break;
    case AttemptEndKind::kImpossible:
      ++item.impossible_answers;
      list(run->job, run->item, ResultState::kTerminated, "");
      break;
    case AttemptEndKind::kUnfit:
      item.text.discard();
      break;
    case AttemptEndKind::kWhole:
    case AttemptEndKind::kBroken:
    case AttemptEndKind::kCut:
      break;
  }
  if (end.unreachable || end.kind == AttemptEndKind::kGone) {
    run->replica->suspect(now, settings_.suspicion);
  }
}

bool Tenure::should_move(const ActiveRun& run, core::MonotonicTime now, core::Duration median) {
  const core::ReplicaId& id = run.replica->record.id;
  const core::Duration in_gaps =
      core::from_seconds(core::to_seconds(median) * settings_.silence_in_gaps);
  core::Duration patience = std::max(settings_.shortest_silence, in_gaps);
  if (loader_->is_loading(id, run.job->job.model)) {
    patience = std::max(patience, settings_.loading_silence);
  }
  if (now - run.last_event > patience) {
    run.replica->suspect(now, settings_.suspicion);
    return true;
  }
  ReplicaLoad load;
  load.event_gap = work_[id].event_gap;
  const bool is_measured = run.events_made >= 3;
  return is_measured && is_slow(load, median, settings_.placement);
}

void Tenure::move_stragglers(core::MonotonicTime now) {
  // Places on replicas that are not slow, so that a move never ends in a queue.
  std::vector<ReplicaLoad> all;
  for (const auto& [id, work] : work_) {
    ReplicaLoad load;
    load.event_gap =
        now - work.last_event > settings_.speed_memory ? core::Duration(0) : work.event_gap;
    all.push_back(load);
  }
  const core::Duration median = median_event_gap(all);
  const std::list<ActiveRunPointer> runs = runs_;
  for (const ActiveRunPointer& run : runs) {
    if (run->moving || run->job->over || !should_move(*run, now, median)) {
      continue;
    }
    const std::vector<ingress::ReplicaPointer> replicas = usable_replicas(*run->job);
    std::vector<ReplicaLoad> elsewhere = loads(replicas, *run->job, now);
    for (ReplicaLoad& load : elsewhere) {
      load.closed |=
          load.id == run->replica->record.id || is_slow(load, median, settings_.placement);
    }
    if (!place_item(elsewhere, std::nullopt, settings_.placement)) {
      continue;
    }
    run->moving = true;
    meters_->moved.Increment();
    run->cut.emit(asio::cancellation_type::terminal);
  }
}

asio::awaitable<void> Tenure::score(std::shared_ptr<Tenure> self, OpenJobPointer job,
                                    std::size_t item) {
  const std::optional<ScoringCall> call = job->job.items[item].scoring;
  if (!call) {
    self->list(job, item, ResultState::kCompleted, "");
    co_return;
  }
  std::function<bool()> is_wanted = [tenure = self.get(), open = job.get(), item] {
    return !tenure->over_ && !open->over && open->items[item].state == ItemState::kScoring;
  };
  const Score score = co_await self->scorer_->score(*call, is_wanted);
  if (!is_wanted()) {
    co_return;
  }
  if (score.end == ScoreEnd::kScored) {
    self->list(job, item, ResultState::kCompleted, score.signature);
  } else if (score.end == ScoreEnd::kFailed) {
    self->list(job, item, ResultState::kTerminated, "");
  }
}

void Tenure::list(const OpenJobPointer& job, std::size_t item, ResultState state,
                  std::string score) {
  ItemProgress& progress = job->items[item];
  progress.state = ItemState::kReady;
  JobResult result;
  result.item = job->job.items[item].id;
  result.state = state;
  if (state == ResultState::kCompleted) {
    result.text = progress.text.joined();
    result.versions = progress.text.distinct_versions();
    result.score = std::move(score);
  }
  lister_->add({job, item, std::move(result)});
}

void Tenure::on_listed(const PendingResult& listed, std::uint64_t position) {
  const JobItem& item = listed.job->job.items[listed.item];
  ItemText& text = listed.job->items[listed.item].text;
  core::log_decision(
      core::DecisionEvent::kItemListed,
      {{"job", listed.job->job.id},
       {"item", item.id},
       {"position", position},
       {"state", listed.result.state == ResultState::kCompleted ? "completed" : "terminated"},
       {"versions", listed.result.versions}},
      core::DecisionWeight::kRoutine);
  text.events.clear();
  text.versions.clear();
  if (listed.job->listed == listed.job->items.size() && !listed.job->over) {
    const OpenJobPointer job = listed.job;
    close_job(job, "whole");
  }
}

void Tenure::expire_items() {
  const std::optional<ports::StoreTime> store_now = inputs_.store.now();
  if (!store_now) {
    return;
  }
  for (const OpenJobPointer& job : open_jobs()) {
    const bool is_due =
        job->route != nullptr && *store_now - job->entry.accepted_at > job->route->queue_limit;
    if (!is_due || job->entry.accepted_at == ports::StoreTime(0)) {
      continue;
    }
    for (std::size_t index = 0; index < job->items.size(); ++index) {
      const ItemState state = job->items[index].state;
      if (state == ItemState::kQueued || state == ItemState::kScoring) {
        list(job, index, ResultState::kTerminated, "");
      }
    }
  }
}

weights::WantedVersions Tenure::wanted_versions() const {
  weights::WantedVersions wanted;
  const std::map<core::ModelName, core::WeightVersion> named = inputs_.named_versions();
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  if (!table) {
    return wanted;
  }
  for (const auto& [model, version] : named) {
    weights::WantedVersion entry;
    entry.version = version;
    entry.oldest_allowed = core::WeightVersion(version.value() > 1 ? version.value() - 1 : 1);
    for (const auto& [id, job] : jobs_) {
      if (job->job.model == model) {
        entry.oldest_allowed = std::max(entry.oldest_allowed, job->job.oldest_version);
      }
    }
    for (const ingress::Route& route : table->routes()) {
      if (route.kind != ingress::RouteKind::kRollout) {
        continue;
      }
      for (const ingress::RouteTarget& target : route.targets) {
        entry.service = target.service;
        const std::vector<ingress::ReplicaPointer> replicas =
            inputs_.directory.of_service(target.service);
        const bool has_model = std::any_of(
            replicas.begin(), replicas.end(),
            [&](const ingress::ReplicaPointer& r) { return r->record.versions.contains(model); });
        if (has_model) {
          wanted[model] = entry;
        }
      }
    }
  }
  return wanted;
}

bool Tenure::may_order() const {
  const core::MonotonicTime now = inputs_.time.now();
  const bool is_awake = now - last_tick_ < kLongestGap;
  const bool is_confirmed = now - keeper_.confirmed_at() < settings_.order_confirmation;
  return !over_ && !handing_over_ && is_awake && is_confirmed;
}

asio::awaitable<void> Tenure::tick_loop(std::shared_ptr<Tenure> self) {
  while (!self->over_) {
    const core::MonotonicTime now = self->inputs_.time.now();
    const bool was_paused = now - self->last_tick_ > kLongestGap;
    self->last_tick_ = now;
    if (was_paused) {
      // Runs that went on meanwhile did not fall silent: we did not listen.
      for (const ActiveRunPointer& run : self->runs_) {
        run->last_event = now;
      }
    } else {
      self->move_stragglers(now);
    }
    self->expire_items();
    self->dispatch();
    co_await runtime::sleep_for(self->settings_.tick);
  }
}

}  // namespace stoneport::jobs
