#include "jobs/open_job.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

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

bool is_placed_before(const OpenJob& left, const OpenJob& right) {
  const auto rank = [](const OpenJob& job) {
    const std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
    return std::tuple(job.route != nullptr ? job.route->priority : lowest, job.entry.accepted_at);
  };
  return rank(left) < rank(right);
}

void OpenJob::make_start_order() {
  start_order.resize(items.size());
  std::iota(start_order.begin(), start_order.end(), std::size_t{0});
  // A step ends with its longest texts, so those that are likely to be long begin
  // first; the others keep the job's order, in which carried groups come first.
  std::stable_sort(start_order.begin(), start_order.end(), [this](std::size_t a, std::size_t b) {
    return job.items[a].expected_tokens > job.items[b].expected_tokens;
  });
}

}  // namespace stoneport::jobs
