/// \file
/// Which jobs' texts go first where there is too little room to have all jobs whole in time. A job
/// is a step of a trainer, of which a part may be missing. Steps are chosen to be met whole, and
/// trainers of one rank take turns in being put behind. While all can be met nothing is decided.
/// Plain code: work, room and a time go in, a decision comes out.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace stoneport::jobs {

/// Work of one job. Work is counted in events.
struct StepWork {
  double rest = 0;          ///< to come until as many groups are whole as are wanted
  double longest = 0;       ///< of these, to come of the longest text, as expected
  double late_longest = 0;  ///< the same where it is one of the longest in ten
  double whole_share = 1;   ///< of the wanted groups, those that are whole
};

/// One open job.
struct OpenStep {
  std::string job;
  std::string trainer;     ///< jobs of one trainer share what was met and missed
  std::uint32_t rank = 0;  ///< 0 first
  core::Duration due{};    ///< by the store's clock
  StepWork work;
  core::Duration last_end{};  ///< from now, of its longest text on the fastest replica
  core::Duration late_end{};  ///< the same where that text is one of the longest in ten
  /// Indexes into the rates given: where its texts may be made. Empty where its work or its
  /// replicas are not known: such a step keeps its place and takes no room from others.
  std::vector<std::size_t> pools;
};

enum class StepPlan {
  kUsual,     ///< all can be met: in order of the latest start
  kMeet,      ///< is to be met; among such, in order of the latest start
  kDeferred,  ///< gets what those to be met leave
  kLost,      ///< can't be met any more: gets what all others leave
};

struct StepPlace {
  StepPlan plan = StepPlan::kUsual;
  /// Jobs of a lower position are placed first; those of one position are one queue.
  std::uint32_t position = 0;

  bool operator==(const StepPlace&) const = default;
};

/// A step that was to be met, or newly came, was put behind others of its rank.
struct DeferredStep {
  std::string job;
  std::string trainer;
  core::Duration expected_lateness{};  ///< with all that goes before it; zero where it is lost
  bool is_lost = false;
};

struct StepDecision {
  std::map<std::string, StepPlace> places;  ///< by job
  std::vector<DeferredStep> deferred;       ///< changes alone
  std::uint32_t met = 0;                    ///< steps that ended met since the last decision
  std::uint32_t missed = 0;
};

struct StepSchedulerSettings {
  /// A whole text is rated and listed before it counts: a call and a write to the store.
  core::Duration finish = std::chrono::milliseconds(400);
  /// Share of the replicas' rate that steps are planned on: a step ends with few long texts, which
  /// leave places empty that others can't use in time.
  double usable = 0.65;
  /// For steps to be met already: nothing but a large change takes that from them.
  double usable_of_begun = 1.0;
  /// Turns end only when all steps would fit in this share of the rate.
  double usable_at_end = 0.6;
  /// Steps that a trainer may have earned more than one whose step waits; its new ones are put
  /// behind beyond that.
  double max_lead = 1;
  /// Over which time trainers of one rank are to fare alike, some fifteen steps; and after which
  /// one without a step is forgotten.
  core::Duration memory = std::chrono::seconds(60);
};

class StepScheduler {
 public:
  explicit StepScheduler(StepSchedulerSettings settings = {}) : settings_(settings) {}

  /// \param steps all open jobs; one that is missing has ended
  /// \param rates events a second of each pool of replicas
  /// \param now by the store's clock
  StepDecision decide(const std::vector<OpenStep>& steps, const std::vector<double>& rates,
                      core::Duration now);
  /// \return the steps that \p trainer had in time, by the share of their groups; older ones
  /// count less and less.
  double earned(const std::string& trainer) const;

 private:
  /// What is remembered of a trainer.
  struct Trainer {
    double earned = 0;
    std::uint32_t equals_met = 0;  ///< steps of its equals met since its own last one
    core::Duration last_seen{};
  };
  /// What is remembered of an open job.
  struct Known {
    std::string trainer;
    std::uint32_t rank = 0;
    core::Duration due{};
    double share_in_time = 0;  ///< of its wanted groups, whole by the due time
    StepPlan plan = StepPlan::kUsual;
  };
  using Steps = std::vector<const OpenStep*>;

  void update_steps(const std::vector<OpenStep>& steps, core::Duration now, StepDecision& decision);
  void record_ended(const Known& step, StepDecision& decision);
  /// Lets what trainers earned count less with time.
  void decay_earned(core::Duration now);
  void update_trainer(const OpenStep& step, core::Duration now);
  /// Decides on the steps of one rank; \p ahead are those of the ranks before it.
  void decide_rank(const Steps& ahead, Steps equals, const std::vector<double>& rates,
                   core::Duration now, StepDecision& decision);
  /// \return those of \p equals that are to be met.
  std::set<const OpenStep*> choose(const Steps& ahead, const Steps& by_claim,
                                   const std::vector<double>& rates, core::Duration now) const;
  /// \return whether the trainer of \p step has earned much more than one whose step waits.
  bool is_far_ahead(const OpenStep& step, const Steps& equals, const Steps& chosen) const;
  /// Puts first who has to be met first: begun ones, then who was passed by or met least.
  void sort_by_priority(Steps& steps) const;
  bool is_begun(const OpenStep& step) const;
  /// \return whether \p step could be met with all the room there is. One that was chosen counts
  /// as such while it may just be, a new one while it is likely.
  bool can_be_met(const OpenStep& step, core::Duration now) const;

  StepSchedulerSettings settings_;
  std::map<std::string, Trainer> trainers_;
  core::Duration faded_at_{};
  std::map<std::string, Known> known_;
  std::set<std::uint32_t> short_ranks_;  ///< in which steps don't all fit
};

}  // namespace stoneport::jobs
