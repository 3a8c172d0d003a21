/// \file
/// A trainer: opens steps, polls for samples, trains, publishes. Counts what it
/// receives itself, so that the guarantees are judged by the receiver.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "bench/simulation/rollout_daemon.hpp"
#include "bench/simulation/simulated_step.hpp"

namespace stoneport::bench {

class SimulatedTrainer {
 public:
  using PublishHandler = std::function<void(core::WeightVersion)>;

  SimulatedTrainer(EventQueue& events, const TrainerSettings& settings, RolloutDaemon& daemon,
                   std::uint64_t seed, RunMetrics& metrics, PublishHandler on_publish);

  void start();
  /// The daemon died; another takes its place after \p takeover.
  void daemon_killed(core::Duration takeover);
  /// Closes the account at the end of the run.
  void account(core::MonotonicTime end);

 private:
  struct OpenStep {
    std::unique_ptr<SimulatedStep> step;
    rollout::SlotBitmap held;
    std::size_t held_count = 0;
    core::MonotonicTime opened_at{};
    bool poll_scheduled = false;
    bool complete = false;
  };

  void open_steps();
  void open_step(std::uint64_t number);
  void schedule_poll(std::uint64_t number);
  void poll(std::uint64_t number);
  void receive(OpenStep& open, const rollout::Sample& sample);
  void complete_step(OpenStep& open);
  void train_if_ready();
  void trained();
  std::vector<std::uint64_t> known_lengths() const;

  EventQueue& events_;
  const TrainerSettings& settings_;
  RolloutDaemon& daemon_;
  std::uint64_t seed_;
  RunMetrics& metrics_;
  PublishHandler on_publish_;
  core::WeightVersion current_{1};
  std::map<std::uint64_t, OpenStep> steps_;
  std::uint64_t next_to_open_ = 0;
  std::uint64_t next_to_train_ = 0;
  std::vector<std::uint64_t> last_lengths_;
  bool training_ = false;
  core::MonotonicTime started_at_{};
  core::MonotonicTime idle_since_{};
};

}  // namespace stoneport::bench
