#include "eligibility/cold_pace.hpp"

#include <algorithm>

namespace stoneport::eligibility {

ColdStart ColdPace::start_of(const core::ServiceName& service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? ColdStart() : found->second;
}

bool ColdPace::may_send(const PacedReplica& replica, Sender sender,
                        core::MonotonicTime now) const {
  (void)sender;
  if (now >= replica.cold_until || start_of(replica.service).requests_per_second <= 0) {
    return true;
  }
  const auto next = next_at_.find(replica.id);
  return next == next_at_.end() || now >= next->second;
}

void ColdPace::note_sent(const PacedReplica& replica, Sender sender, core::MonotonicTime now) {
  (void)sender;
  const double rate = start_of(replica.service).requests_per_second;
  if (rate > 0) {
    next_at_[replica.id] = now + core::from_seconds(1 / rate);
  }
}

}  // namespace stoneport::eligibility
