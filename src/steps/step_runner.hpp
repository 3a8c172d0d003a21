/// \file
/// One step as its trainer sees it: long polls, acknowledgements and the end of
/// the step. Steps thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "rollout/step_report.hpp"
#include "steps/signal.hpp"
#include "steps/step_work.hpp"

namespace stoneport::steps {

/// Why a step is not worked on any more.
enum class StepStop {
  kCancelled,  ///< by its trainer
  kClosed,     ///< complete, and the trainer went on
  kFenced,     ///< another daemon owns it, or this one under a higher epoch
  kAbandoned,  ///< the trainer has not been heard for long
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

class StepRunner : public std::enable_shared_from_this<StepRunner> {
 public:
  StepRunner(StepContext& context, StepPlan plan, EventRules rules);

  /// Starts the sweeps. Generation starts at the first poll, which tells what
  /// the trainer holds already, or after the grace time.
  void start();

  /// Waits until there is something to hand over, the wait is over, a newer
  /// poll of the step has come, or the step stopped.
  /// \return kFenced or kNotFound once the step stopped.
  boost::asio::awaitable<core::Result<PollAnswer>> poll(PollRequest request);
  core::Result<void> acknowledge(const rollout::SlotBitmap& held);
  /// The trainer opened the step again: it may have lost what it held.
  void reopened();
  void stop(StepStop reason);

  const StepPlan& plan() const { return plan_; }
  std::optional<StepStop> stopped() const { return stopped_; }
  /// \return whether a leaving daemon need not wait for this step: nothing is
  /// left but a repeat of a lost answer, or the trainer is silent. Should it come
  /// back, it opens the step at the replacement.
  bool is_finished() const;
  bool all_held() { return work_->ledger().all_held(); }
  std::size_t running_attempts() const { return work_->running_attempts(); }
  rollout::StepReport report() const;

 private:
  // Tasks are handed the pointer that keeps this object: they may start later.
  static boost::asio::awaitable<void> sweep_until_stopped(std::shared_ptr<StepRunner> self);
  static boost::asio::awaitable<void> start_after_grace(std::shared_ptr<StepRunner> self);
  void sweep();
  void begin_once();
  void heard_of_trainer();
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
  std::optional<core::MonotonicTime> completed_at_;  ///< the last sample was handed over
  bool counted_complete_ = false;
  bool begun_ = false;
  std::optional<StepStop> stopped_;
};

}  // namespace stoneport::steps
