/// \file
/// Trainer-facing side of one step: long polls, acknowledgements and the end of the step. Used on
/// the steps thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "rollout/step_report.hpp"
#include "steps/signal.hpp"
#include "steps/step_work.hpp"

namespace stoneport::steps {

/// Reason why work on a step has stopped.
enum class StepStopReason {
  kCancelled,  ///< cancelled by its trainer
  kClosed,     ///< complete, and the trainer opened a later step
  kFenced,     ///< owned by another daemon, or by this one under a higher epoch
  kAbandoned,  ///< no contact from the trainer for too long
};

struct PollRequest {
  rollout::SlotBitmap held;
  core::Epoch epoch_seen;
  core::Duration wait{};
  std::size_t max_samples = 64;
};

struct PollAnswer {
  core::Epoch epoch;
  bool complete = false;
  std::vector<rollout::Sample> samples;
};

/// Runs one step and answers its trainer's polls.
class StepRunner : public std::enable_shared_from_this<StepRunner> {
 public:
  StepRunner(StepContext& context, StepPlan plan, EventRules rules);

  /// Starts the periodic sweeps. Generation starts at the first poll, which lists the samples
  /// that the trainer already holds, or after the grace period.
  void start();

  /// Waits until there are samples to hand over, the wait time has passed, a newer poll of the
  /// step arrives, or the step stops.
  /// \return the samples, or kFenced or kNotFound once the step has stopped.
  boost::asio::awaitable<core::Result<PollAnswer>> poll(PollRequest request);
  core::Result<void> acknowledge(const rollout::SlotBitmap& held);
  /// Handles a reopening of the step by a trainer, which may have lost the samples it held.
  void reopened();
  void stop(StepStopReason reason);

  const StepPlan& plan() const { return plan_; }
  std::optional<StepStopReason> stopped() const { return stopped_; }
  /// \return whether a draining daemon need not wait for this step: only the repeat of a lost
  /// response could remain, or the trainer is silent. A trainer that returns later opens the step
  /// at the replacement.
  bool is_finished() const;
  bool all_held() { return work_->ledger().all_held(); }
  std::size_t running_attempts() const { return work_->running_attempts(); }
  rollout::StepReport report() const;

 private:
  // Tasks hold a pointer that keeps this object alive, because they may start later.
  static boost::asio::awaitable<void> sweep_until_stopped(std::shared_ptr<StepRunner> self);
  static boost::asio::awaitable<void> start_after_grace(std::shared_ptr<StepRunner> self);
  void sweep();
  void begin_once();
  void record_trainer_contact();
  void note_completion();
  PollAnswer hand_over(const PollRequest& request);
  core::Error stop_error() const;
  StepWork::Listener listener();

  StepContext& context_;
  const StepPlan plan_;
  std::shared_ptr<StepWork> work_;
  Signal changed_;
  std::uint64_t newest_poll_ = 0;
  std::uint32_t polls_waiting_ = 0;
  core::MonotonicTime last_heard_;
  const core::WallTime opened_at_;
  std::optional<core::MonotonicTime> completed_at_;  ///< when the last sample was handed over
  bool counted_complete_ = false;
  bool begun_ = false;
  std::optional<StepStopReason> stopped_;
};

}  // namespace stoneport::steps
