#include "node/stop_schedule.hpp"

#include <algorithm>

namespace stoneport::node {

StopSchedule::StopSchedule(StopSettings settings, core::MonotonicTime stopped_at,
                           core::Duration longest_request)
    : settings_(settings), stopped_at_(stopped_at), longest_request_(longest_request) {}

core::MonotonicTime StopSchedule::end_of_service() const {
  return stopped_at_ + settings_.grace - settings_.kill_margin;
}

core::MonotonicTime StopSchedule::accept_until(bool has_successor) const {
  const core::Duration usual = std::min(settings_.serve_on, max_serve_on());
  const core::Duration shortest = std::min(settings_.min_serve_on, max_serve_on());
  const core::MonotonicTime wanted = stopped_at_ + (has_successor ? usual : max_serve_on());
  const core::MonotonicTime latest =
      end_of_service() - longest_request_ - settings_.connection_drain;
  return std::max(std::min(wanted, latest), stopped_at_ + shortest);
}

}  // namespace stoneport::node
