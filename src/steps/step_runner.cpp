#include "steps/step_runner.hpp"

#include <spdlog/spdlog.h>

#include "runtime/tasks.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
namespace {

/// How long a draining daemon waits, after handing over the last samples, for a trainer that may
/// need the response again.
constexpr core::Duration kRepeatWindow = std::chrono::seconds(2);

/// Time without a poll after which a draining daemon considers the trainer gone.
constexpr core::Duration kSilentTrainer = std::chrono::seconds(10);

const char* name_of(StepStopReason reason) {
  switch (reason) {
    case StepStopReason::kCancelled:
      return "cancelled";
    case StepStopReason::kClosed:
      return "closed";
    case StepStopReason::kFenced:
      return "fenced";
    case StepStopReason::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

}  // namespace

StepRunner::StepRunner(StepContext& context, StepPlan plan, EventRules rules)
    : context_(context),
      plan_(std::move(plan)),
      work_(std::make_shared<StepWork>(context, plan_, std::move(rules), listener())),
      changed_(context.dependencies.executor),
      last_heard_(context.now()),
      opened_at_(context.dependencies.time.wall_now()) {}

StepWork::Listener StepRunner::listener() {
  // Capturing this is safe: the work calls the listener only until it is stopped, and the sweeps
  // keep this object alive until stop() has been called.
  return StepWork::Listener{[this] { changed_.notify(); },
                            [this] { stop(StepStopReason::kFenced); }};
}

void StepRunner::start() {
  spdlog::info("step {}/{}: opened, epoch {}, {} prompts of {} samples{}", plan_.event.value(),
               plan_.step.value(), plan_.epoch.value(), plan_.content.prompts.size(),
               plan_.content.samples_per_prompt, plan_.taken_over ? ", taken over" : "");
  runtime::start(context_.dependencies.executor, "step sweeps",
                 sweep_until_stopped(shared_from_this()));
  runtime::start(context_.dependencies.executor, "step grace",
                 start_after_grace(shared_from_this()));
}

asio::awaitable<void> StepRunner::start_after_grace(std::shared_ptr<StepRunner> self) {
  co_await runtime::sleep_for(self->context_.settings().start_grace);
  self->begin_once();
  self->work_->resume_starts();
}

void StepRunner::begin_once() {
  if (begun_ || stopped_) {
    return;
  }
  begun_ = true;
  runtime::start(context_.dependencies.executor, "step work", StepWork::begin(work_));
}

asio::awaitable<void> StepRunner::sweep_until_stopped(std::shared_ptr<StepRunner> self) {
  while (!self->stopped_) {
    co_await runtime::sleep_for(self->context_.settings().sweep_interval);
    if (!self->stopped_) {
      self->sweep();
    }
  }
}

void StepRunner::sweep() {
  work_->sweep();
  const core::Duration silence = context_.now() - last_heard_;
  const core::Duration limit =
      work_->rules().parameters.step_deadline * context_.settings().abandon_after_deadlines;
  if (silence > limit) {
    stop(completed_at_ ? StepStopReason::kClosed : StepStopReason::kAbandoned);
  }
}

asio::awaitable<core::Result<PollAnswer>> StepRunner::poll(PollRequest request) {
  const auto self = shared_from_this();
  context_.metrics.polls.Increment();
  const std::uint64_t number = ++newest_poll_;
  const core::MonotonicTime end =
      context_.now() + std::min(request.wait, context_.settings().max_poll_wait);
  record_trainer_contact();
  work_->ledger().acknowledge(request.held);
  work_->resume_starts();
  changed_.notify();
  begin_once();
  while (true) {
    if (stopped_) {
      co_return stop_error();
    }
    if (number != newest_poll_) {
      context_.metrics.polls_replaced.Increment();
      PollAnswer replaced;
      replaced.epoch = plan_.epoch;
      co_return replaced;
    }
    PollAnswer answer = hand_over(request);
    const core::Duration left = end - context_.now();
    if (answer.complete || !answer.samples.empty() || left.count() <= 0) {
      co_return answer;
    }
    ++polls_waiting_;
    co_await changed_.wait_for(left);
    --polls_waiting_;
  }
}

PollAnswer StepRunner::hand_over(const PollRequest& request) {
  rollout::HandOverLimit limit;
  limit.samples = request.max_samples;
  rollout::HandOver handed = work_->ledger().hand_over(request.held, limit, work_->age_rule());
  record_trainer_contact();
  context_.metrics.samples_handed_over.Increment(static_cast<double>(handed.samples.size()));
  if (handed.complete) {
    note_completion();
  }
  PollAnswer answer;
  answer.epoch = plan_.epoch;
  answer.complete = handed.complete;
  answer.samples = std::move(handed.samples);
  return answer;
}

void StepRunner::note_completion() {
  completed_at_ = context_.now();
  if (counted_complete_) {
    return;
  }
  counted_complete_ = true;
  context_.metrics.steps_completed.Increment();
  work_->save_history();
  spdlog::info("step {}/{}: complete", plan_.event.value(), plan_.step.value());
}

core::Result<void> StepRunner::acknowledge(const rollout::SlotBitmap& held) {
  if (stopped_) {
    return stop_error();
  }
  record_trainer_contact();
  work_->ledger().acknowledge(held);
  if (work_->ledger().all_held()) {
    note_completion();
  }
  changed_.notify();
  return {};
}

void StepRunner::reopened() {
  record_trainer_contact();
  completed_at_.reset();
  // An earlier poll may list samples that the trainer has lost since.
  ++newest_poll_;
  changed_.notify();
  work_->ledger().forget_acknowledgements();
  work_->pause_starts();
  runtime::start(context_.dependencies.executor, "step grace",
                 start_after_grace(shared_from_this()));
}

void StepRunner::stop(StepStopReason reason) {
  if (stopped_) {
    return;
  }
  stopped_ = reason;
  spdlog::info("step {}/{}: {}", plan_.event.value(), plan_.step.value(), name_of(reason));
  switch (reason) {
    case StepStopReason::kCancelled:
      context_.metrics.steps_cancelled.Increment();
      work_->cancel();
      break;
    case StepStopReason::kClosed:
      work_->cancel();
      break;
    case StepStopReason::kFenced:
      context_.metrics.steps_fenced.Increment();
      work_->detach();
      break;
    case StepStopReason::kAbandoned:
      context_.metrics.steps_abandoned.Increment();
      work_->detach();
      break;
  }
  changed_.notify();
}

void StepRunner::record_trainer_contact() {
  last_heard_ = context_.now();
}

bool StepRunner::is_finished() const {
  if (stopped_ || work_->ledger().all_held()) {
    return true;
  }
  if (polls_waiting_ > 0) {
    return false;
  }
  const core::MonotonicTime now = context_.now();
  const bool is_complete = completed_at_ && now - *completed_at_ > kRepeatWindow;
  return is_complete || now - last_heard_ > kSilentTrainer;
}

rollout::StepReport StepRunner::report() const {
  rollout::StepReport report;
  report.event = plan_.event;
  report.step = plan_.step;
  report.epoch = plan_.epoch;
  report.samples_expected = plan_.content.shape().slot_count();
  report.samples_held = work_->ledger().held_count();
  report.samples_ready = work_->ledger().ready_count();
  report.running_attempts = work_->running_attempts();
  if (const auto oldest = work_->oldest_version()) {
    report.oldest_staleness = work_->age_rule().age_of(*oldest);
  }
  report.since = opened_at_;
  return report;
}

core::Error StepRunner::stop_error() const {
  if (stopped_ == StepStopReason::kFenced) {
    return core::make_error(core::ErrorCode::kFenced,
                            "the step has been taken over under a higher epoch");
  }
  return core::make_error(core::ErrorCode::kNotFound, "the step is not open on this daemon");
}

}  // namespace stoneport::steps
