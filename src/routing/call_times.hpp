/// \file
/// How long calls of one route take when they succeed, and how long to wait for one
/// that is out. Plain code.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time.hpp"

namespace stoneport::routing {

struct CallTimeSettings {
  /// Newest successes that count. Enough for the quantile to stand on several calls, few
  /// enough to follow a service that turns slow within a minute.
  std::size_t remembered = 128;
  /// With fewer successes a share of the route's target stands in.
  std::size_t fewest = 16;
  double usual_share_of_target = 1;
  /// A call that takes longer than this share of the successes is unusually long: one in
  /// twenty, which a budget of a tenth for second calls carries with some to spare.
  double usual_quantile = 0.95;
  /// What is usual is at most this many targets; zero where only the timeout bounds it.
  double longest_usual_in_targets = 0;
  /// Below this the time between sending and being woken tells more than the replica.
  core::Duration shortest_usual = std::chrono::milliseconds(150);
  /// Stands in, as a share of the route's timeout, where it states no target either.
  double usual_share_of_timeout = 0.3;
  /// One of two calls for a text, at a replica that has answered nothing meanwhile, is given
  /// up after this many usual times. Latencies with a mean of 200 ms and a 0.95-quantile of 550 ms
  /// reach up to 1,500 ms, which is within it.
  double patience_in_usual_times = 4;
};

/// What the route of a call states.
struct CallBounds {
  core::Duration timeout{};
  core::Duration target{};  ///< zero when it states none
};

class CallTimes {
 public:
  explicit CallTimes(CallTimeSettings settings = {}) : settings_(settings) {}

  /// A call was answered with success after \p taken, or was out for that long when the
  /// answer of another replica made it needless.
  void note(core::Duration taken);
  /// \return the time after which a call is unusually long, at most half of the timeout so
  /// that a second one can still be answered, and within the settings' share of the target.
  core::Duration usual(const CallBounds& bounds) const;
  /// \param given_up calls for the same text that got no answer in their time: the next one
  /// gets twice as much, so that a text which takes long each time is answered in the end
  /// \return how long to wait for a replica that has answered nothing meanwhile, at most the
  /// timeout.
  core::Duration patience(const CallBounds& bounds, std::uint32_t given_up) const;
  /// \param given_up as above
  /// \return the same for a replica from which other calls were taken away.
  core::Duration patience_with_suspect(const CallBounds& bounds, std::uint32_t given_up) const;

 private:
  CallTimeSettings settings_;
  std::vector<core::Duration> newest_;  ///< a ring
  std::size_t next_ = 0;                ///< where the next one goes
};

}  // namespace stoneport::routing
