#include "jobs/step_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace stoneport::jobs {
namespace {

/// A step counts as met when this fraction of its wanted groups was complete in time: all of them,
/// except for rounding.
constexpr double kMetShare = 0.999;

/// Remaining capacity of the replica pools while steps are allocated in order.
class Capacity {
 public:
  Capacity(const std::vector<double>& rates, double usable)
      : rates_(rates), taken_(rates.size(), 0.0), usable_(usable) {}

  /// Allocates the work of \p step in its pools, in proportion to their remaining capacity.
  /// \param seconds time until the work is due
  /// \return whether the pools had enough capacity for it in that time.
  bool allocate(const OpenStep& step, double seconds) {
    std::vector<double> left;
    for (const std::size_t pool : step.pools) {
      left.push_back(std::max(rates_[pool] * usable_ * seconds - taken_[pool], 0.0));
    }
    const double in_all = std::accumulate(left.begin(), left.end(), 0.0);
    const bool fits = step.work.rest <= in_all;
    for (std::size_t index = 0; index < left.size(); ++index) {
      const double share = fits && in_all > 0 ? left[index] / in_all : rate_share(step, index);
      taken_[step.pools[index]] += share * step.work.rest;
    }
    return fits;
  }

  /// \return the seconds that the pools of \p step need for all work allocated in them.
  double busy_seconds(const OpenStep& step) const {
    double taken = 0;
    for (const std::size_t pool : step.pools) {
      taken += taken_[pool];
    }
    const double rate = rate_of(step) * usable_;
    return rate > 0 ? taken / rate : 0;
  }

 private:
  double rate_of(const OpenStep& step) const {
    double rate = 0;
    for (const std::size_t pool : step.pools) {
      rate += rates_[pool];
    }
    return rate;
  }
  double rate_share(const OpenStep& step, std::size_t index) const {
    const double rate = rate_of(step);
    return rate > 0 ? rates_[step.pools[index]] / rate : 0;
  }

  const std::vector<double>& rates_;
  std::vector<double> taken_;
  double usable_;
};

bool share_pool(const OpenStep& left, const OpenStep& right) {
  return std::find_first_of(left.pools.begin(), left.pools.end(), right.pools.begin(),
                            right.pools.end()) != left.pools.end();
}

bool is_due_before(const OpenStep* left, const OpenStep* right) {
  return std::tie(left->due, left->job) < std::tie(right->due, right->job);
}

}  // namespace

double StepScheduler::earned(const std::string& trainer) const {
  const auto found = trainers_.find(trainer);
  return found == trainers_.end() ? 0 : found->second.earned;
}

bool StepScheduler::is_selected(const OpenStep& step) const {
  const auto known = known_.find(step.job);
  return known != known_.end() && known->second.plan == StepPlan::kMeet;
}

bool StepScheduler::can_be_met(const OpenStep& step, core::Duration now) const {
  const core::Duration end = is_selected(step) ? step.last_end : step.late_end;
  return step.work.rest <= 0 || now + end + settings_.finish <= step.due;
}

void StepScheduler::record_ended(const Known& step, StepDecision& decision) {
  const bool is_met = step.share_in_time >= kMetShare;
  ++(is_met ? decision.met : decision.missed);
  Trainer& own = trainers_[step.trainer];
  own.earned += step.share_in_time;
  if (!is_met) {
    return;
  }
  own.equals_met = 0;
  std::set<std::string> waiting;
  for (const auto& [job, other] : known_) {
    const bool waits = other.plan == StepPlan::kDeferred || other.plan == StepPlan::kLost;
    if (waits && other.rank == step.rank && other.trainer != step.trainer) {
      waiting.insert(other.trainer);
    }
  }
  for (const std::string& trainer : waiting) {
    ++trainers_[trainer].equals_met;
  }
}

