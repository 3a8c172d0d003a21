#include "ports/guarded_table_service.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::ports {
namespace {
using core::ErrorCode;

/// Shortest wait while the probe of another call is in progress.
constexpr core::Duration kProbePoll = std::chrono::milliseconds(20);

/// \return whether the failed attempt certainly had no effect and may be repeated.
bool was_refused(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kRateLimited;
}

/// \return whether the attempt may have taken effect.
bool is_ambiguous(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOutcomeUnknown:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kTruncated:
    case ErrorCode::kProtocol:
    case ErrorCode::kTooLarge:
    case ErrorCode::kInternal:
      return true;
    default:
      return false;
  }
}

bool is_retryable_read(ErrorCode code) {
  return was_refused(code) || code == ErrorCode::kDeadlineExceeded || code == ErrorCode::kTruncated;
}

/// \return whether the failure indicates an unhealthy service.
bool counts_against_breaker(ErrorCode code) {
  return code == ErrorCode::kUnavailable || is_ambiguous(code);
}

const char* to_text(TablePriority priority) {
  switch (priority) {
    case TablePriority::kOwnership:
      return "ownership";
    case TablePriority::kInteractive:
      return "interactive";
    case TablePriority::kBackground:
      break;
  }
  return "background";
}

core::Error unknown_outcome(const std::string& last) {
  return core::make_error(ErrorCode::kOutcomeUnknown,
                          "the answer to a commit was lost; last error: " + last);
}

/// Releases the breaker's probe if the call is destroyed before its result is reported.
class BreakerPermit {
 public:
  explicit BreakerPermit(core::CircuitBreaker& breaker) : breaker_(breaker) {}
  ~BreakerPermit() {
    if (!settled_) {
      breaker_.abandon();
    }
  }
  BreakerPermit(const BreakerPermit&) = delete;
  BreakerPermit& operator=(const BreakerPermit&) = delete;
  void settle() { settled_ = true; }

 private:
  core::CircuitBreaker& breaker_;
  bool settled_ = false;
};

}  // namespace

struct GuardedTableService::Counters {
  explicit Counters(core::Metrics& metrics) : metrics_(metrics) {}

  prometheus::Counter& outcome(const char* call, std::string_view end) {
    return metrics_.counter("stoneport_table_calls_total", "Calls to the table service by result",
                            {{"call", call}, {"end", std::string(end)}});
  }
  prometheus::Counter& refusal(const char* reason, TablePriority priority) {
    return metrics_.counter("stoneport_table_refusals_total",
                            "Calls refused before they were sent to the table service",
                            {{"reason", reason}, {"priority", to_text(priority)}});
  }

  core::Metrics& metrics_;
  prometheus::Counter& read_ok = outcome("read", "ok");
  prometheus::Counter& read_failed = outcome("read", "failed");
  prometheus::Counter& commit_ok = outcome("commit", "ok");
  prometheus::Counter& commit_conflict = outcome("commit", "conflict");
  prometheus::Counter& commit_refused = outcome("commit", "refused");
  prometheus::Counter& commit_unknown = outcome("commit", "unknown");
  prometheus::Counter& settled_committed = outcome("commit", "settled_committed");
  prometheus::Counter& settled_conflict = outcome("commit", "settled_conflict");
  prometheus::Counter& retries =
      metrics_.counter("stoneport_table_retries_total", "Retries of calls to the table service");
  prometheus::Counter& breaker_opened =
      metrics_.counter("stoneport_table_breaker_opened_total", "Times the circuit breaker opened");
};

/// Deadline and number of attempts of one call.
class GuardedTableService::Attempts {
 public:
  Attempts(TablePriority priority, core::MonotonicTime deadline)
      : priority_(priority), deadline_(deadline) {}

  TablePriority priority() const { return priority_; }
  core::MonotonicTime deadline() const { return deadline_; }
  bool is_first() const { return failed_ == 0; }
  std::uint32_t count_failed() { return failed_++; }
  void give_up() { exhausted_ = true; }
  bool exhausted() const { return exhausted_; }

 private:
  TablePriority priority_;
  core::MonotonicTime deadline_;
  std::uint32_t failed_ = 0;
  bool exhausted_ = false;
};

GuardedTableService::GuardedTableService(TableService& bare, const core::TimeSource& time,
                                         GuardSettings settings, std::uint64_t seed,
                                         core::Metrics& metrics)
    : bare_(bare),
      time_(time),
      settings_(settings),
      random_(seed),
      budget_(settings.budget, time.now()),
      breaker_(settings.breaker, seed + 1),
      counters_(std::make_unique<Counters>(metrics)) {}

GuardedTableService::~GuardedTableService() = default;

core::Duration GuardedTableService::deadline_of(TablePriority priority) const {
  switch (priority) {
    case TablePriority::kOwnership:
      return settings_.ownership_deadline;
    case TablePriority::kInteractive:
      return settings_.interactive_deadline;
    case TablePriority::kBackground:
      break;
  }
  return settings_.background_deadline;
}

double GuardedTableService::reserve_of(TablePriority priority) const {
  double ratio = 0;
  if (priority != TablePriority::kOwnership) {
    ratio += settings_.ownership_reserve_ratio;
  }
  if (priority == TablePriority::kBackground) {
    ratio += settings_.interactive_reserve_ratio;
  }
  return ratio * settings_.budget.burst;
}

void GuardedTableService::record(std::optional<ErrorCode> failure) {
  if (!failure || !counts_against_breaker(*failure)) {
    breaker_.record_success();
    return;
  }
  const bool was_open = breaker_.state() == core::BreakerState::kOpen;
  breaker_.record_failure(time_.now());
  if (!was_open && breaker_.state() == core::BreakerState::kOpen) {
    counters_->breaker_opened.Increment();
  }
}

