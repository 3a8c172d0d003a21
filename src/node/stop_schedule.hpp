/// \file
/// Divides the time that a process has from its stop signal until it is killed. Requests in flight
/// come first: whatever else the process does meanwhile may hang, and ends with their time.
#pragma once

#include "core/time.hpp"

namespace stoneport::node {

struct StopSettings {
  core::Duration grace = std::chrono::seconds(8);  ///< from the signal until the process is killed
  /// From the end of service until the process is killed.
  core::Duration kill_margin = std::chrono::milliseconds(700);
  /// How long requests are accepted after the signal. Clients that kept an older answer of the
  /// directory still come: some keep it three times as long as it says.
  core::Duration serve_on = std::chrono::milliseconds(3600);
  /// The same where requests may take so long that those taken last would be cut.
  core::Duration min_serve_on = std::chrono::milliseconds(2800);
  /// Idle connections still take requests for so long once no new ones are accepted.
  core::Duration connection_drain = std::chrono::milliseconds(200);
};

class StopSchedule {
 public:
  /// \param longest_request longest time for which a request may be held
  StopSchedule(StopSettings settings, core::MonotonicTime stopped_at,
               core::Duration longest_request);

  /// \return when requests in flight are cut.
  core::MonotonicTime end_of_service() const;
  /// \return until when requests are accepted. Without a successor clients have nowhere else to go,
  /// and are served as long as what is taken last can still be answered.
  core::MonotonicTime accept_until(bool has_successor) const;
  /// \return how long to wait for a process that takes over the jobs.
  core::Duration successor_wait() const { return max_serve_on(); }

 private:
  core::Duration max_serve_on() const { return settings_.grace - 3 * settings_.kill_margin; }

  StopSettings settings_;
  core::MonotonicTime stopped_at_;
  core::Duration longest_request_;
};

}  // namespace stoneport::node
