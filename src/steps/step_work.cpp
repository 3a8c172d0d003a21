#include "steps/step_work.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <numeric>

#include "core/backoff.hpp"
#include "core/hash.hpp"
#include "rollout/freshness.hpp"
#include "rollout/over_sampling.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
using core::SlotId;
namespace {

/// Runs an unneeded attempt, which has already been cancelled, to its end.
asio::awaitable<void> run_unneeded(std::shared_ptr<Attempt> attempt) {
  co_await attempt->run();
}

}  // namespace

StepWork::StepWork(StepContext& context, StepPlan plan, EventRules rules, Listener listener)
    : context_(context),
      plan_(std::move(plan)),
      rules_(std::move(rules)),
      listener_(std::move(listener)),
      ledger_(plan_.content.shape()),
      chooser_(context, rules_.event_template.model, plan_.content.prompts),
      placement_(chooser_, {}),
      finished_groups_(ledger_.shape().prompts) {}

const EventRules& StepWork::rules() {
  if (auto in_force = find_rules(context_.dependencies, plan_.event)) {
    rules_ = std::move(*in_force);
  }
  return rules_;
}

rollout::AgeRule StepWork::age_rule() {
  const config::TenantParameters& parameters = rules().parameters;
  return {context_.policies.current(parameters.policy), parameters.age_bound};
}

asio::awaitable<void> StepWork::begin(std::shared_ptr<StepWork> self) {
  const StepPlan& plan = self->plan_;
  if (plan.taken_over) {
    co_await wait_for_engines(self);
    const std::vector<FoundStream> found =
        co_await find_streams(self->context_, self->rules_.event_template.model, plan.event,
                              plan.step, plan.content.digest());
    if (!self->stopped_) {
      self->adopt(found);
    }
  }
  self->begun_ = true;
  self->sweep();
}

asio::awaitable<void> StepWork::wait_for_engines(std::shared_ptr<StepWork> self) {
  StepContext& context = self->context_;
  const core::MonotonicTime limit = context.now() + context.settings().routing_timeout;
  const auto knows_engines = [&] {
    return !context.engines.all(self->rules_.event_template.model).empty();
  };
  while (!knows_engines() && !self->stopped_ && context.now() < limit) {
    co_await runtime::sleep_for(context.settings().sweep_interval);
  }
}

void StepWork::adopt(const std::vector<FoundStream>& found) {
  for (const FoundStream& stream : found) {
    const SlotId slot = stream.name.slot;
    if (slot.prompt >= ledger_.shape().prompts) {
      continue;
    }
    const bool is_taken = std::any_of(attempts_.begin(), attempts_.end(),
                                      [&](const auto& one) { return one.first.first == slot; });
    Attempt::Order order = order_for(slot, stream.name.attempt, stream.engine);
    order.name = stream.name;
    order.adopted = true;
    const auto attempt = std::make_shared<Attempt>(context_, std::move(order));
    if (is_taken || !is_needed(slot)) {
      attempt->cancel();
      context_.metrics.attempts_cancelled_unneeded.Increment();
      runtime::start(context_.dependencies.executor, "cancel found stream", run_unneeded(attempt));
      continue;
    }
    if (is_spare(slot)) {
      spares_started_.insert(slot);
    } else {
      ledger_.adopt_attempt(slot, stream.name.attempt);
    }
    context_.metrics.attempts_adopted.Increment();
    start_run(attempt);
  }
}

void StepWork::sweep() {
  if (stopped_ || !begun_) {
    return;
  }
  const rollout::AgeRule rule = age_rule();
  const std::size_t discarded = ledger_.discard_too_old(rule);
  context_.metrics.samples_too_old.Increment(static_cast<double>(discarded));
  end_unneeded();
  end_too_old(rule);
  start_idle();
  if (context_.now() >= next_straggler_check_) {
    next_straggler_check_ = context_.now() + context_.settings().straggler_interval;
    handle_stragglers();
  }
}

bool StepWork::group_is_open(std::uint32_t prompt) const {
  for (std::uint32_t sample = 0; sample < ledger_.shape().samples_per_prompt; ++sample) {
    if (ledger_.is_missing(SlotId{prompt, sample})) {
      return true;
    }
  }
  return false;
}

