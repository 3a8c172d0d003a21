/// \file
/// One step as the daemon beside its trainer runs it, in virtual time. Mirrors
/// steps::StepWork with the same ledger, placement, staleness and straggler code,
/// over simulated engines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "bench/simulation/rollout_daemon.hpp"
#include "bench/simulation/workload.hpp"
#include "rollout/start_order.hpp"
#include "rollout/step_ledger.hpp"

namespace stoneport::bench {

/// Chooses the engine of a group as steps::CostEngineChooser does.
class GroupEngineChooser : public rollout::EngineChooser {
 public:
  GroupEngineChooser(RolloutDaemon& daemon, const StepWork& work) : daemon_(daemon), work_(work) {}
  core::ReplicaId choose(std::uint32_t prompt,
                         const std::vector<rollout::EngineCandidate>& candidates) override;

 private:
  RolloutDaemon& daemon_;
  const StepWork& work_;
  rollout::LeastLoadedChooser otherwise_;
};

class SimulatedStep {
 public:
  /// \param lengths of the samples of earlier steps
  SimulatedStep(RolloutDaemon& daemon, const TrainerSettings& trainer, StepWork work,
                std::vector<std::uint64_t> earlier_lengths, std::function<void()> on_sample);
  ~SimulatedStep();
  SimulatedStep(const SimulatedStep&) = delete;
  SimulatedStep& operator=(const SimulatedStep&) = delete;

  void begin();
  /// Drops what became too old, ends what is not needed and starts what is idle.
  void sweep();
  /// Another daemon took over: the ledger is rebuilt from what the trainer holds
  /// and from the streams on the engines.
  void take_over(const rollout::SlotBitmap& held);
  rollout::HandOver hand_over(const rollout::SlotBitmap& held);
  bool has_news() const { return ledger_.has_news(); }
  rollout::AgeRule age_rule() const { return daemon_.age_rule(trainer_.age_bound); }
  const std::vector<std::uint64_t>& finished_lengths() const { return finished_lengths_; }
  const StepWork& work() const { return work_; }
  std::optional<core::MonotonicTime> first_start() const { return first_start_; }

 private:
  struct Attempt {
    core::SlotId slot;
    std::uint32_t number = 0;
    std::size_t engine = 0;
    core::MonotonicTime started_at{};
    core::MonotonicTime rated_at{};
    std::uint32_t rated_tokens = 0;
    double tokens_per_second = 0;
    bool raised = false;
    bool moving = false;
    std::uint32_t migrations = 0;
  };

  bool is_spare(core::SlotId slot) const { return slot.sample >= trainer_.samples_per_prompt; }
  bool is_needed(core::SlotId slot) const;
  bool group_is_open(std::uint32_t prompt) const;
  std::vector<core::SlotId> wanted_slots() const;
  std::vector<rollout::GroupProgress> group_progress() const;
  void start_idle();
  bool start_attempt(core::SlotId slot);
  void ended(StreamKey key, SimulatedStream stream, bool complete);
  void enter(const Attempt& attempt, const SimulatedStream& stream);
  std::optional<core::SlotId> slot_for(const Attempt& attempt) const;
  void end_unneeded();
  void end_too_old();
  void drop(StreamKey key);
  void tick();
  void look_after_stragglers();
  rollout::StragglerInput straggler_input();
  void apply(const rollout::StragglerDecision& decision);
  std::map<StreamKey, Attempt>::iterator attempt_at(core::SlotId slot);

  RolloutDaemon& daemon_;
  const TrainerSettings& trainer_;
  StepWork work_;
  std::vector<std::uint64_t> earlier_lengths_;
  std::function<void()> on_sample_;
  rollout::StepLedger ledger_;
  GroupEngineChooser chooser_;
  rollout::GroupPlacement placement_;
  std::map<StreamKey, Attempt> attempts_;
  std::set<core::SlotId> spares_started_;
  std::map<core::SlotId, rollout::Sample> finished_;  ///< still readable on the engines
  std::vector<std::uint64_t> finished_lengths_;
  std::vector<rollout::GroupProgress> finished_by_group_;
  double usual_length_ = 0;
  std::optional<core::MonotonicTime> first_start_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace stoneport::bench
