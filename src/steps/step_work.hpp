/// \file
/// Generates the samples of one step: places attempts on engines, cancels those that exceed the
/// age bound, scores finished samples and enters them in the ledger. Used on the steps thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "rollout/start_order.hpp"
#include "rollout/step_ledger.hpp"
#include "steps/attempt.hpp"
#include "steps/engine_chooser.hpp"
#include "steps/step_context.hpp"
#include "steps/step_plan.hpp"
#include "steps/stream_search.hpp"

namespace stoneport::steps {

/// Attempts and ledger of one step.
class StepWork : public std::enable_shared_from_this<StepWork> {
 public:
  struct Listener {
    std::function<void()> on_sample;  ///< the ledger has something new to hand over
    std::function<void()> on_fenced;  ///< an engine has seen a higher epoch
  };

  StepWork(StepContext& context, StepPlan plan, EventRules rules, Listener listener);

  /// Searches for streams of an earlier owner if the plan requires it, then starts generating.
  static boost::asio::awaitable<void> begin(std::shared_ptr<StepWork> self);
  /// Drops samples and cancels attempts that are too old, cancels unneeded attempts, handles
  /// stragglers and starts attempts for idle slots. Called periodically and after each change.
  void sweep();
  /// Starts no attempts until resume_starts(), because it is unknown what the trainer holds.
  void pause_starts() { starts_paused_ = true; }
  void resume_starts() { starts_paused_ = false; }
  /// Stores the statistics of this step for the event's later steps.
  void save_history();
  /// Cancels all attempts and their streams on the engines.
  void cancel();
  /// Ends all attempts but leaves their streams to the step's new owner.
  void detach();

  rollout::StepLedger& ledger() { return ledger_; }
  /// \return the current age rule.
  rollout::AgeRule age_rule();
  const EventRules& rules();
  std::size_t running_attempts() const { return attempts_.size(); }
  /// \return the oldest version in ready samples and running attempts.
  std::optional<core::WeightVersion> oldest_version() const;

 private:
  using AttemptKey = std::pair<core::SlotId, std::uint32_t>;

  bool is_spare(core::SlotId slot) const {
    return slot.sample >= ledger_.shape().samples_per_prompt;
  }
  bool is_needed(core::SlotId slot) const;
  bool group_is_open(std::uint32_t prompt) const;

  /// Waits for the first routing table, which a newly started daemon does not have yet.
  static boost::asio::awaitable<void> wait_for_engines(std::shared_ptr<StepWork> self);
  void adopt(const std::vector<FoundStream>& found);
  void end_unneeded();
  void end_too_old(const rollout::AgeRule& rule);
  void start_idle();
  std::vector<core::SlotId> wanted_slots();
  std::vector<rollout::GroupProgress> group_progress() const;
  double usual_length();
  /// \return whether enough time is left to wait for engines with the newest weights.
  bool should_wait_for_fresh(const rollout::AgeRule& rule);
  bool start_attempt(core::SlotId slot, const rollout::AgeRule& rule);
  void start_run(std::shared_ptr<Attempt> attempt);
  Attempt::Order order_for(core::SlotId slot, std::uint32_t number, routing::Replica engine);

  static boost::asio::awaitable<void> run_attempt(std::shared_ptr<StepWork> self,
                                                  std::shared_ptr<Attempt> attempt);
  void attempt_ended(const Attempt& attempt, AttemptOutcome end);
  boost::asio::awaitable<void> finish(std::shared_ptr<Attempt> attempt);
  boost::asio::awaitable<std::optional<double>> score(std::string prompt, std::string completion);
  bool record_sample(const Attempt& attempt, double score);
  void attempt_failed(const Attempt& attempt, AttemptOutcome end);
  void note_run_length(const Attempt& attempt);
  std::optional<core::SlotId> slot_for(const Attempt& attempt) const;

  void handle_stragglers();
  rollout::StragglerInput straggler_input();
  Attempt* running_at(core::SlotId slot);

  StepContext& context_;
  const StepPlan plan_;
  EventRules rules_;
  Listener listener_;
  rollout::StepLedger ledger_;
  CostEngineChooser chooser_;
  rollout::GroupPlacement placement_;
  std::map<AttemptKey, std::shared_ptr<Attempt>> attempts_;
  std::set<core::SlotId> spares_started_;
  struct Pause {
    std::uint32_t failures = 0;
    core::MonotonicTime until{};
  };
  std::map<core::SlotId, Pause> pauses_;
  std::vector<std::uint64_t> finished_lengths_;
  std::vector<rollout::GroupProgress> finished_groups_;  ///< by prompt
  std::optional<core::MonotonicTime> first_start_;
  core::MonotonicTime next_straggler_check_{};
  bool begun_ = false;
  bool starts_paused_ = false;
  bool stopped_ = false;
};

}  // namespace stoneport::steps
