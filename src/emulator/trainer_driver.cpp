#include "emulator/trainer_driver.hpp"

#include <algorithm>

#include "core/json_text.hpp"
#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using core::ErrorCode;
using nlohmann::json;

constexpr core::Duration kRetryPause = std::chrono::milliseconds(100);
constexpr core::Duration kLongestRetryPause = std::chrono::seconds(1);
/// Beyond the poll's own wait.
constexpr core::Duration kCallTimeout = std::chrono::seconds(10);

core::Duration retry_pause(const http::ResponseHead& head) {
  const auto text = head.headers.find("Retry-After");
  if (!text) {
    return kRetryPause;
  }
  const double seconds = std::strtod(std::string(*text).c_str(), nullptr);
  return std::clamp(core::from_seconds(seconds), kRetryPause, kLongestRetryPause);
}

std::string steps_path(const TrainerRun& run) {
  return "/v1/events/" + http::percent_encode(run.event) + "/steps";
}

}  // namespace

TrainerDriver::TrainerDriver(asio::any_io_executor executor, std::string name, core::Address daemon,
                             WeightSource& weights, const GroundTruth& truth,
                             const ModelClock& clock, core::Metrics& metrics)
    : executor_(executor),
      name_(std::move(name)),
      daemon_(std::move(daemon)),
      weights_(weights),
      truth_(truth),
      clock_(clock),
      client_(executor, "trainer", metrics) {}

core::Result<void> TrainerDriver::start(TrainerRun run) {
  if (running_) {
    return core::make_error(ErrorCode::kConflict, "a run goes on");
  }
  running_ = true;
  stopping_ = false;
  publish_requested_ = false;
  switches_.age_bound = run.age_bound;
  ledger_ = std::make_unique<TrainerLedger>(run, truth_);
  runtime::start(executor_, "trainer " + name_, run_all(std::move(run)));
  return {};
}

void TrainerDriver::set_switches(const TrainerSwitches& switches) {
  switches_ = switches;
  if (ledger_) {
    ledger_->set_age_bound(switches.age_bound);
  }
}

TrainerReport TrainerDriver::report() const {
  return ledger_ ? ledger_->summary() : TrainerReport{};
}

asio::awaitable<void> TrainerDriver::run_all(TrainerRun run) {
  core::Result<void> outcome;
  for (std::uint32_t index = 0; outcome && index < run.steps; ++index) {
    outcome = co_await run_step(run, run.first_step + index);
    const bool more = outcome && index + 1 < run.steps;
    if (more && run.publish_between_steps) {
      co_await publish_next(run, time_.now() + run.step_timeout);
    }
    if (more && run.train_duration > core::Duration::zero()) {
      const double seconds = core::to_seconds(run.train_duration) / clock_.scale();
      co_await runtime::sleep_for(core::from_seconds(seconds));
    }
  }
  ledger_->report().state = outcome ? "finished" : "failed";
  ledger_->report().error = outcome ? "" : outcome.error().message;
  running_ = false;
}

asio::awaitable<core::Result<void>> TrainerDriver::run_step(const TrainerRun& run,
                                                            std::uint64_t step) {
  const core::MonotonicTime begin = time_.now();
  const core::MonotonicTime model_begin = clock_.now();
  const core::MonotonicTime deadline = begin + run.step_timeout;
  prompts_ = step_prompts(run, step);
  step_version_ = ledger_->report().current_version;
  ledger_->begin_step(prompts_);
  core::Result<void> outcome = co_await open_step(run, step, deadline);
  bool published = run.publish_after_samples == 0;
  while (outcome && !ledger_->complete()) {
    outcome = co_await poll(run, step, deadline);
    const bool due = !published && ledger_->held() >= run.publish_after_samples;
    if (due || publish_requested_) {
      published = published || due;
      publish_requested_ = false;
      co_await publish_next(run, deadline);
    }
  }
  StepReport done{step, core::to_seconds(time_.now() - begin),
                  core::to_seconds(clock_.now() - model_begin), ledger_->held()};
  ledger_->report().idle_seconds += done.seconds;
  ledger_->report().idle_model_seconds += done.model_seconds;
  ledger_->report().steps_done += outcome ? 1 : 0;
  ledger_->report().steps.push_back(done);
  if (outcome) {
    // Tells the daemon that every slot is held; a lost answer does no harm.
    const core::Result<void> acknowledged = co_await poll(run, step, time_.now() + kCallTimeout);
    ledger_->report().failed_calls += acknowledged ? 0 : 1;
  } else {
    co_await cancel_step(run, step);
  }
  co_return outcome;
}

asio::awaitable<void> TrainerDriver::cancel_step(const TrainerRun& run, std::uint64_t step) {
  const std::string target = steps_path(run) + "/" + std::to_string(step);
  const core::MonotonicTime deadline = time_.now() + kCallTimeout;
  const Call cancelled = co_await call("DELETE", target, "", deadline);
  ledger_->report().steps_cancelled += cancelled.outcome == CallOutcome::kDone ? 1 : 0;
}

