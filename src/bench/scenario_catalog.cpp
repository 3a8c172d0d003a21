/// \file
/// The scenarios and every assumption behind them.
///
/// Given by the users: halls, latencies, numbers of replicas, the size to come
/// (330 nodes, 600 replicas, 6,100 requests and 2 million tokens a second, two
/// trainers of 1,024 samples, weights on all replicas within 5 s), the length of
/// a step to come (4 minutes), the faults of an ordinary day (8 machine failures,
/// 100 replacements).
///
/// Assumed here, because engine counts and step times arrived incomplete:
/// - One replica is one engine.
/// - Abay's engines: 14 ms an iteration, 0.12 ms for each stream, 0.05 us for each
///   token of context, 10,000 tokens a second of prefill, 64 streams at once: a
///   model of about eight billion parameters on one accelerator.
/// - Prepaid's engines: 9 ms, 0.08 ms, 0.03 us, 16,000 tokens a second, 64
///   streams: about four billion parameters.
/// - Engines of the size to come: 8 ms, 0.05 ms, 0.006 us, 80,000 tokens a
///   second, 128 streams: eight accelerators a replica.
/// - Engines of one scenario differ by up to 10 % in speed.
/// - Lengths are log-normal with an upper end. Abay: median 450 tokens, deviation
///   of the logarithm 0.85, at most 4,096; prepaid: 220, 0.9, 2,048. Half of the
///   variance is common to the samples of one prompt.
/// - Abay's step: 128 prompts of 8 samples, prompts of 768 to 1,792 tokens of
///   which 512 are the same instructions. Prepaid's: 64 prompts of 8, 512 to 1,536
///   tokens, 384 the same.
/// - Training takes 60 s (abay) and 45 s (prepaid) a step, so that weights change
///   every two to three minutes. Abay opens a step when its weights are
///   published, with an age bound of 0; prepaid opens two steps ahead, with an age
///   bound of 2.
/// - Weights: 16 GB (abay), 8 GB (prepaid); the store gives 8 and 4 GB a second
///   over all readers, at most 4 and 2 to one engine. A switch stands still 0.8 s.
///   For the size to come the store is assumed to give 1,200 GB a second, 8 GB a
///   second to one engine, and a version's changed part to be 8 GB.
/// - Ordinary requests: 120 a second of 12 ms (median) to abay's database, 100 a
///   second of 15 ms to prepaid's desk, of which 30 % are not repeatable; a replica
///   works on two at a time. Completions beside the rollouts: 1 a second (abay), 12
///   (prepaid), 6,000 (the size to come, where they make the 2 million tokens).
/// - A token is four bytes of prompt text.
#include <cmath>

#include "bench/simulation/scenario.hpp"

namespace stoneport::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kSecondsPerDay = 86'400;
constexpr double kFaultRateFactor = 100;
constexpr double kMachineFailuresPerDay = 8;
constexpr double kReplacementsPerDay = 100;

EngineSettings abay_engine() {
  EngineSettings engine;
  engine.base_seconds = 0.014;
  engine.per_stream_seconds = 0.00012;
  engine.per_context_token_seconds = 5e-8;
  engine.prefill_tokens_per_second = 10'000;
  engine.max_running = 64;
  engine.kv_capacity_tokens = 300'000;
  engine.cache_capacity_tokens = 120'000;
  engine.switch_time = milliseconds(800);
  return engine;
}

EngineSettings prepaid_engine() {
  EngineSettings engine;
  engine.base_seconds = 0.009;
  engine.per_stream_seconds = 0.00008;
  engine.per_context_token_seconds = 3e-8;
  engine.prefill_tokens_per_second = 16'000;
  engine.max_running = 64;
  engine.kv_capacity_tokens = 300'000;
  engine.cache_capacity_tokens = 120'000;
  engine.switch_time = milliseconds(800);
  return engine;
}

EngineSettings large_engine() {
  EngineSettings engine;
  engine.base_seconds = 0.008;
  engine.per_stream_seconds = 0.00005;
  engine.per_context_token_seconds = 6e-9;
  engine.prefill_tokens_per_second = 80'000;
  engine.max_running = 128;
  engine.kv_capacity_tokens = 2'000'000;
  engine.cache_capacity_tokens = 200'000;
  engine.switch_time = milliseconds(300);
  return engine;
}

