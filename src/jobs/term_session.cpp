#include "jobs/term_session.hpp"

#include "core/decision_log.hpp"
#include "ingress/route_regions.hpp"
#include "jobs/job_adoption.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr core::Duration kAdoptionRetry = std::chrono::milliseconds(100);
/// Interval at which a job bound to other regions is checked for whether this process may work on
/// it.
constexpr core::Duration kElsewhereRetry = std::chrono::milliseconds(500);
constexpr double kMillisecondsPerSecond = 1000;
/// Number of last items of a job whose log lines are always kept.
constexpr std::size_t kLastItemsKept = 12;
constexpr core::Duration kLongestFlush = std::chrono::milliseconds(1200);
/// A dispatch compares all waiting items with all replicas, which takes an estimated 1 ms for 3,000
/// replicas and five jobs. Changes within the shortest interval are handled together.
constexpr core::WorkPacerSettings kDispatches{.share = 0.1,
                                              .shortest_interval = std::chrono::milliseconds(4),
                                              .longest_interval = std::chrono::milliseconds(100)};
/// Less than the time within which an acknowledged end must take effect (3 s), with a margin for a
/// request in flight.
constexpr core::Duration kOldestIndexView = std::chrono::milliseconds(2200);
/// Time before its end in which a previous holder may have sent requests: the span over which
/// requests to a cold replica count, plus a margin for their transmission.
constexpr core::Duration kLastSends = std::chrono::milliseconds(1100);
/// A longer gap between ticks means that this process was paused.
constexpr core::Duration kLongestGap = std::chrono::milliseconds(500);
}  // namespace

struct TermSession::Meters {
  explicit Meters(core::Metrics& metrics)
      : open_jobs(metrics.gauge("stoneport_open_jobs", "Jobs that this coordinator works on")),
        job_seconds(metrics.seconds_histogram("stoneport_job_seconds",
                                              "Time from a job's acceptance to its end")),
        dispatch_seconds(metrics.seconds_histogram(
            "stoneport_dispatch_seconds", "Duration of one dispatch of all waiting texts")),
        dispatches_held_back(
            metrics.counter("stoneport_dispatches_held_back_total",
                            "Dispatches skipped because the view of the job index was stale")),
        adoptions_held_back(metrics.counter(
            "stoneport_adoptions_held_back_total",
            "Attempts to adopt jobs whose regions do not allow this coordinator")) {}
  prometheus::Gauge& open_jobs;
  prometheus::Histogram& job_seconds;
  prometheus::Histogram& dispatch_seconds;
  prometheus::Counter& dispatches_held_back;
  prometheus::Counter& adoptions_held_back;
};

TermSession::TermSession(const CoordinatorInputs& inputs, const CoordinatorSettings& settings,
                         TermKeeper& keeper, Term term)
    : inputs_(inputs),
      settings_(settings),
      keeper_(keeper),
      term_(term),
      wanted_weights_(inputs.named_versions, inputs.routes, inputs.directory),
      meters_(std::make_unique<Meters>(inputs.metrics)),
      dispatch_pacer_(kDispatches) {}

TermSession::~TermSession() = default;

void TermSession::start() {
  make_parts();
  last_tick_ = inputs_.time.now();
  inputs_.directory.gate().cold_rate_limiter().begin_term(
      last_tick_ + settings_.order_confirmation + kLastSends);
  writer_->start();
  loader_->start();
  for (const TermDutyPointer& duty : duties_) {
    duty->start();
  }
  runtime::start(inputs_.executor, "coordinator start", begin(shared_from_this()));
  runtime::start(inputs_.executor, "orders", load_order_history(shared_from_this()));
  runtime::start(inputs_.executor, "coordinator tick", tick_loop(shared_from_this()));
  runtime::start(inputs_.executor, "job sweep", sweep_loop(shared_from_this()));
}

void TermSession::stop() {
  ended_ = true;
  extend_gate();
  index_->stop();
  writer_->stop();
  loader_->stop();
  for (const TermDutyPointer& duty : duties_) {
    duty->stop();
  }
  for (const auto& [id, job] : jobs_) {
    job->is_closed = true;
  }
  dispatcher_->cancel(nullptr);
  meters_->open_jobs.Set(0);
}

asio::awaitable<void> TermSession::hand_over() {
  handing_over_ = true;
  extend_gate();
  loader_->stop();
  co_await writer_->flush(kLongestFlush);
}

