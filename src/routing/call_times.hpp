/// \file
/// Latency statistics of one route's successful calls, and the timeouts derived from them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time.hpp"

namespace stoneport::routing {

struct CallTimeSettings {
  /// Number of latest successful calls considered. Enough that several calls determine the
  /// quantile, few enough to adapt to a service that becomes slow within a minute.
  std::size_t max_remembered = 128;
  /// With fewer successful calls, a share of the route's target is used instead.
  std::size_t min_remembered = 16;
  double usual_share_of_target = 1;
  /// A call slower than this quantile of the successful calls is unusually long: one in twenty,
  /// which fits into a second-call budget of a tenth with a margin.
  double usual_quantile = 0.95;
  /// Upper bound of the usual time in targets; zero if only the timeout bounds it.
  double longest_usual_in_targets = 0;
  /// Lower bound of the usual time; shorter times reflect scheduling delays between send and
  /// wake-up rather than the replica.
  core::Duration shortest_usual = std::chrono::milliseconds(150);
  /// Share of the route's timeout used instead if it has no target either.
  double usual_share_of_timeout = 0.3;
  /// Number of usual times after which one of two calls for a text is given up if its replica has
  /// answered nothing meanwhile. Covers latencies with a mean of 200 ms and a 0.95 quantile of 550
  /// ms, which reach 1,500 ms.
  double silence_timeout_in_usual_times = 4;
};

/// Time limits stated by the route of a call.
struct CallBounds {
  core::Duration timeout{};
  core::Duration target{};  ///< zero if the route has none
};

class CallTimes {
 public:
  explicit CallTimes(CallTimeSettings settings = {}) : settings_(settings) {}

  /// Records a call that succeeded after \p taken, or that was outstanding for this time when
  /// another replica's answer made it unnecessary.
  void note(core::Duration taken);
  /// \return the time after which a call is unusually long; at most half of the timeout, so that a
  /// second call can still be answered, and within the configured share of the target.
  core::Duration usual(const CallBounds& bounds) const;
  /// \param given_up number of calls for the same text that timed out; each doubles the timeout, so
  /// that a text that always takes long is eventually answered
  /// \return the timeout of a call to a replica that has answered nothing meanwhile, at most the
  /// route's timeout.
  core::Duration silence_timeout(const CallBounds& bounds, std::uint32_t given_up) const;
  /// \param given_up as in silence_timeout()
  /// \return the timeout at a replica from which other calls were withdrawn.
  core::Duration suspect_silence_timeout(const CallBounds& bounds, std::uint32_t given_up) const;

 private:
  CallTimeSettings settings_;
  std::vector<core::Duration> newest_;  ///< ring buffer
  std::size_t next_ = 0;                ///< index of the next write
};

}  // namespace stoneport::routing
