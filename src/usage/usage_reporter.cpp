#include "usage/usage_reporter.hpp"

#include <algorithm>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::usage {
namespace asio = boost::asio;
namespace {

/// All windows share one fence subject, because the platform must see a single order of holders.
const std::string kSubject = "usage";
/// Maximum number of missed windows to report; the counts of earlier ones are no longer kept.
constexpr WindowIndex kMaxMissedWindows = 4;
/// Interval between removals of records older than the retention.
constexpr core::Duration kRemovalInterval = std::chrono::seconds(20);
/// Maximum number of records that one transaction removes.
constexpr std::size_t kMaxRemovals = 50;

double milliseconds_of(core::Duration length) {
  constexpr double kMillisecondsPerSecond = 1000;
  return core::to_seconds(length) * kMillisecondsPerSecond;
}

std::uint64_t total_of(const ports::TenantCounts& counts) {
  std::uint64_t total = 0;
  for (const auto& [tenant, count] : counts) {
    total += count;
  }
  return total;
}

}  // namespace

struct UsageReporter::Meters {
  explicit Meters(core::Metrics& metrics)
      : taken(
            metrics.counter("stoneport_usage_windows_reported_total",
                            "Windows whose usage report from this process the platform accepted")),
        late(
            metrics.counter("stoneport_usage_windows_late_total",
                            "Windows whose usage report the platform accepted after its due time")),
        given_up(metrics.counter("stoneport_usage_windows_given_up_total",
                                 "Windows whose usage was not reported because it was too late")),
        incomplete(
            metrics.counter("stoneport_usage_windows_incomplete_total",
                            "Windows frozen before all processes had written their final counts")),
        refused(metrics.counter("stoneport_usage_calls_failed_total",
                                "Usage report calls that failed or were refused")),
        lag_seconds(metrics.gauge("stoneport_usage_lag_seconds",
                                  "Time from the end of the last reported window to its report")) {}
  prometheus::Counter& taken;
  prometheus::Counter& late;
  prometheus::Counter& given_up;
  prometheus::Counter& incomplete;
  prometheus::Counter& refused;
  prometheus::Gauge& lag_seconds;
};

UsageReporter::UsageReporter(Inputs inputs, jobs::TermContext context,
                             UsageReporterSettings settings)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      fence_(inputs_.store, inputs_.reader, std::move(context), inputs_.time, settings_.fence),
      meters_(std::make_unique<Meters>(inputs_.metrics)) {}

UsageReporter::~UsageReporter() = default;

void UsageReporter::start() {
  runtime::start(inputs_.executor, "usage reports", run(shared_from_this()));
}

asio::awaitable<void> UsageReporter::run(std::shared_ptr<UsageReporter> self) {
  bool is_loaded = false;
  while (!self->stopped_) {
    if (self->inputs_.is_wanted()) {
      if (!is_loaded) {
        is_loaded = co_await self->load_state();
      }
      bool may_freeze_more = is_loaded && !self->stopped_;
      while (may_freeze_more) {
        may_freeze_more = co_await self->freeze_next();
      }
      co_await self->send_frozen();
      co_await self->remove_old();
    }
    co_await runtime::sleep_for(self->settings_.tick);
  }
}

asio::awaitable<bool> UsageReporter::load_state() {
  const bool is_fence_loaded = co_await fence_.learn();
  ports::RecordRange range{std::string(kWindowTable), std::string(jobs::kTermPartition)};
  const core::Result<std::vector<ports::Record>> windows =
      co_await inputs_.reader.read_range(std::move(range), false);
  if (!is_fence_loaded || !windows) {
    co_return false;
  }
  for (const ports::Record& record : *windows) {
    const std::optional<WindowIndex> window = parse_window_key(record.key);
    const std::optional<FrozenWindow> frozen = decode_frozen_window(record.value);
    if (window && frozen) {
      frozen_[*window] = *frozen;
    }
  }
  co_return co_await read_counts();
}

