#include "jobs/open_job.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>

namespace stoneport::jobs {

void ItemText::discard() {
  ++lineage;
  events.clear();
  versions.clear();
  checkpointed = 0;
}

void ItemText::restore(const std::vector<Checkpoint>& checkpoints) {
  for (const Checkpoint& checkpoint : checkpoints) {
    if (checkpoint.lineage > lineage) {
      lineage = checkpoint.lineage;
      events.clear();
      versions.clear();
    }
    const std::uint64_t expected = events.size() + 1;
    const bool is_older = checkpoint.lineage < lineage;
    if (is_older || checkpoint.first_event > expected) {
      continue;
    }
    const std::uint64_t known = expected - checkpoint.first_event;
    for (std::size_t index = known; index < checkpoint.events.size(); ++index) {
      events.push_back(checkpoint.events[index]);
      versions.push_back(checkpoint.versions[index]);
    }
  }
  checkpointed = events.size();
}

std::string ItemText::joined() const {
  std::string text;
  for (std::size_t index = 0; index < events.size(); ++index) {
    if (index > 0) {
      text += '\n';
    }
    text += events[index];
  }
  return text;
}

std::vector<std::uint64_t> ItemText::distinct_versions() const {
  const std::set<std::uint64_t> distinct(versions.begin(), versions.end());
  return {distinct.begin(), distinct.end()};
}

std::uint32_t rank_of(const OpenJob& job) {
  return job.route != nullptr ? job.route->priority : std::numeric_limits<std::uint32_t>::max();
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
