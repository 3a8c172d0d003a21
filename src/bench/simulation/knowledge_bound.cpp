#include "bench/simulation/knowledge_bound.hpp"

#include <algorithm>
#include <numeric>

#include "bench/simulation/workload.hpp"
#include "rollout/over_sampling.hpp"

namespace stoneport::bench {

namespace {

/// Seconds on an engine of speed 1.
struct StepCost {
  double alone = 0;
  double work = 0;
};

double context_seconds(const EngineSettings& engine, double prompt, double length) {
  return engine.per_context_token_seconds * (prompt * length + length * (length - 1) / 2);
}

StepCost cost_of(const Scenario& scenario, const TrainerSettings& trainer, const StepWork& work) {
  const EngineSettings& engine = scenario.engine;
  StepCost cost;
  const double shared_base = engine.base_seconds / engine.max_running;
  for (const PromptWork& prompt : work.prompts) {
    const double own_tokens = prompt.tokens - trainer.instruction_tokens;
    cost.work += own_tokens / engine.prefill_tokens_per_second;
    for (std::uint32_t sample = 0; sample < trainer.samples_per_prompt; ++sample) {
      const double length = prompt.lengths[sample];
      const double context = context_seconds(engine, prompt.tokens, length);
      const double alone = own_tokens / engine.prefill_tokens_per_second + context +
                           length * (engine.base_seconds + engine.per_stream_seconds);
      cost.alone = std::max(cost.alone, alone);
      cost.work += context + length * (shared_base + engine.per_stream_seconds);
    }
  }
  return cost;
}

/// Seconds from publication until each engine has the weights, the fastest
/// engine first.
std::vector<double> ready_times(const Scenario& scenario, std::size_t engines) {
  const WeightSettings& weights = scenario.weights;
  const double alone = weights.size_gigabytes / weights.engine_gigabytes_per_second;
  const double each = weights.size_gigabytes / weights.store_gigabytes_per_second;
  const double standstill = core::to_seconds(scenario.engine.switch_time);
  std::vector<double> ready;
  for (std::size_t index = 0; index < engines; ++index) {
    ready.push_back(standstill + std::max(alone, each * static_cast<double>(index + 1)));
  }
  return ready;
}

/// \return the least time by which engines that become ready at those times can
/// have done the work.
double time_for_work(double work, const std::vector<double>& ready,
                     const std::vector<double>& speeds) {
  double speed = 0;
  double started = 0;
  for (std::size_t index = 0; index < ready.size(); ++index) {
    speed += speeds[index];
    started += speeds[index] * ready[index];
    const double end = (work + started) / speed;
    const bool is_last = index + 1 == ready.size();
    if (is_last || end <= ready[index + 1]) {
      return end;
    }
  }
  return 0;
}

}  // namespace

double trainer_idle_bound(const Scenario& scenario, const TrainerSettings& trainer,
                          const std::vector<double>& engine_speeds, std::uint64_t seed) {
  std::vector<double> speeds = engine_speeds;
  std::sort(speeds.rbegin(), speeds.rend());
  const double total_speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
  const bool waits_for_weights = trainer.age_bound == 0;
  const std::vector<double> at_once(speeds.size(), 0);
  const std::vector<double> ready =
      waits_for_weights ? ready_times(scenario, speeds.size()) : at_once;
  const std::uint32_t spares =
      rollout::spare_count(trainer.samples_per_prompt, trainer.over_sampling);
  const double length = core::to_seconds(scenario.length);

  std::vector<double> train_ends;
  double idle = 0;
  double previous_end = 0;
  double work_so_far = 0;
  for (std::uint64_t step = 0; previous_end < length; ++step) {
    const StepWork work = draw_step(trainer, spares, seed, step);
    const StepCost cost = cost_of(scenario, trainer, work);
    const bool opens_at_start = step <= trainer.steps_ahead;
    const double opened = opens_at_start ? 0 : train_ends[step - trainer.steps_ahead - 1];
    // The first step finds its weights in place.
    const std::vector<double>& readiness = step == 0 ? at_once : ready;
    double done = opened + readiness.front() + cost.alone / speeds.front();
    if (waits_for_weights) {
      done = std::max(done, opened + time_for_work(cost.work, readiness, speeds));
    } else {
      work_so_far += cost.work;
      done = std::max(done, work_so_far / total_speed);
    }
    const double start = std::max(previous_end, done);
    idle += std::min(start, length) - std::min(previous_end, length);
    previous_end = start + core::to_seconds(work.train_time);
    train_ends.push_back(previous_end);
  }
  return idle / length;
}

}  // namespace stoneport::bench