asio::awaitable<core::Result<void>> TrainerDriver::open_step(const TrainerRun& run,
                                                             std::uint64_t step,
                                                             core::MonotonicTime deadline) {
  for (;;) {
    const core::Result<void> going_on = check_going_on(deadline);
    if (!going_on) {
      co_return going_on;
    }
    json body = {{"step", step},
                 {"policy_version", step_version_.value()},
                 {"prompts", prompts_},
                 {"samples_per_prompt", run.samples_per_prompt},
                 {"epoch_seen", ledger_->report().epoch_seen}};
    const Call opened = co_await call("POST", steps_path(run), core::write_json(body), deadline);
    if (opened.outcome == CallOutcome::kRefused) {
      co_return core::make_error(ErrorCode::kProtocol, "open: " + refusal_);
    }
    if (opened.outcome == CallOutcome::kStepUnknown) {
      // The event may not be in force there yet.
      co_await runtime::sleep_for(kRetryPause);
    }
    if (opened.outcome != CallOutcome::kDone) {
      continue;
    }
    const auto answer = parse_json<OpenAnswer>(opened.body, UnknownKeys::kIgnore);
    if (!answer || answer->samples_expected != ledger_->expected()) {
      co_return core::make_error(ErrorCode::kProtocol, "open: answer " + opened.body);
    }
    if (ledger_->accept_epoch(answer->epoch)) {
      co_return core::Result<void>{};
    }
  }
}

asio::awaitable<core::Result<void>> TrainerDriver::poll(const TrainerRun& run, std::uint64_t step,
                                                        core::MonotonicTime deadline) {
  const core::Result<void> going_on = check_going_on(deadline);
  if (!going_on) {
    co_return going_on;
  }
  const auto wait_ms = static_cast<std::uint64_t>(core::to_seconds(run.poll_wait) * 1000);
  json body = {{"held", ledger_->held_bitmap()},
               {"epoch_seen", ledger_->report().epoch_seen},
               {"policy_version", ledger_->report().current_version.value()},
               {"wait_ms", wait_ms},
               {"max_samples", run.max_samples}};
  const std::string target = steps_path(run) + "/" + std::to_string(step) + "/poll";
  const core::MonotonicTime call_deadline =
      std::min(deadline, time_.now() + run.poll_wait + kCallTimeout);
  const Call polled = co_await call("POST", target, core::write_json(body), call_deadline);
  if (polled.outcome == CallOutcome::kStepUnknown && ledger_->complete()) {
    co_return core::Result<void>{};
  }
  if (polled.outcome == CallOutcome::kStepUnknown) {
    ++ledger_->report().steps_opened_again;
    co_return co_await open_step(run, step, deadline);
  }
  if (polled.outcome == CallOutcome::kRefused) {
    co_return core::make_error(ErrorCode::kProtocol, "poll: " + refusal_);
  }
  const bool lost = polled.outcome == CallOutcome::kDone && switches_.lost_poll_answers > 0;
  if (lost) {
    --switches_.lost_poll_answers;
    ++ledger_->report().lost_poll_answers;
    co_return core::Result<void>{};
  }
  if (polled.outcome == CallOutcome::kDone) {
    const auto answer = parse_json<PollAnswer>(polled.body, UnknownKeys::kIgnore);
    if (!answer) {
      co_return core::make_error(ErrorCode::kProtocol, "poll: " + answer.error().message);
    }
    take_answer(*answer);
  }
  co_return core::Result<void>{};
}

void TrainerDriver::take_answer(const PollAnswer& answer) {
  if (!ledger_->accept_epoch(answer.epoch)) {
    return;
  }
  for (const DeliveredSample& sample : answer.samples) {
    ledger_->take(sample);
  }
  if (answer.complete && !ledger_->complete()) {
    ++ledger_->report().false_completions;
  }
}

asio::awaitable<void> TrainerDriver::publish_next(const TrainerRun& run,
                                                  core::MonotonicTime deadline) {
  const core::WeightVersion next = ledger_->report().current_version.next();
  weights_.publish(run.policy, next, run.weight_bytes);
  const std::string target =
      "/v1/policies/" + http::percent_encode(run.policy.value()) + "/versions";
  while (check_going_on(deadline)) {
    json body = {{"version", next.value()}, {"size_bytes", run.weight_bytes}};
    const Call published = co_await call("POST", target, core::write_json(body), deadline);
    if (published.outcome == CallOutcome::kDone) {
      ledger_->set_current_version(next);
      ++ledger_->report().versions_published;
      co_return;
    }
    if (published.outcome == CallOutcome::kRefused) {
      co_await runtime::sleep_for(kRetryPause);
    }
  }
}

asio::awaitable<TrainerDriver::Call> TrainerDriver::call(std::string method, std::string target,
                                                         std::string body,
                                                         core::MonotonicTime deadline) {
  http::Request request;
  request.head.method = std::move(method);
  request.head.target = std::move(target);
  request.head.headers.set("Content-Type", "application/json");
  request.body = std::move(body);
  http::SendOptions options;
  options.deadline = deadline;
  auto answer = co_await client_.fetch(daemon_, std::move(request), options);
  Call done;
  if (!answer) {
    ++ledger_->report().failed_calls;
    co_await runtime::sleep_for(kRetryPause);
    co_return done;
  }
  done.body = std::move(answer->body);
  const unsigned status = answer->head.status;
  if (status == 200 || status == 204) {
    done.outcome = CallOutcome::kDone;
  } else if (status == 404) {
    done.outcome = CallOutcome::kStepUnknown;
  } else if (status == 409 || status == 429 || status >= 500) {
    ++ledger_->report().failed_calls;
    co_await runtime::sleep_for(retry_pause(answer->head));
  } else {
    done.outcome = CallOutcome::kRefused;
    refusal_ = std::to_string(status) + " " + done.body;
  }
  co_return done;
}

core::Result<void> TrainerDriver::check_going_on(core::MonotonicTime deadline) const {
  if (stopping_) {
    return core::make_error(ErrorCode::kCancelled, "stopped");
  }
  if (time_.now() >= deadline) {
    return core::make_error(ErrorCode::kDeadlineExceeded, "the step timed out");
  }
  return {};
}

}  // namespace stoneport::emulator
