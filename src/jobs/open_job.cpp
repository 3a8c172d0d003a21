#include "jobs/open_job.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <unordered_map>

namespace stoneport::jobs {

namespace {

/// Items with the same prompt, and their expected remaining work.
struct Group {
  std::vector<std::size_t> items;
  double rest = 0;
  double longest = 0;
  double late_longest = 0;
  bool is_whole = true;
};

bool goes_first(const Group& left, const Group& right) {
  return left.is_whole != right.is_whole ? left.is_whole : left.rest < right.rest;
}

void add_item(Group& group, const OpenJob& open, std::size_t item,
              const LengthEstimator& estimator) {
  group.items.push_back(item);
  const ItemState state = open.items[item].state;
  group.is_whole &= state == ItemState::kReady || state == ItemState::kListed;
  if (state == ItemState::kQueued || state == ItemState::kRunning) {
    const LengthEvidence evidence = open.evidence_of(item);
    group.rest += estimator.mean_remaining(evidence);
    group.longest = std::max(group.longest, estimator.median_remaining(evidence));
    group.late_longest = std::max(group.late_longest, estimator.p90_remaining(evidence));
  }
}

/// \return the groups of \p open, ordered by remaining work, least first.
std::vector<Group> groups_by_rest(const OpenJob& open, const LengthEstimator& estimator) {
  std::vector<Group> groups;
  std::unordered_map<std::string, std::size_t> by_name;
  for (std::size_t item = 0; item < open.items.size(); ++item) {
    const auto [found, is_new] = by_name.emplace(open.job.items[item].group, groups.size());
    if (is_new) {
      groups.emplace_back();
    }
    add_item(groups[found->second], open, item, estimator);
  }
  std::stable_sort(groups.begin(), groups.end(), goes_first);
  return groups;
}

std::size_t wanted_of(const Job& job, std::size_t groups) {
  const std::size_t wanted = job.wanted_groups;
  return wanted == 0 ? groups : std::min(wanted, groups);
}

/// \return the position of each item in the start order; items of equal position may start in any
/// order.
std::vector<std::size_t> turns_of(const OpenJob& open, const LengthEstimator& estimator) {
  std::vector<std::size_t> turns(open.items.size(), 0);
  if (open.order_kind == StartOrder::kLongestFirst) {
    return turns;
  }
  const std::vector<Group> groups = groups_by_rest(open, estimator);
  const std::size_t wanted = wanted_of(open.job, groups.size());
  for (std::size_t place = 0; place < groups.size(); ++place) {
    const bool has_own_turn = open.order_kind == StartOrder::kByGroup || place >= wanted;
    for (const std::size_t item : groups[place].items) {
      turns[item] = has_own_turn ? place : 0;
    }
  }
  return turns;
}

}  // namespace

std::uint32_t rank_of(const OpenJob& job) {
  if (job.route == nullptr) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return job.table != nullptr ? job.table->rank_of(*job.route, job.entry.tenant)
                              : job.route->priority;
}

StartOrder start_order_of(StepPlan plan) {
  switch (plan) {
    case StepPlan::kUsual:
      return StartOrder::kLongestFirst;
    case StepPlan::kMeet:
      return StartOrder::kWantedFirst;
    case StepPlan::kDeferred:
    case StepPlan::kLost:
      return StartOrder::kByGroup;
  }
  return StartOrder::kLongestFirst;
}

LengthEvidence OpenJob::evidence_of(std::size_t item) const {
  const ItemProgress& progress = items[item];
  LengthEvidence evidence;
  evidence.guess = job.items[item].expected_tokens;
  evidence.made = progress.text.events.size();
  if (progress.seen) {
    evidence.seen = progress.seen->events;
    evidence.seen_complete = progress.seen->whole;
  }
  return evidence;
}

void OpenJob::set_order(StartOrder kind) {
  order_is_stale |= order_kind != kind;
  order_kind = kind;
}

StepWork OpenJob::remaining_work(const LengthEstimator& estimator) const {
  const std::vector<Group> groups = groups_by_rest(*this, estimator);
  const std::size_t wanted = wanted_of(job, groups.size());
  StepWork work;
  std::size_t whole = 0;
  for (std::size_t index = 0; index < wanted; ++index) {
    work.rest += groups[index].rest;
    work.longest = std::max(work.longest, groups[index].longest);
    work.late_longest = std::max(work.late_longest, groups[index].late_longest);
    whole += groups[index].is_whole ? 1 : 0;
  }
  work.complete_share = wanted == 0 ? 1 : static_cast<double>(whole) / static_cast<double>(wanted);
  return work;
}

void OpenJob::make_start_order(const LengthEstimator& estimator) {
  start_order.resize(items.size());
  std::iota(start_order.begin(), start_order.end(), std::size_t{0});
  std::vector<double> rest(items.size());
  for (std::size_t index = 0; index < items.size(); ++index) {
    rest[index] = estimator.median_remaining(evidence_of(index));
  }
  const std::vector<std::size_t> turns = turns_of(*this, estimator);
  // A step ends with its longest texts, so those that are likely to be long start first; the others
  // keep the job's order, in which resubmitted groups come first.
  std::stable_sort(start_order.begin(), start_order.end(), [&](std::size_t a, std::size_t b) {
    return turns[a] != turns[b] ? turns[a] < turns[b] : rest[a] > rest[b];
  });
  order_is_stale = false;
}

core::Duration OpenJob::latest_start(std::size_t item, const LengthEstimator& estimator,
                                     core::Duration event_gap) const {
  const core::Duration allowed = route != nullptr ? route->run_deadline : core::Duration(0);
  const double rest = estimator.median_remaining(evidence_of(item)) * core::to_seconds(event_gap);
  return entry.accepted_at + allowed - core::from_seconds(rest);
}

}  // namespace stoneport::jobs
