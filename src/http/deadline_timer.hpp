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
  /// \param on_expiry called once for each armed deadline that is reached
  DeadlineTimer(boost::asio::any_io_executor executor, std::function<void()> on_expiry);
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
  std::shared_ptr<State> state_;
};

/// \return the present time at the resolution of core::MonotonicTime.
core::MonotonicTime monotonic_now();

}  // namespace stoneport::http