void StepScheduler::update_steps(const std::vector<OpenStep>& steps, core::Duration now,
                                 StepDecision& decision) {
  std::set<std::string> open;
  for (const OpenStep& step : steps) {
    update_trainer(step, now);
    open.insert(step.job);
    Known& known = known_[step.job];
    known.trainer = step.trainer;
    known.rank = step.rank;
    known.due = step.due;
    if (now <= step.due) {
      known.share_in_time = step.work.complete_share;
    }
  }
  for (auto known = known_.begin(); known != known_.end();) {
    if (open.contains(known->first)) {
      ++known;
      continue;
    }
    const Known ended = known->second;
    known = known_.erase(known);
    record_ended(ended, decision);
  }
}

void StepScheduler::decay_earned(core::Duration now) {
  std::erase_if(trainers_,
                [&](const auto& entry) { return now - entry.second.last_seen > settings_.memory; });
  const double passed = std::max(core::to_seconds(now - faded_at_), 0.0);
  const double kept = std::exp(-passed / core::to_seconds(settings_.memory));
  for (auto& [name, trainer] : trainers_) {
    trainer.earned *= kept;
  }
  faded_at_ = now;
}

/// A new trainer starts with the least earned of the others, so that it has no claim for the time
/// before.
void StepScheduler::update_trainer(const OpenStep& step, core::Duration now) {
  const auto found = trainers_.find(step.trainer);
  if (found != trainers_.end()) {
    found->second.last_seen = now;
    return;
  }
  Trainer trainer;
  trainer.last_seen = now;
  const auto least = std::min_element(
      trainers_.begin(), trainers_.end(),
      [](const auto& left, const auto& right) { return left.second.earned < right.second.earned; });
  trainer.earned = least == trainers_.end() ? 0 : least->second.earned;
  trainers_.emplace(step.trainer, trainer);
}

void StepScheduler::sort_by_priority(Steps& steps) const {
  std::set<std::string> trainers;
  for (const OpenStep* step : steps) {
    trainers.insert(step->trainer);
  }
  // A trainer that has seen a step of each of its equals met precedes all that have waited less.
  const auto priority = [&](const OpenStep* step) {
    const Trainer& trainer = trainers_.at(step->trainer);
    const bool waits_less = trainer.equals_met + 1 < trainers.size() || trainers.size() < 2;
    return std::make_tuple(!is_selected(*step), waits_less, trainer.earned, step->due, step->job);
  };
  std::sort(steps.begin(), steps.end(), [&](const OpenStep* left, const OpenStep* right) {
    return priority(left) < priority(right);
  });
}

namespace {

/// \return whether all of \p steps that can be met are met if allocated in order after \p ahead.
template <class CanBeMet, class Seconds>
bool all_fit(const std::vector<const OpenStep*>& ahead, std::vector<const OpenStep*> steps,
             Capacity capacity, const CanBeMet& can_be_met, const Seconds& seconds) {
  std::sort(steps.begin(), steps.end(), is_due_before);
  for (const OpenStep* step : ahead) {
    capacity.allocate(*step, seconds(*step));
  }
  bool fit = true;
  for (const OpenStep* step : steps) {
    const bool fits = capacity.allocate(*step, seconds(*step));
    fit &= fits || step->pools.empty() || !can_be_met(*step);
  }
  return fit;
}

}  // namespace

bool StepScheduler::is_far_ahead(const OpenStep& step, const Steps& equals,
                                 const Steps& selected) const {
  const double bound = trainers_.at(step.trainer).earned - settings_.max_lead;
  return std::any_of(equals.begin(), equals.end(), [&](const OpenStep* other) {
    const bool waits = std::find(selected.begin(), selected.end(), other) == selected.end();
    return waits && share_pool(step, *other) && trainers_.at(other->trainer).earned < bound;
  });
}

