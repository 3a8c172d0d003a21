/// \file
/// A deadline that is moved often and seldom reached: moving it further away
/// costs no system call and no new timer. Owned by one connection, on its thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/time.hpp"

namespace stoneport::http {

class DeadlineTimer {
 public:
  /// How often the action is called for an armed deadline that is reached.
  enum class Expiry {
    kOnce,
    /// Again every 20 ms until the timer is disarmed: an operation of several steps that is between
    /// two of them is not ended by one cancellation.
    kUntilDisarmed,
  };

  DeadlineTimer(boost::asio::any_io_executor executor, std::function<void()> on_expiry,
                Expiry expiry = Expiry::kOnce);
  ~DeadlineTimer();
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  void arm(core::MonotonicTime deadline);
  void arm(core::Duration from_now);
  void disarm();
  /// \return whether the deadline armed last was reached.
  bool expired() const;

 private:
  struct State;
  static void wait(const std::shared_ptr<State>& state, core::MonotonicTime until);
  static void on_wake(const std::shared_ptr<State>& state);
  static void expire(const std::shared_ptr<State>& state, core::MonotonicTime now);
  std::shared_ptr<State> state_;
};

/// \return the present time at the resolution of core::MonotonicTime.
core::MonotonicTime monotonic_now();

}  // namespace stoneport::http