asio::awaitable<bool> UsageReporter::read_counts() {
  ports::RecordRange range{std::string(kCountTable), std::string(kCountPartition)};
  core::Result<std::vector<ports::Record>> records =
      co_await inputs_.reader.read_range(std::move(range), false);
  if (!records) {
    co_return false;
  }
  processes_.clear();
  for (const ports::Record& record : *records) {
    std::optional<ProcessCounts> counts = decode_process_counts(record.value);
    if (counts) {
      processes_[record.key] = std::move(*counts);
    }
  }
  process_records_ = std::move(*records);
  co_return true;
}

WindowIndex UsageReporter::first_window() {
  const WindowIndex current = inputs_.clock.current();
  const WindowIndex oldest = current - kMaxMissedWindows;
  if (!frozen_.empty()) {
    return std::max(oldest, frozen_.rbegin()->first + 1);
  }
  WindowIndex first = current;
  for (const auto& [name, counts] : processes_) {
    if (!counts.windows.empty()) {
      first = std::min(first, counts.windows.begin()->first);
    }
  }
  return std::max(oldest, first);
}

asio::awaitable<bool> UsageReporter::freeze_next() {
  if (!next_) {
    next_ = first_window();
  }
  const core::Duration age = inputs_.clock.since_end_of(*next_);
  if (stopped_ || age < settings_.freeze.earliest || !fence_.is_open(kSubject)) {
    co_return false;
  }
  const bool is_read = co_await read_counts();
  if (!is_read || stopped_) {
    co_return false;
  }
  const FreezeDecision decision =
      decide_freeze(*next_, age, processes_, inputs_.processes(), settings_.freeze);
  if (!decision.is_due) {
    co_return false;
  }
  co_return co_await freeze(*next_, decision);
}

asio::awaitable<bool> UsageReporter::freeze(WindowIndex window, const FreezeDecision& decision) {
  FrozenWindow frozen;
  frozen.counts = sum_of(window, processes_);
  ports::RecordTransaction transaction = fence_.transaction();
  transaction.conditions.push_back(
      {std::string(kWindowTable), window_key(window), core::Revision()});
  transaction.writes.push_back(
      {std::string(kWindowTable), window_key(window), encode_frozen_window(frozen)});
  transaction.writes.push_back(fence_.announcement(kSubject));
  const core::MonotonicTime sent_at = inputs_.time.now();
  const core::Result<core::Revision> committed =
      co_await inputs_.store.commit(std::move(transaction), settings_.write_timeout);
  if (!committed) {
    // An unconfirmed write may have frozen the window already; then those counts are final.
    frozen_.clear();
    next_.reset();
    co_await load_state();
    co_return false;
  }
  fence_.on_announced(kSubject, sent_at);
  if (!decision.incomplete.empty()) {
    meters_->incomplete.Increment();
  }
  core::log_decision(core::DecisionEvent::kUsageFrozen,
                     {{"window", window},
                      {"requests", total_of(frozen.counts)},
                      {"tenants", frozen.counts.size()},
                      {"epoch", fence_.context().term.epoch.value()},
                      {"incomplete", decision.incomplete},
                      {"age_ms", milliseconds_of(inputs_.clock.since_end_of(window))}});
  frozen_[window] = std::move(frozen);
  next_ = window + 1;
  co_return true;
}

asio::awaitable<bool> UsageReporter::announce() {
  ports::RecordTransaction transaction = fence_.transaction();
  transaction.writes.push_back(fence_.announcement(kSubject));
  const core::MonotonicTime sent_at = inputs_.time.now();
  const core::Result<core::Revision> committed =
      co_await inputs_.store.commit(std::move(transaction), settings_.write_timeout);
  if (committed) {
    fence_.on_announced(kSubject, sent_at);
  }
  co_return committed.has_value();
}

