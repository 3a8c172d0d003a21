/// \file
/// Decides which jobs' texts go first when capacity does not suffice to complete all jobs in time.
/// A job is a step of a trainer, of which some groups may be missing. Steps are selected to be
/// completed in time, and trainers of one rank take turns in being deferred. While all steps can be
/// met the order is unchanged. No I/O: takes work, rates and a time, returns a decision.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace stoneport::jobs {

/// Remaining work of one job, in events.
struct StepWork {
  double rest = 0;            ///< remaining events until as many groups as wanted are complete
  double longest = 0;         ///< of these, expected remaining events of the longest text
  double late_longest = 0;    ///< the same at the 90th percentile of its length
  double complete_share = 1;  ///< fraction of the wanted groups that are complete
};

/// One open job.
struct OpenStep {
  std::string job;
  std::string trainer;     ///< jobs of one trainer share their record of met steps
  std::uint32_t rank = 0;  ///< 0 is served first
  core::Duration due{};    ///< by the store's clock
  StepWork work;
  core::Duration last_end{};  ///< from now, expected end of its longest text on the fastest replica
  core::Duration late_end{};  ///< the same at the 90th percentile of that text's length
  /// Indexes into the given rates of the pools in which its texts may run. Empty if its work or its
  /// replicas are unknown: such a step keeps its position and takes no capacity from others.
  std::vector<std::size_t> pools;
};

enum class StepPlan {
  kUsual,     ///< all steps can be met: ordered by latest start
  kMeet,      ///< to be met in time; such steps are ordered by latest start
  kDeferred,  ///< gets the capacity that steps to be met leave
  kLost,      ///< cannot be met any more: gets the capacity that all others leave
};

struct StepPlace {
  StepPlan plan = StepPlan::kUsual;
  /// Jobs of a lower position are placed first; those of one position form one queue.
  std::uint32_t position = 0;

  bool operator==(const StepPlace&) const = default;
};

/// A step that was newly opened, or was to be met, and is now deferred in favour of others of its
/// rank.
struct DeferredStep {
  std::string job;
  std::string trainer;
  /// After the work of all steps before it; zero if the step is lost.
  core::Duration expected_lateness{};
  bool is_lost = false;
};

struct StepDecision {
  std::map<std::string, StepPlace> places;  ///< by job
  std::vector<DeferredStep> deferred;       ///< newly deferred steps only
  std::uint32_t met = 0;                    ///< steps that ended in time since the last decision
  std::uint32_t missed = 0;
};

struct StepSchedulerSettings {
  /// Time to rate and list a complete text before it counts: a call and a write to the store.
  core::Duration finish = std::chrono::milliseconds(400);
  /// Fraction of the replicas' rate used for planning: a step ends with a few long texts, which
  /// leave slots empty that other steps cannot use in time.
  double usable = 0.65;
  /// Replaces usable for steps that are already selected, so that only a large change deselects
  /// them.
  double usable_of_selected = 1.0;
  /// Taking turns ends only when all steps would fit into this fraction of the rate.
  double usable_at_end = 0.6;
  /// Number of steps that a trainer may be ahead of one whose step is waiting; beyond that its new
  /// steps are deferred.
  double max_lead = 1;
  /// Time over which trainers of one rank get equal shares, about fifteen steps; a trainer without
  /// a step for that long is forgotten.
  core::Duration memory = std::chrono::seconds(60);
};

class StepScheduler {
 public:
  explicit StepScheduler(StepSchedulerSettings settings = {}) : settings_(settings) {}

  /// \param steps all open jobs; a missing one has ended
  /// \param rates events per second of each pool of replicas
  /// \param now by the store's clock
  StepDecision decide(const std::vector<OpenStep>& steps, const std::vector<double>& rates,
                      core::Duration now);
  /// \return the number of steps that \p trainer completed in time, weighted by the fraction of
  /// their groups, with exponential decay.
  double earned(const std::string& trainer) const;

 private:
  /// State of a trainer.
  struct Trainer {
    double earned = 0;
    std::uint32_t equals_met = 0;  ///< steps of trainers of its rank met since its own last one
    core::Duration last_seen{};
  };
  /// State of an open job.
  struct Known {
    std::string trainer;
    std::uint32_t rank = 0;
    core::Duration due{};
    double share_in_time = 0;  ///< fraction of its wanted groups complete by the due time
    StepPlan plan = StepPlan::kUsual;
  };
  using Steps = std::vector<const OpenStep*>;

  void update_steps(const std::vector<OpenStep>& steps, core::Duration now, StepDecision& decision);
  void record_ended(const Known& step, StepDecision& decision);
  /// Applies the exponential decay to the trainers' earned steps.
  void decay_earned(core::Duration now);
  void update_trainer(const OpenStep& step, core::Duration now);
  /// Decides on the steps of one rank; \p ahead are the steps of higher ranks.
  void decide_rank(const Steps& ahead, Steps equals, const std::vector<double>& rates,
                   core::Duration now, StepDecision& decision);
  /// \return the steps of one rank that are to be met.
  std::set<const OpenStep*> select(const Steps& ahead, const Steps& by_priority,
                                   const std::vector<double>& rates, core::Duration now) const;
  /// \return whether the trainer of \p step is further ahead than allowed of one whose step waits.
  bool is_far_ahead(const OpenStep& step, const Steps& equals, const Steps& selected) const;
  /// Sorts steps that are already selected first, then by trainers that were skipped longest, then
  /// by fewest earned steps.
  void sort_by_priority(Steps& steps) const;
  bool is_selected(const OpenStep& step) const;
  /// \return whether \p step could be met with all capacity to itself. A selected step is judged by
  /// the expected length of its longest text, a new one by the 90th percentile.
  bool can_be_met(const OpenStep& step, core::Duration now) const;

  StepSchedulerSettings settings_;
  std::map<std::string, Trainer> trainers_;
  core::Duration faded_at_{};
  std::map<std::string, Known> known_;
  std::set<std::uint32_t> short_ranks_;  ///< ranks whose steps do not all fit
};

}  // namespace stoneport::jobs
