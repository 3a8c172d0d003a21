/// \file
/// What the emulated trainer is told, what it reports, and what it exchanges
/// with its daemon (the trainers' part of docs/API.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/engine_messages.hpp"
#include "emulator/json_fields.hpp"

namespace stoneport::emulator {

/// One run: some steps of one event.
struct TrainerRun {
  std::string event;
  core::PolicyName policy;
  std::uint64_t first_step = 1;
  std::uint32_t steps = 1;
  std::uint32_t prompts = 8;  ///< made up from the seed, unless given
  std::vector<std::string> prompt_texts;
  std::uint32_t prompt_bytes = 1024;        ///< of a made up prompt
  std::uint32_t shared_prefix_bytes = 512;  ///< that all made up prompts begin with
  std::uint32_t samples_per_prompt = 8;
  core::WeightVersion first_version{1};  ///< the trainer's current one at the start
  std::uint32_t age_bound = 1;
  /// Publishes the next version once that many samples of a step are held; 0: never.
  std::uint32_t publish_after_samples = 0;
  bool publish_between_steps = true;
  std::uint64_t weight_bytes = 1'000'000'000;
  core::Duration train_duration{};  ///< between steps, model time
  core::Duration poll_wait = std::chrono::milliseconds(2000);
  std::uint32_t max_samples = 256;                          ///< in one answer
  core::Duration step_timeout = std::chrono::seconds(240);  ///< real time; then the run fails
  std::uint64_t seed = 1;
};

template <class Visitor>
void visit_fields(Visitor& visitor, TrainerRun& run) {
  visitor("event", run.event);
  visitor("policy", run.policy);
  visitor("first_step", run.first_step);
  visitor("steps", run.steps);
  visitor("prompts", run.prompts);
  visitor("prompt_texts", run.prompt_texts);
  visitor("prompt_bytes", run.prompt_bytes);
  visitor("shared_prefix_bytes", run.shared_prefix_bytes);
  visitor("samples_per_prompt", run.samples_per_prompt);
  visitor("first_version", run.first_version);
  visitor("age_bound", run.age_bound);
  visitor("publish_after_samples", run.publish_after_samples);
  visitor("publish_between_steps", run.publish_between_steps);
  visitor("weight_bytes", run.weight_bytes);
  visitor("train_duration_ms", run.train_duration);
  visitor("poll_wait_ms", run.poll_wait);
  visitor("max_samples", run.max_samples);
  visitor("step_timeout_ms", run.step_timeout);
  visitor("seed", run.seed);
}

/// What can be changed while a run goes on.
struct TrainerSwitches {
  std::uint32_t age_bound = 1;  ///< that samples are checked against from now on
  /// Answers to polls that the trainer loses, as with a connection cut in time.
  std::uint32_t lost_poll_answers = 0;
};

template <class Visitor>
void visit_fields(Visitor& visitor, TrainerSwitches& switches) {
  visitor("age_bound", switches.age_bound);
  visitor("lost_poll_answers", switches.lost_poll_answers);
}

/// One sample as the daemon hands it over.
struct DeliveredSample {
  std::uint32_t prompt = 0;
  std::uint32_t sample = 0;
  std::string text;
  std::uint64_t token_count = 0;
  std::vector<VersionSpan> spans;
  std::optional<double> score;
  std::string engine;
  std::uint32_t attempts = 0;
};

template <class Visitor>
void visit_fields(Visitor& visitor, DeliveredSample& sample) {
  visitor("prompt", sample.prompt);
  visitor("sample", sample.sample);
  visitor("text", sample.text);
  visitor("token_count", sample.token_count);
  visitor("spans", sample.spans);
  visitor("score", sample.score);
  visitor("engine", sample.engine);
  visitor("attempts", sample.attempts);
}

struct PollAnswer {
  std::uint64_t epoch = 0;
  bool complete = false;
  std::vector<DeliveredSample> samples;
};

template <class Visitor>
void visit_fields(Visitor& visitor, PollAnswer& answer) {
  visitor("epoch", answer.epoch);
  visitor("complete", answer.complete);
  visitor("samples", answer.samples);
}

struct OpenAnswer {
  std::uint64_t epoch = 0;
  std::uint64_t samples_expected = 0;
};

template <class Visitor>
void visit_fields(Visitor& visitor, OpenAnswer& answer) {
  visitor("epoch", answer.epoch);
  visitor("samples_expected", answer.samples_expected);
}

struct StepReport {
  std::uint64_t step = 0;
  double seconds = 0;        ///< from opening to the last sample, real time
  double model_seconds = 0;  ///< the same in model time
  std::uint64_t delivered = 0;
};

template <class Visitor>
void visit_fields(Visitor& visitor, StepReport& report) {
  visitor("step", report.step);
  visitor("seconds", report.seconds);
  visitor("model_seconds", report.model_seconds);
  visitor("delivered", report.delivered);
}

/// Samples of one staleness.
struct StalenessCount {
  std::uint64_t staleness = 0;
  std::uint64_t samples = 0;
};

template <class Visitor>
void visit_fields(Visitor& visitor, StalenessCount& count) {
  visitor("staleness", count.staleness);
  visitor("samples", count.samples);
}

/// What the trainer counted itself.
struct TrainerReport {
  std::string state = "idle";  ///< idle, running, finished or failed
  std::string error;
  std::string event;
  std::uint64_t samples_expected = 0;
  std::uint64_t samples_delivered = 0;  ///< slots held, each counted once
  std::uint64_t samples_duplicate = 0;  ///< handed over although held
  std::uint64_t samples_over_bound = 0;
  std::uint64_t samples_wrong_versions = 0;  ///< spans that differ from what engines did
  std::uint64_t samples_wrong_prompt = 0;    ///< made from another slot's prompt
  std::uint64_t samples_unknown_text = 0;    ///< no engine finished that whole text
  std::uint64_t samples_outside = 0;         ///< of no slot of the step
  std::uint64_t samples_without_score = 0;
  std::uint64_t stale_epoch_answers = 0;  ///< from an older daemon; ignored
  std::uint64_t false_completions = 0;    ///< "complete" with slots missing
  std::uint64_t token_count = 0;
  std::uint64_t failed_calls = 0;
  std::uint64_t lost_poll_answers = 0;  ///< by the trainer's switch
  std::uint64_t steps_opened_again = 0;
  std::uint64_t steps_cancelled = 0;
  std::uint64_t versions_published = 0;
  core::WeightVersion current_version;
  std::uint64_t epoch_seen = 0;
  double idle_seconds = 0;        ///< waiting for samples, real time
  double idle_model_seconds = 0;  ///< the same in model time
  std::uint64_t steps_done = 0;
  std::vector<StalenessCount> staleness;
  std::vector<StepReport> steps;
};

template <class Visitor>
void visit_fields(Visitor& visitor, TrainerReport& report) {
  visitor("state", report.state);
  visitor("error", report.error);
  visitor("event", report.event);
  visitor("samples_expected", report.samples_expected);
  visitor("samples_delivered", report.samples_delivered);
  visitor("samples_duplicate", report.samples_duplicate);
  visitor("samples_over_bound", report.samples_over_bound);
  visitor("samples_wrong_versions", report.samples_wrong_versions);
  visitor("samples_wrong_prompt", report.samples_wrong_prompt);
  visitor("samples_unknown_text", report.samples_unknown_text);
  visitor("samples_outside", report.samples_outside);
  visitor("samples_without_score", report.samples_without_score);
  visitor("stale_epoch_answers", report.stale_epoch_answers);
  visitor("false_completions", report.false_completions);
  visitor("token_count", report.token_count);
  visitor("failed_calls", report.failed_calls);
  visitor("lost_poll_answers", report.lost_poll_answers);
  visitor("steps_opened_again", report.steps_opened_again);
  visitor("steps_cancelled", report.steps_cancelled);
  visitor("versions_published", report.versions_published);
  visitor("current_version", report.current_version);
  visitor("epoch_seen", report.epoch_seen);
  visitor("idle_seconds", report.idle_seconds);
  visitor("idle_model_seconds", report.idle_model_seconds);
  visitor("steps_done", report.steps_done);
  visitor("staleness", report.staleness);
  visitor("steps", report.steps);
}

}  // namespace stoneport::emulator
