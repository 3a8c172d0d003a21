/// \file
/// When a request whose call takes unusually long gets another one, at another replica. Shared by
/// all senders that may repeat a call; each bounds it by a routing::RetryBudget. Plain code.
/// docs/design/second-calls.md
#pragma once

#include <cstddef>

#include "core/time.hpp"

namespace stoneport::routing {

/// The calls that one request has out now.
struct CallsOut {
  core::Duration newest_taken{};  ///< since the newest one was sent
  core::Duration usual{};         ///< a call is unusually long after that
  bool newest_is_silent = false;  ///< its replica has answered nobody since it was sent
  std::size_t out = 0;
  std::size_t most = 0;  ///< that it may have out at once
};

/// What the replicas that a request has no call at could do for it.
struct Elsewhere {
  bool is_sound = false;      ///< one takes work and is not suspect
  bool has_place = false;     ///< one has a free place that such a call may take
  bool has_answered = false;  ///< one has answered a call since the request's newest was sent
};

enum class NextCall {
  kWait,
  kBeside,   ///< another one beside those that are out
  kReplace,  ///< the newest one is ended, and makes room for another one
};

/// \return whether the newest call takes unusually long; nothing else is worth a look before.
bool is_overdue(const CallsOut& calls);

/// \return what the request is to do now, as far as the budget allows it.
NextCall next_call(const CallsOut& calls, const Elsewhere& elsewhere);

struct SilenceSettings {
  /// Silence for this many usual times tells that a replica is silent: a call that is unusually
  /// long by chance, as one in twenty is, seldom takes twice as long.
  double telling_in_usual_times = 2;
  /// Calls in a row, none of them answered, after which shorter silence tells it too.
  std::size_t telling_calls = 2;
};

/// A call that had got no answer when another one of the same request was answered, at a replica
/// that has answered nobody since it was sent.
struct SilentCall {
  core::Duration taken{};
  core::Duration usual{};
  core::Duration target{};   ///< of the route; zero when it states none
  std::size_t in_a_row = 1;  ///< such calls at the replica since its last answer, this one included
};

/// \return whether the replica is to be avoided for it.
bool is_telling(const SilentCall& call, const SilenceSettings& settings);

}  // namespace stoneport::routing
