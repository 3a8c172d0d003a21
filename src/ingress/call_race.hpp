/// \file
/// The calls that one request has out at once. Owned by the request's coroutine, which waits for
/// the first of them to end; each call shares nothing but its own attempt with it. Belongs to one
/// thread.
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
  bool is_second = false;  ///< sent beside one that was out
  bool was_cold = false;   ///< the replica, when it was sent
  std::optional<CrashGuard::Run> suspect_run = std::nullopt;

  bool has_ended = false;
  bool is_cut = false;
  boost::asio::cancellation_signal cut = {};
  /// Set once the call has ended, unless it was cut.
  std::optional<ports::CallResult<ports::ReplicaAnswer>> result = std::nullopt;
  bool replica_has_ended = false;  ///< found out after its connection broke

  /// \return whether its replica may have run it until the connection broke.
  bool is_broken() const;
};
using CallAttemptPointer = std::shared_ptr<CallAttempt>;

class CallRace {
 public:
  explicit CallRace(const boost::asio::any_io_executor& executor);
  /// Cuts all calls that are out.
  ~CallRace() { cut_all(); }
  CallRace(const CallRace&) = delete;
  CallRace& operator=(const CallRace&) = delete;

  /// Finds out whether the replica of a broken call has ended.
  using Look = std::function<boost::asio::awaitable<bool>()>;

  /// Starts \p call as \p attempt.
  /// \param look called when the call is broken, and only while the race lives; the call counts as
  /// out until the look is over, which goes on when the other calls are cut
  void begin(CallAttemptPointer attempt,
             boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call, Look look);
  /// Returns when a call has ended, at the latest after \p longest or when the caller is cut.
  boost::asio::awaitable<void> wait(core::Duration longest);
  /// \return a call that has ended, which is out no more, or null; answered ones come first.
  CallAttemptPointer take_ended();
  /// Ends the calls that are out; their connections close.
  void cut_all();

  /// \return the calls that are out, in the order of their beginning.
  const std::list<CallAttemptPointer>& calls() const { return calls_; }
  /// \return whether it is being found out if the replica of a broken call has ended.
  bool looks_at_replica() const;
  bool has_call_at(const ReplicaState& replica) const;
  bool has_call_in(const core::ZoneName& zone) const;

 private:
  using Timer = std::shared_ptr<boost::asio::steady_timer>;
  static boost::asio::awaitable<void> run(
      CallAttemptPointer attempt,
      boost::asio::awaitable<ports::CallResult<ports::ReplicaAnswer>> call, Look look, Timer ended);

  std::list<CallAttemptPointer> calls_;
  Timer ended_;  ///< cancelled when a call ends
};

}  // namespace stoneport::ingress
