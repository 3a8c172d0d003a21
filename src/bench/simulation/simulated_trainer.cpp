#include "bench/simulation/simulated_trainer.hpp"

#include "rollout/over_sampling.hpp"

namespace stoneport::bench {

namespace {
/// From the daemon beside the trainer, over a local connection.
constexpr core::Duration kLocalHop = std::chrono::microseconds(200);
}  // namespace

SimulatedTrainer::SimulatedTrainer(EventQueue& events, const TrainerSettings& settings,
                                   RolloutDaemon& daemon, std::uint64_t seed, RunMetrics& metrics,
                                   PublishHandler on_publish)
    : events_(events),
      settings_(settings),
      daemon_(daemon),
      seed_(seed),
      metrics_(metrics),
      on_publish_(std::move(on_publish)) {}

void SimulatedTrainer::start() {
  started_at_ = idle_since_ = events_.now();
  open_steps();
}

void SimulatedTrainer::open_steps() {
  while (next_to_open_ <= next_to_train_ + settings_.steps_ahead) {
    open_step(next_to_open_++);
  }
}

void SimulatedTrainer::open_step(std::uint64_t number) {
  // Spares are always drawn, so that the lengths of the slots do not depend on
  // whether a variant uses them.
  const std::uint32_t spares =
      rollout::spare_count(settings_.samples_per_prompt, settings_.over_sampling);
  StepWork work = draw_step(settings_, spares, seed_, number);
  const rollout::StepShape shape{settings_.prompts, settings_.samples_per_prompt};
  OpenStep open{nullptr, rollout::SlotBitmap(shape.slot_count())};
  open.opened_at = events_.now();
  open.step = std::make_unique<SimulatedStep>(daemon_, settings_, std::move(work), last_lengths_,
                                              [this, number] { schedule_poll(number); });
  SimulatedStep& step = *open.step;
  steps_.emplace(number, std::move(open));
  step.begin();
}

void SimulatedTrainer::schedule_poll(std::uint64_t number) {
  const auto found = steps_.find(number);
  if (found == steps_.end() || found->second.poll_scheduled) {
    return;
  }
  found->second.poll_scheduled = true;
  events_.after(kLocalHop, [this, number] { poll(number); });
}

void SimulatedTrainer::poll(std::uint64_t number) {
  const auto found = steps_.find(number);
  if (found == steps_.end()) {
    return;
  }
  OpenStep& open = found->second;
  open.poll_scheduled = false;
  if (daemon_.is_down()) {
    return;
  }
  const rollout::HandOver answer = open.step->hand_over(open.held);
  for (const rollout::Sample& sample : answer.samples) {
    receive(open, sample);
  }
  const bool all_held = open.held_count == open.held.size();
  if (answer.complete && !all_held) {
    metrics_.samples_lost += open.held.size() - open.held_count;
  }
  if (all_held && !open.complete) {
    complete_step(open);
  } else if (!all_held && open.step->has_news()) {
    schedule_poll(number);
  }
}

void SimulatedTrainer::receive(OpenStep& open, const rollout::Sample& sample) {
  const std::size_t index =
      rollout::StepShape{settings_.prompts, settings_.samples_per_prompt}.index_of(sample.slot);
  if (open.held.test(index)) {
    ++metrics_.samples_duplicate;
    return;
  }
  open.held.set(index);
  ++open.held_count;
  ++metrics_.samples_delivered;
  metrics_.rollout_tokens_delivered += sample.token_count;
  std::uint64_t spanned = 0;
  for (const rollout::VersionSpan& span : sample.spans) {
    spanned += span.token_count;
  }
  metrics_.spans_wrong += spanned == sample.token_count ? 0 : 1;
  const core::WeightVersion oldest = rollout::oldest_version(sample.spans);
  const std::uint64_t age = oldest < current_ ? current_.value() - oldest.value() : 0;
  metrics_.staleness.add(static_cast<double>(age));
  metrics_.samples_over_bound += age > settings_.age_bound ? 1 : 0;
}

void SimulatedTrainer::complete_step(OpenStep& open) {
  open.complete = true;
  ++metrics_.steps_completed;
  metrics_.step_seconds.add(core::to_seconds(events_.now() - open.opened_at));
  last_lengths_ = open.step->finished_lengths();
  daemon_.step_completed(events_.now() - open.step->first_start().value_or(open.opened_at));
  train_if_ready();
}

void SimulatedTrainer::train_if_ready() {
  const auto found = steps_.find(next_to_train_);
  if (training_ || found == steps_.end() || !found->second.complete) {
    return;
  }
  training_ = true;
  metrics_.trainer_idle_seconds += core::to_seconds(events_.now() - idle_since_);
  events_.after(found->second.step->work().train_time, [this] { trained(); });
}

void SimulatedTrainer::trained() {
  training_ = false;
  idle_since_ = events_.now();
  steps_.erase(next_to_train_);
  ++next_to_train_;
  current_ = current_.next();
  daemon_.observe(current_);
  for (auto& [number, open] : steps_) {
    open.step->sweep();
  }
  on_publish_(current_);
  open_steps();
  train_if_ready();
}

void SimulatedTrainer::daemon_killed(core::Duration takeover) {
  if (daemon_.is_down()) {
    return;
  }
  daemon_.set_down(true);
  events_.after(takeover, [this] {
    for (auto& [number, open] : steps_) {
      open.step->take_over(open.held);
    }
    daemon_.set_down(false);
    for (auto& [number, open] : steps_) {
      open.step->sweep();
      schedule_poll(number);
    }
  });
}

void SimulatedTrainer::account(core::MonotonicTime end) {
  if (!training_) {
    metrics_.trainer_idle_seconds += core::to_seconds(end - idle_since_);
  }
  metrics_.trainer_seconds += core::to_seconds(end - started_at_);
}

}  // namespace stoneport::bench