bool StepWork::is_needed(SlotId slot) const {
  return is_spare(slot) ? group_is_open(slot.prompt) : ledger_.is_missing(slot);
}

std::optional<core::WeightVersion> StepWork::oldest_version() const {
  std::optional<core::WeightVersion> oldest = ledger_.oldest_ready();
  for (const auto& [key, attempt] : attempts_) {
    const auto own = attempt->content().oldest();
    if (own && (!oldest || *own < *oldest)) {
      oldest = own;
    }
  }
  return oldest;
}

void StepWork::end_unneeded() {
  for (const auto& [key, attempt] : attempts_) {
    if (!attempt->is_stopping() && !is_needed(key.first)) {
      attempt->cancel();
      context_.metrics.attempts_cancelled_unneeded.Increment();
    }
  }
}

void StepWork::end_too_old(const rollout::AgeRule& rule) {
  for (const auto& [key, attempt] : attempts_) {
    const auto oldest = attempt->content().oldest();
    if (!attempt->is_stopping() && oldest && !rule.allows(*oldest)) {
      attempt->cancel();
      context_.metrics.attempts_cancelled_too_old.Increment();
      if (!rule.allows(attempt->content().spans().back().version)) {
        // The engine still generates tokens that are too old, whatever its last report says.
        context_.engines.record_refusal(attempt->engine().id, std::nullopt);
      }
    }
  }
}

std::vector<SlotId> StepWork::wanted_slots() {
  std::vector<SlotId> wanted =
      rollout::order_by_expected_length(ledger_.idle_slots(), group_progress(), usual_length());
  const rollout::StepShape shape = ledger_.shape();
  const std::uint32_t spares =
      rollout::spare_count(shape.samples_per_prompt, rules_.event_template.over_sampling);
  for (std::uint32_t prompt = 0; spares > 0 && prompt < shape.prompts; ++prompt) {
    for (std::uint32_t spare = 0; spare < spares; ++spare) {
      const SlotId slot{prompt, shape.samples_per_prompt + spare};
      if (!spares_started_.contains(slot) && group_is_open(prompt)) {
        wanted.push_back(slot);
      }
    }
  }
  const core::MonotonicTime now = context_.now();
  std::erase_if(wanted, [&](SlotId slot) {
    const auto pause = pauses_.find(slot);
    return pause != pauses_.end() && now < pause->second.until;
  });
  return wanted;
}

std::vector<rollout::GroupProgress> StepWork::group_progress() const {
  std::vector<rollout::GroupProgress> groups = finished_groups_;
  for (const auto& [key, attempt] : attempts_) {
    groups[key.first.prompt].tokens += attempt->content().token_count();
  }
  return groups;
}

double StepWork::usual_length() {
  const std::vector<std::uint64_t>& lengths = context_.events[plan_.event].lengths;
  const double sum = std::accumulate(lengths.begin(), lengths.end(), 0.0);
  return lengths.empty() ? 0 : sum / static_cast<double>(lengths.size());
}

void StepWork::start_idle() {
  if (starts_paused_) {
    return;
  }
  const rollout::AgeRule rule = age_rule();
  const EventHistory& history = context_.events[plan_.event];
  for (const SlotId slot : wanted_slots()) {
    if (history.in_flight >= rules_.parameters.concurrency) {
      return;
    }
    if (!start_attempt(slot, rule)) {
      context_.metrics.placements_deferred.Increment();
      return;
    }
  }
}

bool StepWork::start_attempt(SlotId slot, const rollout::AgeRule& rule) {
  const core::ModelName& model = rules_.event_template.model;
  rollout::PlacementInput input;
  input.prompt = slot.prompt;
  input.candidates = context_.engines.candidates(model);
  input.rule = rule;
  input.now = context_.now();
  input.expected_run = context_.events[plan_.event].run_length;
  if (should_wait_for_fresh(rule)) {
    std::erase_if(input.candidates, [&](const rollout::EngineCandidate& candidate) {
      return candidate.version && *candidate.version < rule.current;
    });
  }
  const auto chosen =
      placement_.place(input, context_.policies.publication_rate(rules_.parameters.policy));
  if (!chosen) {
    return false;
  }
  const auto engine = context_.engines.find(model, *chosen);
  std::uint32_t number = 1;
  if (is_spare(slot)) {
    spares_started_.insert(slot);
  } else {
    number = ledger_.begin_attempt(slot);
  }
  context_.metrics.attempts_started.Increment();
  start_run(std::make_shared<Attempt>(context_, order_for(slot, number, *engine)));
  return true;
}

