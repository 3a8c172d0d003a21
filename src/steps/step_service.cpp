#include "steps/step_service.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/backoff.hpp"
#include "rollout/stream_name.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
using core::ErrorCode;
namespace {

constexpr core::BackoffSettings kEpochRetry{std::chrono::milliseconds(500),
                                            std::chrono::seconds(30)};

core::Error not_open() {
  return core::make_error(ErrorCode::kNotFound, "the step is not open on this daemon");
}

}  // namespace

StepService::StepService(StepDependencies dependencies) : context_(std::move(dependencies)) {}

void StepService::start() {
  runtime::start(context_.dependencies.executor, "steps epoch", acquire_epoch());
}

asio::awaitable<void> StepService::acquire_epoch() {
  std::uint32_t failures = 0;
  while (true) {
    const core::Result<core::Epoch> granted = co_await context_.dependencies.epochs.acquire();
    if (granted) {
      ownership_.grant(*granted);
      spdlog::info("steps: granted epoch {}", granted->value());
      co_return;
    }
    const core::Duration pause = core::backoff_delay(kEpochRetry, failures++, context_.random);
    co_await runtime::sleep_for(pause);
  }
}

asio::awaitable<core::Result<void>> StepService::publish(core::PolicyName policy,
                                                         core::WeightVersion version,
                                                         std::uint64_t size_bytes) {
  // Must come first: samples handed over from now on are checked against this version.
  context_.policies.observe(policy, version);
  co_return co_await context_.dependencies.policies.publish(std::move(policy), version, size_bytes);
}

core::Result<void> StepService::admit(const StepKey& key) const {
  const StepSettings& settings = context_.settings();
  if (!rollout::is_valid_event_name(key.event)) {
    return core::make_error(ErrorCode::kInvalidArgument,
                            "an event name must not be empty or contain '/'");
  }
  if (draining_) {
    return core::make_error(ErrorCode::kUnavailable, "this daemon is draining",
                            settings.retry_after);
  }
  if (runners_.size() >= settings.max_open_steps) {
    return core::make_error(ErrorCode::kRateLimited, "too many steps are open",
                            settings.retry_after);
  }
  return {};
}

core::Result<OpenAnswer> StepService::open(const StepKey& key, OpenRequest request) {
  forget_stopped();
  const std::optional<EventRules> rules = find_rules(context_.dependencies, key.event);
  if (!rules) {
    return core::make_error(ErrorCode::kNotFound, "the event does not exist");
  }
  context_.policies.observe(rules->parameters.policy, request.policy_version);
  const std::size_t expected = request.content.shape().slot_count();
  if (const auto runner = live(key)) {
    if (runner->plan().content != request.content) {
      return core::make_error(ErrorCode::kConflict,
                              "the step is already open with a different body");
    }
    if (request.epoch_seen <= runner->plan().epoch) {
      runner->reopened();
      return OpenAnswer{runner->plan().epoch, expected};
    }
    // Another daemon owned the step in the meantime, and the trainer returned to this one.
    fence(key);
  }
  if (const auto admitted = admit(key); !admitted) {
    return admitted.error();
  }
  close_completed_before(key);
  const rollout::EventOwnership::Opening opening = ownership_.open(key.event, request.epoch_seen);
  StepPlan plan{key.event, key.step, opening.epoch, opening.taken_over, std::move(request.content)};
  const auto runner = std::make_shared<StepRunner>(context_, std::move(plan), *rules);
  runners_[key] = runner;
  context_.metrics.steps_opened.Increment();
  context_.metrics.steps_open.Set(static_cast<double>(runners_.size()));
  runner->start();
  return OpenAnswer{opening.epoch, expected};
}

core::Result<std::shared_ptr<StepRunner>> StepService::find(const StepKey& key,
                                                            core::Epoch epoch_seen) {
  forget_stopped();
  const std::shared_ptr<StepRunner> runner = live(key);
  if (!runner) {
    return not_open();
  }
  if (epoch_seen > runner->plan().epoch) {
    return fence(key);
  }
  return runner;
}

core::Error StepService::fence(const StepKey& key) {
  forget(key, StepStopReason::kFenced);
  ownership_.mark_lost(key.event);
  return core::make_error(ErrorCode::kFenced, "the step has been taken over under a higher epoch");
}

void StepService::observe_version(const StepKey& key, core::WeightVersion version) {
  if (const auto rules = find_rules(context_.dependencies, key.event)) {
    context_.policies.observe(rules->parameters.policy, version);
  }
}

core::Result<void> StepService::cancel(const StepKey& key) {
  if (!live(key)) {
    return not_open();
  }
  forget(key, StepStopReason::kCancelled);
  return {};
}

std::shared_ptr<StepRunner> StepService::live(const StepKey& key) {
  const auto found = runners_.find(key);
  if (found == runners_.end() || found->second->stopped()) {
    return nullptr;
  }
  return found->second;
}

void StepService::close_completed_before(const StepKey& key) {
  std::vector<StepKey> completed;
  for (const auto& [other, runner] : runners_) {
    if (other.event == key.event && other.step < key.step && runner->all_held()) {
      completed.push_back(other);
    }
  }
  for (const StepKey& other : completed) {
    forget(other, StepStopReason::kClosed);
  }
}

void StepService::forget(const StepKey& key, StepStopReason reason) {
  const auto found = runners_.find(key);
  found->second->stop(reason);
  runners_.erase(found);
  context_.metrics.steps_open.Set(static_cast<double>(runners_.size()));
}

void StepService::forget_stopped() {
  std::erase_if(runners_, [this](const auto& entry) {
    const std::optional<StepStopReason> stopped = entry.second->stopped();
    const bool is_current = entry.second->plan().epoch == ownership_.epoch_of(entry.first.event);
    if (stopped == StepStopReason::kFenced && is_current) {
      ownership_.mark_lost(entry.first.event);
    }
    return stopped.has_value();
  });
  context_.metrics.steps_open.Set(static_cast<double>(runners_.size()));
}

std::vector<rollout::StepReport> StepService::reports() const {
  std::vector<rollout::StepReport> reports;
  for (const auto& [key, runner] : runners_) {
    if (!runner->stopped()) {
      reports.push_back(runner->report());
    }
  }
  return reports;
}

void StepService::begin_drain() {
  if (!draining_) {
    draining_ = true;
    spdlog::info("steps: draining, {} open", runners_.size());
  }
}

asio::awaitable<bool> StepService::wait_until_idle(core::Duration limit) {
  const core::MonotonicTime end = context_.now() + limit;
  while (true) {
    const bool is_idle = std::all_of(runners_.begin(), runners_.end(),
                                     [](const auto& entry) { return entry.second->is_finished(); });
    if (is_idle || context_.now() >= end) {
      co_return is_idle;
    }
    co_await runtime::sleep_for(context_.settings().sweep_interval);
  }
}

}  // namespace stoneport::steps