/// Reads which jobs need no more work, then follows the index.
asio::awaitable<void> TermSession::begin(std::shared_ptr<TermSession> self) {
  bool known = false;
  while (!self->ended_ && !known) {
    ports::RecordRange range{std::string(kWholeTable), std::string(kTermPartition)};
    const core::Result<std::vector<ports::Record>> whole =
        co_await self->inputs_.jobs.read_range(std::move(range), false);
    known = whole.has_value();
    for (const ports::Record& record : whole ? *whole : std::vector<ports::Record>()) {
      self->closed_.insert(record.key);
    }
  }
  if (!self->ended_) {
    self->index_->start();
  }
}

std::vector<OpenJobPointer> TermSession::open_jobs() const {
  std::vector<OpenJobPointer> open;
  for (const auto& [id, job] : jobs_) {
    if (!job->is_closed) {
      open.push_back(job);
    }
  }
  return open;
}

void TermSession::on_index(const records::TableMirror::Records& records) {
  if (ended_) {
    return;
  }
  std::uint64_t malformed = 0;
  for (auto& [id, entry] : decode_index(index_records(), malformed)) {
    const auto open = jobs_.find(id);
    if (open != jobs_.end()) {
      if (entry.ended) {
        const OpenJobPointer job = open->second;
        close(job, "ended by its client");
      }
      continue;
    }
    if (entry.ended) {
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

asio::awaitable<void> TermSession::adopt(std::shared_ptr<TermSession> self, std::string id,
                                         JobIndexEntry entry, bool is_fresh) {
  while (!self->ended_ && !self->closed_.contains(id)) {
    if (!self->can_process_job(entry)) {
      self->meters_->adoptions_held_back.Increment();
      co_await runtime::sleep_for(kElsewhereRetry);
      continue;
    }
    core::Result<OpenJobPointer> adopted =
        co_await adopt_job(self->inputs_.jobs, self->inputs_.parser, id, entry, is_fresh);
    if (self->ended_ || self->closed_.contains(id)) {
      break;
    }
    if (adopted) {
      self->open(*adopted, is_fresh);
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

bool TermSession::can_process_job(const JobIndexEntry& entry) const {
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  const ingress::Route* route =
      table ? table->find(entry.host, http::path_of(entry.path)) : nullptr;
  return route == nullptr ||
         ingress::binding_of(*table, *route, entry.tenant).allows(settings_.region);
}

void TermSession::open(const OpenJobPointer& job, bool is_fresh) {
  core::log_decision(core::DecisionEvent::kJobAdopted,
                     {{"job", job->job.id},
                      {"epoch", term_.epoch.value()},
                      {"items", job->items.size()},
                      {"listed", job->listed},
                      {"fresh", is_fresh},
                      {"oldest_version", job->job.oldest_version.value()}});
  if (job->listed == job->items.size()) {
    closed_.insert(job->job.id);
    return;
  }
  restore_lengths(*job);
  jobs_[job->job.id] = job;
  wanted_weights_.note_job(job->job, open_jobs());
  meters_->open_jobs.Set(static_cast<double>(jobs_.size()));
  dispatch_soon();
}

void TermSession::close(const OpenJobPointer& job, std::string_view reason) {
  job->is_closed = true;
  closed_.insert(job->job.id);
  jobs_.erase(job->job.id);
  record_lengths(*job);
  dispatcher_->cancel(job);
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

void TermSession::record_lengths(const OpenJob& job) {
  for (std::size_t index = 0; index < job.items.size(); ++index) {
    const ItemProgress& item = job.items[index];
    const bool is_whole = item.state == ItemState::kScoring;
    lengths_.note(job.job.items[index].id, {item.text.events.size(), is_whole});
  }
}

void TermSession::restore_lengths(OpenJob& job) const {
  for (std::size_t index = 0; index < job.items.size(); ++index) {
    job.items[index].seen = lengths_.find(job.job.items[index].id);
  }
}

void TermSession::refresh_route(OpenJob& job) const {
  const std::shared_ptr<const ingress::RouteTable> table = inputs_.routes.current();
  if (table == job.table) {
    return;
  }
  const ingress::Route* route =
      table ? table->find(job.job.host, http::path_of(job.entry.path)) : nullptr;
  if (route != nullptr) {
    job.table = table;
    job.route = route;
    job.binding = ingress::binding_of(*table, *route, job.entry.tenant);
  }
}

void TermSession::dispatch_soon() {
  if (dispatch_pending_ || ended_) {
    return;
  }
  dispatch_pending_ = true;
  runtime::start(inputs_.executor, "dispatch", dispatch_after_pause(shared_from_this()));
}

/// Handles changes within a few milliseconds in one dispatch.
asio::awaitable<void> TermSession::dispatch_after_pause(std::shared_ptr<TermSession> self) {
  const core::Duration wait = self->dispatch_pacer_.wait(self->inputs_.time.now());
  if (wait > core::Duration(0)) {
    co_await runtime::sleep_for(wait);
  }
  self->dispatch_pending_ = false;
  self->dispatch();
}

/// An end that the store has acknowledged must stop its job's items, so nothing new may start
/// without a fresh view of the index. The age is measured from when the store answered and not from
/// when the answer was read: in a process that falls behind, answers wait before they are read.
bool TermSession::has_fresh_index() const {
  const std::optional<ports::StoreTime> now = inputs_.store.now();
  const std::optional<ports::StoreTime> seen = index_->seen_at();
  if (now && seen) {
    return *now - *seen < kOldestIndexView;
  }
  return inputs_.time.now() - index_->last_answer() < kOldestIndexView;
}

void TermSession::dispatch() {
  if (ended_ || handing_over_) {
    return;
  }
  if (!has_fresh_index()) {
    meters_->dispatches_held_back.Increment();
    return;
  }
  const core::MonotonicTime began = inputs_.time.now();
  std::vector<OpenJobPointer> jobs = open_jobs();
  for (const OpenJobPointer& job : jobs) {
    refresh_route(*job);
  }
  std::erase_if(jobs, [this](const OpenJobPointer& job) {
    return !job->binding.allows(settings_.region);  // its bodies must not be sent from this region
  });
  dispatcher_->dispatch(jobs);
  const core::MonotonicTime ended = inputs_.time.now();
  dispatch_pacer_.note(began, ended);
  meters_->dispatch_seconds.Observe(core::to_seconds(ended - began));
}

std::optional<RatingPriority> TermSession::rating_priority_of(const OpenJob& job) const {
  const std::optional<ports::StoreTime> now = inputs_.store.now();
  const bool is_timed = job.entry.accepted_at != ports::StoreTime(0);
  if (!now || !is_timed || job.route == nullptr || job.route->run_deadline <= core::Duration(0)) {
    return std::nullopt;
  }
  const core::Duration left = job.entry.accepted_at + job.route->run_deadline - *now;
  return RatingPriority{rank_of(job), inputs_.time.now() + left};
}

asio::awaitable<void> TermSession::score(std::shared_ptr<TermSession> self, OpenJobPointer job,
                                         std::size_t item) {
  const std::optional<ScoringCall> call = job->job.items[item].scoring;
  if (!call) {
    self->list(job, item, ResultState::kCompleted, "");
    co_return;
  }
  std::function<bool()> is_wanted = [session = self.get(), open = job.get(), item] {
    return !session->ended_ && !open->is_closed && open->items[item].state == ItemState::kScoring;
  };
  const Score score =
      co_await self->scorer_->score(*call, is_wanted, self->rating_priority_of(*job));
  if (!is_wanted()) {
    co_return;
  }
  if (score.end == ScoreEnd::kScored) {
    self->list(job, item, ResultState::kCompleted, score.signature);
  } else if (score.end == ScoreEnd::kFailed) {
    self->log_given_up(*job, item, "score_failed", "request " + call->request_id + " failed");
    self->list(job, item, ResultState::kTerminated, "");
  }
}

void TermSession::log_given_up(const OpenJob& job, std::size_t item, std::string_view end,
                               const std::string& reason) const {
  core::log_decision(core::DecisionEvent::kItemFailed,
                     {{"job", job.job.id},
                      {"item", job.job.items[item].id},
                      {"end", end},
                      {"events", job.items[item].text.events.size()},
                      {"reason", reason}});
}

void TermSession::list(const OpenJobPointer& job, std::size_t item, ResultState state,
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
  writer_->add({job, item, std::move(result)});
}

void TermSession::on_listed(const PendingResult& listed, std::uint64_t position) {
  const JobItem& item = listed.job->job.items[listed.item];
  const bool is_completed = listed.result.state == ResultState::kCompleted;
  ItemProgress& progress = listed.job->items[listed.item];
  ItemText& text = progress.text;
  const MadeAt made = progress.made_at.value_or(MadeAt());
  const core::Duration age =
      inputs_.store.now().value_or(listed.job->entry.accepted_at) - listed.job->entry.accepted_at;
  // A step ends with its last texts, so the log lines that explain its end must not be dropped.
  const bool is_among_last = position + kLastItemsKept >= listed.job->items.size();
  core::log_decision(
      core::DecisionEvent::kItemListed,
      {{"job", listed.job->job.id},
       {"item", item.id},
       {"group", item.group},
       {"returned", progress.seen.has_value()},
       {"position", position},
       {"state", is_completed ? "completed" : "terminated"},
       {"versions", listed.result.versions},
       {"events", text.events.size()},
       {"replica", made.replica.value()},
       {"run_ms", core::to_seconds(made.run) * kMillisecondsPerSecond},
       {"age_ms", core::to_seconds(age) * kMillisecondsPerSecond}},
      is_among_last ? core::DecisionWeight::kImportant : core::DecisionWeight::kRoutine);
  lengths_.note(item.id, {text.events.size(), is_completed});
  text.events.clear();
  text.versions.clear();
  if (listed.job->listed == listed.job->items.size() && !listed.job->is_closed) {
    const OpenJobPointer job = listed.job;
    close(job, "whole");
  }
}

void TermSession::expire_items() {
  const std::optional<ports::StoreTime> now = inputs_.store.now();
  for (const OpenJobPointer& job : open_jobs()) {
    const bool is_timed =
        now && job->route != nullptr && job->entry.accepted_at != ports::StoreTime(0);
    if (!is_timed || *now - job->entry.accepted_at <= job->route->queue_limit) {
      continue;
    }
    for (std::size_t index = 0; index < job->items.size(); ++index) {
      const ItemState state = job->items[index].state;
      if (state == ItemState::kQueued || state == ItemState::kScoring) {
        log_given_up(*job, index, "expired", "older than its route's queue limit");
        list(job, index, ResultState::kTerminated, "");
      }
    }
  }
}

bool TermSession::can_act_on_term() const {
  const core::MonotonicTime now = inputs_.time.now();
  const bool is_awake = now - last_tick_ < kLongestGap;
  const bool is_confirmed = now - keeper_.confirmed_at() < settings_.order_confirmation;
  return !ended_ && !handing_over_ && is_awake && is_confirmed;
}

void TermSession::extend_gate() {
  const bool has_ended = ended_ || handing_over_;
  const core::MonotonicTime sure_until =
      std::min(keeper_.confirmed_at() + settings_.order_confirmation, last_tick_ + kLongestGap);
  inputs_.directory.gate().cold_rate_limiter().set_term_confirmed_until(
      has_ended ? core::MonotonicTime() : sure_until);
}

bool TermSession::may_order() const {
  return order_history_loaded_ && can_act_on_term();
}

asio::awaitable<void> TermSession::load_order_history(std::shared_ptr<TermSession> self) {
  while (!self->ended_ && !self->order_history_loaded_) {
    ports::RecordRange range{std::string(kOrderTable), std::string(kTermPartition)};
    const core::Result<std::vector<ports::Record>> orders =
        co_await self->inputs_.jobs.read_range(std::move(range), false);
    if (!orders) {
      continue;  // the call has already waited for the store
    }
    const core::MonotonicTime now = self->inputs_.time.now();
    for (const ports::Record& record : *orders) {
      const core::Duration age = age_of(record.value, self->inputs_.store.now());
      self->loader_->pause_orders(record.key, now + self->settings_.order_pause - age);
    }
    self->order_history_loaded_ = true;
  }
}

asio::awaitable<std::optional<core::MonotonicTime>> TermSession::announce_order(
    std::shared_ptr<TermSession> self, core::ReplicaId replica) {
  if (!self || self->ended_) {
    co_return std::nullopt;
  }
  std::shared_ptr<OrderAnnouncer> announcer = self->announcer_;
  co_return co_await OrderAnnouncer::announce(std::move(announcer), std::move(replica));
}

std::vector<ports::Record> TermSession::index_records() const {
  std::vector<ports::Record> all;
  for (const auto& [key, record] : index_->records()) {
    all.push_back(record);
  }
  return all;
}

asio::awaitable<void> TermSession::sweep_loop(std::shared_ptr<TermSession> self) {
  while (!self->ended_) {
    co_await runtime::sleep_for(self->settings_.sweep_interval);
    const std::optional<ports::StoreTime> now = self->inputs_.store.now();
    if (self->ended_ || !now) {
      continue;
    }
    const auto is_finished = [&session = *self](const std::string& job) {
      return session.closed_.contains(job);
    };
    for (const ExpiredJob& job :
         expired_jobs(self->index_records(), *now, self->settings_.retention, is_finished)) {
      if (!self->ended_) {
        co_await self->sweeper_->sweep(job);
      }
    }
  }
}

asio::awaitable<void> TermSession::tick_loop(std::shared_ptr<TermSession> self) {
  while (!self->ended_) {
    const core::MonotonicTime now = self->inputs_.time.now();
    const bool was_paused = now - self->last_tick_ > kLongestGap;
    self->last_tick_ = now;
    self->extend_gate();
    if (was_paused) {
      self->dispatcher_->reset_silence();
    } else if (self->has_fresh_index()) {
      self->dispatcher_->move_stragglers();
    }
    self->expire_items();
    self->dispatch_soon();
    co_await runtime::sleep_for(self->settings_.tick);
  }
}

}  // namespace stoneport::jobs
