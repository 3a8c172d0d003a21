#include "jobs/open_job.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace stoneport::jobs {

std::uint32_t rank_of(const OpenJob& job) {
  if (job.route == nullptr) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return job.table != nullptr ? job.table->rank_of(*job.route, job.entry.tenant)
                              : job.route->priority;
}

LengthEvidence OpenJob::evidence_of(std::size_t item) const {
  const ItemProgress& progress = items[item];
  LengthEvidence evidence;
  evidence.guess = job.items[item].expected_tokens;
  evidence.made = progress.text.events.size();
  if (progress.seen) {
    evidence.seen = progress.seen->events;
    evidence.seen_whole = progress.seen->whole;
  }
  return evidence;
}

void OpenJob::make_start_order(const LengthLaw& law) {
  start_order.resize(items.size());
  std::iota(start_order.begin(), start_order.end(), std::size_t{0});
  std::vector<double> rest(items.size());
  for (std::size_t index = 0; index < items.size(); ++index) {
    rest[index] = law.expected_rest(evidence_of(index));
  }
  // A step ends with its longest texts, so those that are likely to be long begin
  // first; the others keep the job's order, in which carried groups come first.
  std::stable_sort(start_order.begin(), start_order.end(),
                   [&rest](std::size_t a, std::size_t b) { return rest[a] > rest[b]; });
  order_is_stale = false;
}

core::Duration OpenJob::latest_start(std::size_t item, const LengthLaw& law,
                                     core::Duration event_gap) const {
  const core::Duration allowed = route != nullptr ? route->run_deadline : core::Duration(0);
  const double rest = law.expected_rest(evidence_of(item)) * core::to_seconds(event_gap);
  return entry.accepted_at + allowed - core::from_seconds(rest);
}

}  // namespace stoneport::jobs