TrainerSettings abay_trainer(const std::string& event) {
  TrainerSettings trainer;
  trainer.event = event;
  trainer.tenant = "abay";
  trainer.prompts = 128;
  trainer.samples_per_prompt = 8;
  trainer.instruction_tokens = 512;
  trainer.prompt_tokens_least = 768;
  trainer.prompt_tokens_most = 1'792;
  trainer.length = {450, 0.85, 4'096, 0.5};
  trainer.age_bound = 0;
  trainer.steps_ahead = 0;
  trainer.train_time = seconds(60);
  trainer.over_sampling = 0.25;
  return trainer;
}

TrainerSettings prepaid_trainer(const std::string& event) {
  TrainerSettings trainer;
  trainer.event = event;
  trainer.tenant = "prepaid";
  trainer.prompts = 64;
  trainer.samples_per_prompt = 8;
  trainer.instruction_tokens = 384;
  trainer.prompt_tokens_least = 512;
  trainer.prompt_tokens_most = 1'536;
  trainer.length = {220, 0.9, 2'048, 0.5};
  trainer.age_bound = 2;
  trainer.steps_ahead = 2;
  trainer.train_time = seconds(45);
  trainer.over_sampling = 0.25;
  return trainer;
}

Scenario abay() {
  Scenario scenario;
  scenario.name = "abay";
  scenario.summary = "Abay today: 8 engines, 3 database replicas, a synchronous trainer";
  scenario.zones = {"bole-hall", "kaliti-hall", "sululta-hall"};
  scenario.latency = {microseconds(500), milliseconds(1)};
  scenario.engines = 8;
  scenario.engine = abay_engine();
  scenario.engine_speed_spread = 0.1;
  scenario.weights = {16, 8, 4};
  scenario.service.replicas = 3;
  scenario.service.workers = 2;
  scenario.service_traffic = {120, 0, 12, 0.8};
  scenario.completion_traffic = {1, 256, 256, 0.5, seconds(20), {180, 0.7, 1'024, 0}, 10};
  scenario.trainers = {abay_trainer("compounds")};
  scenario.caller_nodes = 12;
  scenario.length = minutes(40);
  return scenario;
}

Scenario prepaid() {
  Scenario scenario;
  scenario.name = "prepaid";
  scenario.summary = "Prepaid today: 9 engines, 4 desk replicas, a trainer two steps ahead";
  scenario.zones = {"bacolod-hall", "kabankalan-hall", "silay-hall"};
  scenario.latency = {microseconds(1'500), milliseconds(3)};
  scenario.engines = 9;
  scenario.engine = prepaid_engine();
  scenario.engine_speed_spread = 0.1;
  scenario.weights = {8, 4, 2};
  scenario.service.replicas = 4;
  scenario.service.workers = 2;
  scenario.service_traffic = {100, 0.3, 15, 0.8};
  scenario.completion_traffic = {12, 384, 192, 0.7, seconds(15), {90, 0.7, 512, 0}, 10};
  scenario.trainers = {prepaid_trainer("drafts")};
  scenario.caller_nodes = 16;
  scenario.length = minutes(40);
  return scenario;
}

Scenario event_start() {
  Scenario scenario = abay();
  scenario.name = "event-start";
  scenario.summary = "Four trainers, 32 cold engines and all callers arrive within one second";
  scenario.engines = 32;
  scenario.cold_engines = true;
  scenario.warm_up = seconds(60);
  scenario.weights = {16, 16, 4};
  scenario.service.replicas = 6;
  scenario.service_traffic.requests_per_second = 240;
  scenario.completion_traffic.requests_per_second = 4;
  scenario.caller_nodes = 60;
  scenario.trainers.clear();
  for (int index = 0; index < 4; ++index) {
    TrainerSettings trainer = abay_trainer("event-" + std::to_string(index));
    trainer.starts_at = milliseconds(250 * index);
    scenario.trainers.push_back(trainer);
  }
  scenario.length = minutes(10);
  return scenario;
}

Scenario faults() {
  Scenario scenario = prepaid();
  scenario.name = "faults";
  scenario.summary = "Prepaid with the faults of an ordinary day at 100 times their rate";
  const double failure_interval = kSecondsPerDay / (kMachineFailuresPerDay * kFaultRateFactor);
  const double replacement_interval = kSecondsPerDay / (kReplacementsPerDay * kFaultRateFactor);
  scenario.faults.engine_crash_interval = core::from_seconds(failure_interval);
  scenario.faults.switch_failure_probability = 0.05;
  scenario.faults.weight_store_outage_interval = minutes(5);
  scenario.faults.daemon_kill_interval = core::from_seconds(replacement_interval * 8);
  scenario.faults.service_crash_interval = core::from_seconds(failure_interval);
  scenario.faults.zone_loss_at = minutes(12);
  return scenario;
}

Scenario scale() {
  Scenario scenario;
  scenario.name = "scale";
  scenario.summary = "The size to come: 330 nodes, 600 replicas, 6,100 requests a second";
  scenario.zones = {"zone-a", "zone-b", "zone-c"};
  scenario.latency = {microseconds(500), milliseconds(1)};
  scenario.engines = 560;
  scenario.engine = large_engine();
  scenario.engine_speed_spread = 0.1;
  scenario.weights = {8, 1'200, 8};
  scenario.service.replicas = 40;
  scenario.service.workers = 2;
  scenario.service_traffic = {100, 0.3, 15, 0.8};
  scenario.completion_traffic = {6'000, 256, 256, 0.5, seconds(20), {255, 0.72, 2'048, 0}, 10};
  TrainerSettings first = abay_trainer("compounds");
  TrainerSettings second = prepaid_trainer("drafts");
  second.prompts = 128;
  first.train_time = second.train_time = seconds(30);
  scenario.trainers = {first, second};
  scenario.caller_nodes = 330;
  scenario.length = minutes(2);
  return scenario;
}

}  // namespace

const std::vector<Scenario>& scenario_catalog() {
  static const std::vector<Scenario> catalog = {abay(), prepaid(), event_start(), faults(),
                                                scale()};
  return catalog;
}

const Scenario* find_scenario(const std::string& name) {
  for (const Scenario& scenario : scenario_catalog()) {
    if (scenario.name == name) {
      return &scenario;
    }
  }
  return nullptr;
}

}  // namespace stoneport::bench