std::set<const OpenStep*> StepScheduler::select(const Steps& ahead, const Steps& by_priority,
                                                const std::vector<double>& rates,
                                                core::Duration now) const {
  const auto can_be_met = [&](const OpenStep& step) { return this->can_be_met(step, now); };
  const auto seconds = [&](const OpenStep& step) {
    return core::to_seconds(step.due - settings_.finish - now);
  };
  Steps selected;
  for (const OpenStep* step : by_priority) {
    const bool has_turn = is_selected(*step) || !is_far_ahead(*step, by_priority, selected);
    if (!can_be_met(*step) || !has_turn) {
      continue;
    }
    Steps with = selected;
    with.push_back(step);
    const double usable = is_selected(*step) ? settings_.usable_of_selected : settings_.usable;
    if (all_fit(ahead, with, Capacity(rates, usable), can_be_met, seconds)) {
      selected = std::move(with);
    }
  }
  return {selected.begin(), selected.end()};
}

void StepScheduler::decide_rank(const Steps& ahead, Steps equals, const std::vector<double>& rates,
                                core::Duration now, StepDecision& decision) {
  const std::uint32_t rank = equals.front()->rank;
  const auto can_be_met = [&](const OpenStep& step) { return this->can_be_met(step, now); };
  const auto seconds = [&](const OpenStep& step) {
    return core::to_seconds(step.due - settings_.finish - now);
  };
  const bool was_short = short_ranks_.contains(rank);
  const double usable = was_short ? settings_.usable_at_end : settings_.usable;
  if (all_fit(ahead, equals, Capacity(rates, usable), can_be_met, seconds)) {
    short_ranks_.erase(rank);
    for (const OpenStep* step : equals) {
      known_[step->job].plan = StepPlan::kUsual;
      decision.places[step->job] = {};
    }
    return;
  }
  short_ranks_.insert(rank);
  sort_by_priority(equals);
  const std::set<const OpenStep*> selected = select(ahead, equals, rates, now);
  Capacity capacity(rates, 1);
  for (const OpenStep* step : ahead) {
    capacity.allocate(*step, seconds(*step));
  }
  // Steps to be met form one queue, followed by the deferred and then by the lost ones, one by one.
  std::stable_sort(equals.begin(), equals.end(), [&](const OpenStep* left, const OpenStep* right) {
    const auto group = [&](const OpenStep* step) {
      return selected.contains(step) || step->pools.empty() ? 0 : can_be_met(*step) ? 1 : 2;
    };
    return group(left) < group(right);
  });
  std::uint32_t position = 0;
  for (const OpenStep* step : equals) {
    capacity.allocate(*step, seconds(*step));
    Known& known = known_[step->job];
    if (selected.contains(step) || step->pools.empty()) {
      known.plan = StepPlan::kMeet;
      decision.places[step->job] = {StepPlan::kMeet, 0};
      continue;
    }
    const bool is_lost = !can_be_met(*step);
    const StepPlan plan = is_lost ? StepPlan::kLost : StepPlan::kDeferred;
    decision.places[step->job] = {plan, ++position};
    const bool was_behind = known.plan == StepPlan::kDeferred || known.plan == StepPlan::kLost;
    known.plan = plan;
    if (!was_behind) {
      const double late = capacity.busy_seconds(*step) - seconds(*step);
      decision.deferred.push_back(
          {step->job, step->trainer, core::from_seconds(std::max(late, 0.0)), is_lost});
    }
  }
}

StepDecision StepScheduler::decide(const std::vector<OpenStep>& steps,
                                   const std::vector<double>& rates, core::Duration now) {
  StepDecision decision;
  decay_earned(now);
  update_steps(steps, now, decision);
  std::map<std::uint32_t, Steps> by_rank;
  for (const OpenStep& step : steps) {
    by_rank[step.rank].push_back(&step);
  }
  std::erase_if(short_ranks_, [&](std::uint32_t rank) { return !by_rank.contains(rank); });
  Steps ahead;
  for (auto& [rank, equals] : by_rank) {
    decide_rank(ahead, equals, rates, now, decision);
    ahead.insert(ahead.end(), equals.begin(), equals.end());
  }
  return decision;
}

}  // namespace stoneport::jobs