bool StepWork::should_wait_for_fresh(const rollout::AgeRule& rule) {
  const EventHistory& history = context_.events[plan_.event];
  rollout::FreshnessInput input;
  input.untrained_steps = history.untrained_steps(rule.current);
  input.expected_step = history.step_length;
  input.now = context_.now();
  return rollout::should_wait_for_fresh(
      input, context_.policies.publication_rate(rules_.parameters.policy));
}

Attempt::Order StepWork::order_for(SlotId slot, std::uint32_t number, routing::Replica engine) {
  Attempt::Order order;
  order.name.event = plan_.event;
  order.name.step = plan_.step;
  order.name.slot = slot;
  order.name.attempt = number;
  order.name.epoch = plan_.epoch;
  order.name.content = plan_.content.digest();
  order.name.owner = context_.owner;
  order.engine = std::move(engine);
  order.deadline = context_.now() + rules_.parameters.step_deadline;
  ports::GenerationRequest& request = order.request;
  request.model = rules_.event_template.model;
  request.prompt = plan_.content.prompts[slot.prompt];
  request.max_tokens = rules_.event_template.max_tokens;
  request.priority = rules_.parameters.priority;
  request.temperature = rules_.event_template.temperature;
  // All engines accept 32-bit seeds, but not all accept wider ones.
  request.seed = static_cast<std::uint32_t>(
      core::hash64(rollout::to_stream_id(order.name).value(), context_.dependencies.seed));
  request.epoch = plan_.epoch;
  return order;
}

void StepWork::start_run(std::shared_ptr<Attempt> attempt) {
  ++context_.events[plan_.event].in_flight;
  first_start_ = first_start_ ? first_start_ : context_.now();
  attempts_[{attempt->slot(), attempt->name().attempt}] = attempt;
  runtime::start(context_.dependencies.executor, "attempt",
                 run_attempt(shared_from_this(), std::move(attempt)));
}

asio::awaitable<void> StepWork::run_attempt(std::shared_ptr<StepWork> self,
                                            std::shared_ptr<Attempt> attempt) {
  // The caller may be iterating over the attempts.
  co_await asio::post(asio::use_awaitable);
  const AttemptOutcome end = co_await attempt->run();
  --self->context_.events[self->plan_.event].in_flight;
  if (end == AttemptOutcome::kFinished && !self->stopped_) {
    co_await self->finish(attempt);
  } else {
    self->attempt_failed(*attempt, end);
  }
  self->attempt_ended(*attempt, end);
}

void StepWork::attempt_ended(const Attempt& attempt, AttemptOutcome end) {
  attempts_.erase({attempt.slot(), attempt.name().attempt});
  if (end == AttemptOutcome::kFenced && !stopped_) {
    spdlog::warn("step {}/{}: fenced by an engine, epoch {}", plan_.event.value(),
                 plan_.step.value(), plan_.epoch.value());
    listener_.on_fenced();
  }
  sweep();
}

void StepWork::attempt_failed(const Attempt& attempt, AttemptOutcome end) {
  if (!is_spare(attempt.slot())) {
    ledger_.abandon_attempt(attempt.slot());
  }
  switch (end) {
    case AttemptOutcome::kRefused:
      context_.metrics.attempts_refused.Increment();
      placement_.forget(attempt.slot().prompt);
      return;  // the engine is closed during its backoff; the slot may go elsewhere now
    case AttemptOutcome::kDefective:
      context_.metrics.samples_unfit.Increment();
      break;
    case AttemptOutcome::kFailed:
      context_.metrics.attempts_failed.Increment();
      placement_.forget(attempt.slot().prompt);
      break;
    case AttemptOutcome::kFinished:
    case AttemptOutcome::kFenced:
    case AttemptOutcome::kCancelled:
      return;
  }
  Pause& pause = pauses_[attempt.slot()];
  pause.until = context_.now() +
                core::backoff_delay(context_.settings().backoff, pause.failures++, context_.random);
}

