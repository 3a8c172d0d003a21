/// \file
/// Decorator of the table service client that adds a token budget with priorities, deadlines, a
/// circuit breaker, retries, and the resolution of commits whose answer was lost. Use it on the
/// control thread only. See docs/design/table-service.md.
#pragma once

#include <memory>

#include "core/backoff.hpp"
#include "core/circuit_breaker.hpp"
#include "core/metrics.hpp"
#include "core/token_bucket.hpp"
#include "ports/table_service.hpp"

namespace stoneport::ports {

/// Timeout of one attempt, to be set on the endpoint of the wrapped client. A call ends at the
/// latest at its deadline plus this timeout.
inline constexpr core::Duration kTableAttemptTimeout = std::chrono::seconds(1);

struct GuardSettings {
  core::TokenBucketSettings budget;
  /// Share of the burst that is reserved for kOwnership.
  double ownership_reserve_ratio = 0.3;
  /// Additional share that kBackground must not use.
  double interactive_reserve_ratio = 0.3;
  core::CircuitBreakerSettings breaker;
  core::BackoffSettings backoff;
  /// Time after the call at which no further attempt is started, by priority.
  core::Duration ownership_deadline = std::chrono::seconds(3);
  core::Duration interactive_deadline = std::chrono::seconds(3);
  core::Duration background_deadline = std::chrono::seconds(10);
};

class GuardedTableService : public TableService {
 public:
  /// \param bare wrapped client; like \p time, it must outlive the guard
  /// \param seed seed of the backoff jitter; must differ between processes
  GuardedTableService(TableService& bare, const core::TimeSource& time, GuardSettings settings,
                      std::uint64_t seed, core::Metrics& metrics);
  ~GuardedTableService() override;

  boost::asio::awaitable<core::Result<std::optional<Row>>> read(RowKey key,
                                                                TablePriority priority) override;
  boost::asio::awaitable<core::Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                                              core::Revision after,
                                                              TablePriority priority) override;
  /// Repeats \p transaction with the same write id until its outcome is known.
  /// \return the new revision; kOutcomeUnknown if an answer was lost and no later attempt revealed
  /// the outcome; kInvalidArgument if the write id is empty.
  boost::asio::awaitable<core::Result<core::Revision>> commit(Transaction transaction,
                                                              TablePriority priority) override;

  core::BreakerState breaker_state() const { return breaker_.state(); }

 private:
  struct Counters;
  class Attempts;

  /// Waits for the breaker and a token.
  boost::asio::awaitable<core::Result<void>> admit(Attempts& attempts);
  core::Result<void> admit_now(Attempts& attempts);
  /// Waits before the next attempt.
  /// \return false if that attempt would start after the deadline.
  boost::asio::awaitable<bool> wait_for_next(Attempts& attempts, core::Error failure);
  template <class Value, class Call>
  boost::asio::awaitable<core::Result<Value>> read_with_retries(Call call, TablePriority priority);
  boost::asio::awaitable<core::Result<core::Revision>> attempt_commit(Transaction transaction,
                                                                      Attempts& attempts);
  /// \return the error of a commit whose last attempt failed with \p failure.
  core::Error end_of_commit(const core::Error& failure, bool may_have_committed);
  /// Reports the result of a call to the breaker; nullopt means success.
  void record(std::optional<core::ErrorCode> failure);
  core::Duration deadline_of(TablePriority priority) const;
  double reserve_of(TablePriority priority) const;

  TableService& bare_;
  const core::TimeSource& time_;
  GuardSettings settings_;
  core::RandomSource random_;
  core::TokenBucket budget_;
  core::CircuitBreaker breaker_;
  std::unique_ptr<Counters> counters_;
};

}  // namespace stoneport::ports
