/// \file
/// Stands around the bare client of the table service: token budget with
/// priorities, deadlines, circuit breaker, retries, and the settling of commits
/// whose answer was lost. Control thread only. docs/design/table-service.md
#pragma once

#include <memory>

#include "core/backoff.hpp"
#include "core/circuit_breaker.hpp"
#include "core/metrics.hpp"
#include "core/token_bucket.hpp"
#include "ports/table_service.hpp"

namespace stoneport::ports {

/// Longest time of one attempt, to be set on the bare client's endpoint: a call
/// ends at its deadline plus this, at the latest.
inline constexpr core::Duration kTableAttemptTimeout = std::chrono::seconds(1);

struct GuardSettings {
  core::TokenBucketSettings budget;
  /// Part of the burst that is kept for kOwnership.
  double ownership_reserve_ratio = 0.3;
  /// Further part that is kept from kBackground.
  double interactive_reserve_ratio = 0.3;
  core::CircuitBreakerSettings breaker;
  core::BackoffSettings backoff;
  /// No attempt starts later than this after the call, by priority.
  core::Duration ownership_deadline = std::chrono::seconds(3);
  core::Duration interactive_deadline = std::chrono::seconds(3);
  core::Duration background_deadline = std::chrono::seconds(10);
};

class GuardedTableService : public TableService {
 public:
  /// \p bare and \p time outlive the guard.
  /// \param seed of the jitter; differs from process to process
  GuardedTableService(TableService& bare, const core::TimeSource& time, GuardSettings settings,
                      std::uint64_t seed, core::Metrics& metrics);
  ~GuardedTableService() override;

  boost::asio::awaitable<core::Result<std::optional<Row>>> read(RowKey key,
                                                                TablePriority priority) override;
  boost::asio::awaitable<core::Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                                              core::Revision after,
                                                              TablePriority priority) override;
  /// Sends \p transaction again under its write id until its end is known.
  /// \return kOutcomeUnknown when an answer was lost and no later attempt told;
  /// kInvalidArgument for an empty write id.
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
  /// \return false when it would start after the deadline.
  boost::asio::awaitable<bool> wait_for_next(Attempts& attempts, core::Error failure);
  template <class Value, class Call>
  boost::asio::awaitable<core::Result<Value>> read_with_retries(Call call, TablePriority priority);
  boost::asio::awaitable<core::Result<core::Revision>> attempt_commit(Transaction transaction,
                                                                      Attempts& attempts);
  /// \return what the caller of a commit is told after its last attempt failed.
  core::Error end_of_commit(const core::Error& failure, bool may_have_committed);
  /// Tells the breaker how a call ended; nothing means success.
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