asio::awaitable<void> StepWork::finish(std::shared_ptr<Attempt> attempt) {
  note_run_length(*attempt);
  std::string prompt = plan_.content.prompts[attempt->slot().prompt];
  std::string completion = attempt->content().text();
  const std::optional<double> scored = co_await score(std::move(prompt), std::move(completion));
  const bool is_wanted = scored && !stopped_ && !attempt->is_stopping();
  if (!is_wanted) {
    attempt_failed(*attempt, AttemptOutcome::kCancelled);
    co_return;
  }
  if (record_sample(*attempt, *scored)) {
    listener_.on_sample();
  }
}

std::optional<SlotId> StepWork::slot_for(const Attempt& attempt) const {
  if (!is_spare(attempt.slot())) {
    return attempt.slot();
  }
  std::vector<rollout::OpenSlot> open;
  for (std::uint32_t sample = 0; sample < ledger_.shape().samples_per_prompt; ++sample) {
    const SlotId slot{attempt.slot().prompt, sample};
    if (!ledger_.is_missing(slot)) {
      continue;
    }
    rollout::OpenSlot one{slot, 0, ledger_.running_attempts(slot) > 0};
    for (const auto& [key, other] : attempts_) {
      if (key.first == slot) {
        one.tokens_so_far = std::max(one.tokens_so_far, other->content().token_count());
      }
    }
    open.push_back(one);
  }
  return rollout::slot_for_spare(open);
}

bool StepWork::record_sample(const Attempt& attempt, double score) {
  const std::optional<SlotId> slot = slot_for(attempt);
  if (!slot) {
    context_.metrics.samples_duplicate.Increment();
    return false;
  }
  rollout::Sample sample;
  sample.slot = *slot;
  sample.text = attempt.content().text();
  sample.token_count = attempt.content().token_count();
  sample.spans = attempt.content().spans();
  sample.score = score;
  sample.engine = attempt.engine().id;
  const rollout::AgeRule rule = age_rule();
  const rollout::FinishOutcome outcome = is_spare(attempt.slot())
                                             ? ledger_.finish_spare(std::move(sample), rule)
                                             : ledger_.finish_attempt(std::move(sample), rule);
  switch (outcome) {
    case rollout::FinishOutcome::kAccepted:
      context_.metrics.samples_accepted.Increment();
      finished_lengths_.push_back(attempt.content().token_count());
      finished_groups_[attempt.slot().prompt].tokens += attempt.content().token_count();
      ++finished_groups_[attempt.slot().prompt].finished;
      return true;
    case rollout::FinishOutcome::kDuplicate:
      context_.metrics.samples_duplicate.Increment();
      return false;
    case rollout::FinishOutcome::kTooOld:
      context_.metrics.samples_too_old.Increment();
      return false;
  }
  return false;
}

void StepWork::note_run_length(const Attempt& attempt) {
  constexpr double kNewestWeight = 0.1;
  core::Duration& known = context_.events[plan_.event].run_length;
  const core::Duration length = context_.now() - attempt.started_at();
  known = known.count() == 0 ? length
                             : core::from_seconds(kNewestWeight * core::to_seconds(length) +
                                                  (1 - kNewestWeight) * core::to_seconds(known));
}

void StepWork::save_history() {
  constexpr double kNewestWeight = 0.5;
  EventHistory& history = context_.events[plan_.event];
  const double length = core::to_seconds(context_.now() - first_start_.value_or(context_.now()));
  const double known = core::to_seconds(history.step_length);
  history.step_length =
      core::from_seconds(known > 0 ? kNewestWeight * length + (1 - kNewestWeight) * known : length);
  if (history.steps_completed == 0) {
    history.counted_from = age_rule().current;
  }
  ++history.steps_completed;
  if (!finished_lengths_.empty()) {
    context_.events[plan_.event].lengths = finished_lengths_;
  }
}

void StepWork::cancel() {
  stopped_ = true;
  for (const auto& [key, attempt] : attempts_) {
    attempt->cancel();
  }
}

void StepWork::detach() {
  stopped_ = true;
  for (const auto& [key, attempt] : attempts_) {
    attempt->detach();
  }
}

}  // namespace stoneport::steps