asio::awaitable<void> UsageReporter::send_frozen() {
  std::vector<WindowIndex> waiting;
  for (const auto& [window, frozen] : frozen_) {
    if (frozen.state == ReportState::kFrozen) {
      waiting.push_back(window);
    }
  }
  for (const WindowIndex window : waiting) {
    if (stopped_ || !fence_.is_open(kSubject)) {
      co_return;
    }
    if (inputs_.clock.since_end_of(window) > settings_.give_up_after) {
      meters_->given_up.Increment();
      core::log_decision(core::DecisionEvent::kUsageGivenUp, {{"window", window}});
      co_await record_end_state(window, ReportState::kGivenUp);
      continue;
    }
    if (!fence_.may_call(kSubject)) {
      const bool is_announced = co_await announce();
      if (!is_announced) {
        co_return;
      }
    }
    co_await send(window);
  }
}

asio::awaitable<void> UsageReporter::send(WindowIndex window) {
  if (stopped_ || !fence_.may_call(kSubject)) {
    co_return;
  }
  ports::DutyHolder holder{settings_.holder, fence_.context().term.epoch};
  ports::UsageReport report{window, frozen_.at(window).counts};
  const core::Result<void> taken = co_await inputs_.platform.report_usage(
      std::move(holder), std::move(report), settings_.call_timeout);
  const core::Duration age = inputs_.clock.since_end_of(window);
  core::log_decision(core::DecisionEvent::kUsageSent,
                     {{"window", window},
                      {"taken", taken.has_value()},
                      {"age_ms", milliseconds_of(age)},
                      {"reason", taken ? std::string() : taken.error().message}});
  if (!taken) {
    meters_->refused.Increment();
    co_return;
  }
  meters_->taken.Increment();
  meters_->lag_seconds.Set(core::to_seconds(age));
  if (age > settings_.due_after) {
    meters_->late.Increment();
  }
  co_await record_end_state(window, ReportState::kTaken);
}

asio::awaitable<void> UsageReporter::record_end_state(WindowIndex window, ReportState state) {
  FrozenWindow& frozen = frozen_.at(window);
  frozen.state = state;
  ports::RecordTransaction transaction = fence_.transaction();
  transaction.writes.push_back(
      {std::string(kWindowTable), window_key(window), encode_frozen_window(frozen)});
  // If this write is lost, a later holder sends the same counts again, which has no effect.
  co_await inputs_.store.commit(std::move(transaction), settings_.write_timeout);
}

asio::awaitable<void> UsageReporter::remove_old() {
  const core::MonotonicTime now = inputs_.time.now();
  if (stopped_ || now < next_removal_ || !fence_.context().is_sure()) {
    co_return;
  }
  next_removal_ = now + kRemovalInterval;
  const auto kept = static_cast<WindowIndex>(settings_.retention / inputs_.clock.window_length());
  const WindowIndex oldest = inputs_.clock.current() - kept;
  ports::RecordTransaction windows = fence_.transaction();
  while (!frozen_.empty() && frozen_.begin()->first < oldest &&
         windows.writes.size() < kMaxRemovals) {
    windows.writes.push_back(
        {std::string(kWindowTable), window_key(frozen_.begin()->first), std::nullopt});
    frozen_.erase(frozen_.begin());
  }
  if (!windows.writes.empty()) {
    co_await inputs_.store.commit(std::move(windows), settings_.write_timeout);
  }
  ports::RecordTransaction counts;
  counts.partition = std::string(kCountPartition);
  for (const ports::Record& record : process_records_) {
    const auto known = processes_.find(record.key);
    const bool is_old = known == processes_.end() || known->second.complete_through < oldest;
    if (is_old && counts.writes.size() < kMaxRemovals) {
      counts.conditions.push_back({std::string(kCountTable), record.key, record.revision});
      counts.writes.push_back({std::string(kCountTable), record.key, std::nullopt});
    }
  }
  if (!counts.writes.empty()) {
    co_await inputs_.store.commit(std::move(counts), settings_.write_timeout);
  }
}

}  // namespace stoneport::usage
