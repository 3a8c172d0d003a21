/// \file
/// The concurrent calls of one request. Owned by the request's coroutine, which waits for the first
/// call to finish; the coroutine and each call share only that call's attempt. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "ingress/crash_guard.hpp"
#include "ingress/replica_directory.hpp"
#include "ports/replica_client.hpp"

namespace stoneport::ingress {

/// One call to a replica.
struct CallAttempt {
  CallAttempt(ReplicaPointer to, core::MonotonicTime at)
      : replica(std::move(to)), in_flight(replica), sent_at(at) {}

  ReplicaPointer replica;
  InFlight in_flight;
  core::MonotonicTime sent_at;
  bool is_second = false;  ///< sent while another call was outstanding
  bool was_cold = false;   ///< whether the replica was cold when the call was sent
  std::optional<CrashGuard::Run> suspect_run = std::nullopt;

  /// Whether the replica has answered and the answer waits for memory of this process.
  bool has_begun_answer = false;
  bool has_ended = false;
  bool is_cancelled = false;
  boost::asio::cancellation_signal cancellation = {};
  /// Set once the call has finished, unless it was cancelled.
  std::optional<ports::CallResult<ports::ReplicaAnswer>> result = std::nullopt;
  /// Whether the replica crashed, as found after its connection broke.
  bool replica_has_crashed = false;

  /// \return whether the connection broke while the replica may have been running the call.
  bool is_broken() const;
};
using CallAttemptPointer = std::shared_ptr<CallAttempt>;

class CallRace {
 public:
  explicit CallRace(const boost::asio::any_io_executor& executor);
  /// Cancels all outstanding calls.
  ~CallRace() { cancel_all(); }
  CallRace(const CallRace&) = delete;
  CallRace& operator=(const CallRace&) = delete;

  /// Checks whether the replica of a call with a broken connection has crashed.
  using ReplicaCheck = std::function<boost::asio::awaitable<bool>()>;

  /// Starts \p call as \p attempt.
  /// \param check runs when the call's connection breaks, and only while the race exists; the call
  /// counts as outstanding until the check is complete, and the check continues when the other
  /// calls are cancelled
  void begin(CallAttemptPointer attempt,
             boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call,
             ReplicaCheck check);
  /// Waits until a call has finished, \p longest has passed or the caller is cancelled.
  boost::asio::awaitable<void> wait(core::Duration longest);
  /// \return a finished call, removed from the outstanding ones, or null; answered calls come
  /// first.
  CallAttemptPointer take_ended();
  /// Cancels the outstanding calls and closes their connections.
  void cancel_all();

  /// \return the outstanding calls in the order in which they started.
  const std::list<CallAttemptPointer>& calls() const { return calls_; }
  /// \return whether a check for a crashed replica is running.
  bool is_checking_replica() const;
  /// \return whether a replica has answered and its answer waits for memory of this process, so
  /// that another call could not be answered earlier.
  bool has_begun_answer() const;
  bool has_call_at(const ReplicaState& replica) const;
  bool has_call_in(const core::ZoneName& zone) const;

 private:
  using Timer = std::shared_ptr<boost::asio::steady_timer>;
  static boost::asio::awaitable<void> run(
      CallAttemptPointer attempt,
      boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call, ReplicaCheck check,
      Timer ended);

  std::list<CallAttemptPointer> calls_;
  Timer ended_;  ///< cancelled when a call finishes
};

}  // namespace stoneport::ingress
