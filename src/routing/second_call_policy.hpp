/// \file
/// Decides when a request whose call takes unusually long gets another call at a different replica.
/// Used by all senders that may repeat a call; each limits it with a routing::RetryBudget.
/// docs/design/second-calls.md
#pragma once

#include <cstddef>

#include "core/time.hpp"

namespace stoneport::routing {

/// The outstanding calls of one request.
struct OutstandingCalls {
  core::Duration newest_taken{};  ///< time since the newest call was sent
  core::Duration usual{};         ///< time after which a call is unusually long
  bool newest_is_silent = false;  ///< its replica has answered no request since the call was sent
  std::size_t out = 0;
  std::size_t max_calls = 0;  ///< maximum number of outstanding calls
};

/// State of the replicas at which the request has no call.
struct OtherReplicas {
  bool is_sound = false;   ///< at least one accepts work and is not suspect
  bool has_place = false;  ///< at least one has a free slot for such a call
  /// At least one has answered a call since the newest call of the request was sent.
  bool has_answered = false;
};

enum class NextCall {
  kWait,
  kSendSecond,  ///< send another call in addition to the outstanding ones
  kReplace,     ///< cancel the newest call and send another one instead
};

/// \return whether the newest call takes unusually long; only then is next_call() worth evaluating.
bool is_overdue(const OutstandingCalls& calls);

/// \return the action for the request, subject to the budget.
NextCall next_call(const OutstandingCalls& calls, const OtherReplicas& elsewhere);

struct SilenceSettings {
  /// Number of usual times without an answer after which a replica counts as silent: a call that is
  /// unusually long by chance, as one in twenty is, seldom takes twice as long.
  double silent_after_usual_times = 2;
  /// Number of consecutive unanswered calls after which a shorter time suffices.
  std::size_t silent_after_calls = 2;
};

/// A call that was unanswered when another call of the same request was answered, at a replica that
/// has answered no request since the call was sent.
struct SilentCall {
  core::Duration taken{};
  core::Duration usual{};
  core::Duration target{};  ///< target latency of the route; zero if it has none
  /// Such calls at the replica since its last answer, including this one.
  std::size_t in_a_row = 1;
};

/// \return whether the call shows that the replica is silent and should be avoided.
bool indicates_silence(const SilentCall& call, const SilenceSettings& settings);

}  // namespace stoneport::routing