core::Result<void> GuardedTableService::admit_now(Attempts& attempts) {
  const core::MonotonicTime now = time_.now();
  const double reserve = reserve_of(attempts.priority());
  const core::Duration token_wait = budget_.wait_for(now, reserve);
  if (token_wait > core::Duration::zero()) {
    return core::make_error(ErrorCode::kRateLimited, "the call budget is exhausted", token_wait);
  }
  if (!breaker_.allow(now)) {
    const core::Duration wait = std::max(breaker_.wait_for(now), kProbePoll);
    return core::make_error(ErrorCode::kUnavailable, "the circuit breaker is open", wait);
  }
  budget_.try_take(now, reserve);
  return {};
}

boost::asio::awaitable<core::Result<void>> GuardedTableService::admit(Attempts& attempts) {
  for (;;) {
    const core::Result<void> admitted = admit_now(attempts);
    if (admitted) {
      co_return admitted;
    }
    const core::Error refusal = admitted.error();
    const bool breaker_open = refusal.code == ErrorCode::kUnavailable;
    const bool too_late = time_.now() + *refusal.retry_after > attempts.deadline();
    if (too_late || (breaker_open && attempts.is_first())) {
      const char* reason = breaker_open ? "breaker" : "budget";
      counters_->refusal(reason, attempts.priority()).Increment();
      attempts.give_up();
      co_return refusal;
    }
    co_await runtime::sleep_for(*refusal.retry_after);
  }
}

boost::asio::awaitable<bool> GuardedTableService::wait_for_next(Attempts& attempts,
                                                                core::Error failure) {
  const std::uint32_t number = attempts.count_failed();
  const core::Duration backoff = core::backoff_delay(settings_.backoff, number, random_);
  const core::Duration wait = std::max(backoff, failure.retry_after.value_or(backoff));
  if (attempts.exhausted() || time_.now() + wait > attempts.deadline()) {
    co_return false;
  }
  co_await runtime::sleep_for(wait);
  counters_->retries.Increment();
  co_return true;
}

template <class Value, class Call>
boost::asio::awaitable<core::Result<Value>> GuardedTableService::read_with_retries(
    Call call, TablePriority priority) {
  Attempts attempts(priority, time_.now() + deadline_of(priority));
  for (;;) {
    const core::Result<void> admitted = co_await admit(attempts);
    if (!admitted) {
      counters_->read_failed.Increment();
      co_return admitted.error();
    }
    BreakerPermit permit(breaker_);
    core::Result<Value> answer = co_await call();
    permit.settle();
    record(answer ? std::nullopt : std::optional(answer.error().code));
    if (answer) {
      counters_->read_ok.Increment();
      co_return answer;
    }
    const core::Error failure = answer.error();
    bool again = is_retryable_read(failure.code);
    if (again) {
      again = co_await wait_for_next(attempts, failure);
    }
    if (!again) {
      counters_->read_failed.Increment();
      co_return failure;
    }
  }
}

boost::asio::awaitable<core::Result<std::optional<Row>>> GuardedTableService::read(
    RowKey key, TablePriority priority) {
  auto call = [this, key, priority] { return bare_.read(key, priority); };
  co_return co_await read_with_retries<std::optional<Row>>(std::move(call), priority);
}

boost::asio::awaitable<core::Result<std::vector<Row>>> GuardedTableService::scan(
    std::string table, std::string prefix, core::Revision after, TablePriority priority) {
  auto call = [this, table, prefix, after, priority] {
    return bare_.scan(table, prefix, after, priority);
  };
  co_return co_await read_with_retries<std::vector<Row>>(std::move(call), priority);
}

boost::asio::awaitable<core::Result<core::Revision>> GuardedTableService::commit(
    Transaction transaction, TablePriority priority) {
  if (transaction.write_id.empty()) {
    co_return core::make_error(ErrorCode::kInvalidArgument, "transaction has no write id");
  }
  Attempts attempts(priority, time_.now() + deadline_of(priority));
  bool may_have_committed = false;
  for (;;) {
    const core::Result<core::Revision> answer = co_await attempt_commit(transaction, attempts);
    if (answer) {
      (may_have_committed ? counters_->settled_committed : counters_->commit_ok).Increment();
      co_return answer;
    }
    const core::Error failure = answer.error();
    const bool ambiguous = is_ambiguous(failure.code);
    may_have_committed = may_have_committed || ambiguous;
    bool again = ambiguous || was_refused(failure.code);
    if (again) {
      again = co_await wait_for_next(attempts, failure);
    }
    if (!again) {
      co_return end_of_commit(failure, may_have_committed);
    }
  }
}

boost::asio::awaitable<core::Result<core::Revision>> GuardedTableService::attempt_commit(
    Transaction transaction, Attempts& attempts) {
  const core::Result<void> admitted = co_await admit(attempts);
  if (!admitted) {
    co_return admitted.error();
  }
  BreakerPermit permit(breaker_);
  const core::Result<core::Revision> answer =
      co_await bare_.commit(std::move(transaction), attempts.priority());
  permit.settle();
  record(answer ? std::nullopt : std::optional(answer.error().code));
  co_return answer;
}

core::Error GuardedTableService::end_of_commit(const core::Error& failure,
                                               bool may_have_committed) {
  if (failure.code == ErrorCode::kConflict) {
    (may_have_committed ? counters_->settled_conflict : counters_->commit_conflict).Increment();
    return failure;
  }
  if (may_have_committed) {
    counters_->commit_unknown.Increment();
    return unknown_outcome(failure.message);
  }
  counters_->commit_refused.Increment();
  return failure;
}

}  // namespace stoneport::ports
