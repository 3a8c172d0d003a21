#include "bench/simulation/simulated_step.hpp"

#include <algorithm>
#include <numeric>

#include "rollout/over_sampling.hpp"
#include "rollout/provenance.hpp"

namespace stoneport::bench {

namespace {

/// As steps::StepSettings.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(500);
constexpr rollout::HandOverLimit kHandOverLimit{};

/// \return the spans that the stream's chunks add up to, by the code under test;
/// nothing when it calls them unfit.
std::optional<std::vector<rollout::VersionSpan>> spans_of(const SimulatedStream& stream) {
  rollout::ProvenanceBuilder builder;
  std::uint64_t offset = 0;
  for (const rollout::VersionSpan& span : stream.spans) {
    rollout::GeneratedChunk chunk;
    chunk.offset = offset;
    chunk.token_count = static_cast<std::uint32_t>(span.token_count);
    chunk.version = span.version;
    builder.add(chunk);
    offset += span.token_count;
  }
  if (builder.finish(stream.generated)) {
    return std::nullopt;
  }
  return builder.spans();
}

double mean_of(const std::vector<std::uint64_t>& lengths) {
  const double sum = std::accumulate(lengths.begin(), lengths.end(), 0.0);
  return lengths.empty() ? 0 : sum / static_cast<double>(lengths.size());
}

}  // namespace

core::ReplicaId GroupEngineChooser::choose(
    std::uint32_t prompt, const std::vector<rollout::EngineCandidate>& candidates) {
  const PromptWork& work = work_.prompts[prompt];
  const auto chosen = daemon_.choose_by_cost(*work.prefix, work.tokens, candidates);
  return chosen ? *chosen : otherwise_.choose(prompt, candidates);
}

SimulatedStep::SimulatedStep(RolloutDaemon& daemon, const TrainerSettings& trainer, StepWork work,
                             std::vector<std::uint64_t> earlier_lengths,
                             std::function<void()> on_sample)
    : daemon_(daemon),
      trainer_(trainer),
      work_(std::move(work)),
      earlier_lengths_(std::move(earlier_lengths)),
      on_sample_(std::move(on_sample)),
      ledger_(rollout::StepShape{trainer.prompts, trainer.samples_per_prompt}),
      chooser_(daemon, work_),
      placement_(chooser_, {}),
      finished_by_group_(trainer.prompts),
      usual_length_(mean_of(earlier_lengths_)) {}

SimulatedStep::~SimulatedStep() {
  *alive_ = false;
  while (!attempts_.empty()) {
    drop(attempts_.begin()->first);
  }
}

void SimulatedStep::begin() {
  sweep();
  tick();
}

void SimulatedStep::tick() {
  daemon_.events().after(kSweepInterval, [this, alive = alive_] {
    if (!*alive) {
      return;
    }
    if (!daemon_.is_down()) {
      sweep();
      look_after_stragglers();
    }
    tick();
  });
}

void SimulatedStep::sweep() {
  if (daemon_.is_down()) {
    return;
  }
  ledger_.discard_too_old(age_rule());
  end_unneeded();
  if (daemon_.variant().staleness_admission) {
    end_too_old();
  }
  start_idle();
}

bool SimulatedStep::group_is_open(std::uint32_t prompt) const {
  for (std::uint32_t sample = 0; sample < trainer_.samples_per_prompt; ++sample) {
    if (ledger_.is_missing({prompt, sample})) {
      return true;
    }
  }
  return false;
}

bool SimulatedStep::is_needed(core::SlotId slot) const {
  return is_spare(slot) ? group_is_open(slot.prompt) : ledger_.is_missing(slot);
}

std::vector<core::SlotId> SimulatedStep::wanted_slots() const {
  std::vector<core::SlotId> wanted = ledger_.idle_slots();
  const double share = daemon_.variant().over_sampling ? trainer_.over_sampling : 0;
  const std::uint32_t spares = rollout::spare_count(trainer_.samples_per_prompt, share);
  for (std::uint32_t prompt = 0; spares > 0 && prompt < trainer_.prompts; ++prompt) {
    for (std::uint32_t spare = 0; spare < spares; ++spare) {
      const core::SlotId slot{prompt, trainer_.samples_per_prompt + spare};
      if (spares_started_.count(slot) == 0 && group_is_open(prompt)) {
        wanted.push_back(slot);
      }
    }
  }
  if (!daemon_.variant().prediction || wanted.empty()) {
    return wanted;
  }
  return rollout::order_by_expected_length(std::move(wanted), group_progress(), usual_length_);
}

std::vector<rollout::GroupProgress> SimulatedStep::group_progress() const {
  std::vector<rollout::GroupProgress> groups = finished_by_group_;
  for (const auto& [key, attempt] : attempts_) {
    const auto tokens = daemon_.engines().at(attempt.engine).generated(key);
    groups[attempt.slot.prompt].tokens += tokens.value_or(0);
  }
  return groups;
}

void SimulatedStep::start_idle() {
  for (const core::SlotId slot : wanted_slots()) {
    if (!start_attempt(slot)) {
      return;
    }
  }
}

bool SimulatedStep::start_attempt(core::SlotId slot) {
  const PromptWork& prompt = work_.prompts[slot.prompt];
  const PlacementQuestion question{slot.prompt, prompt.prefix.get(), prompt.tokens,
                                   daemon_.should_wait_for_fresh()};
  const auto engine = daemon_.place(question, age_rule(), placement_);
  if (!engine) {
    return false;
  }
  Attempt attempt;
  attempt.slot = slot;
  attempt.number = 1;
  attempt.engine = *engine;
  attempt.started_at = attempt.rated_at = daemon_.events().now();
  first_start_ = first_start_ ? first_start_ : attempt.started_at;
  if (is_spare(slot)) {
    spares_started_.insert(slot);
  } else {
    attempt.number = ledger_.begin_attempt(slot);
  }
  SimulatedStream stream;
  stream.prefix = prompt.prefix;
  stream.prompt_tokens = prompt.tokens;
  stream.length = prompt.lengths[slot.sample];
  const StreamKey key =
      daemon_.start(*engine, std::move(stream),
                    [this](StreamKey ended_key, SimulatedStream result, bool complete) {
                      ended(ended_key, std::move(result), complete);
                    });
  attempts_.emplace(key, attempt);
  return true;
}

void SimulatedStep::ended(StreamKey key, SimulatedStream stream, bool complete) {
  const auto found = attempts_.find(key);
  const Attempt attempt = found->second;
  attempts_.erase(found);
  if (complete) {
    daemon_.note_run_length(daemon_.events().now() - attempt.started_at);
    enter(attempt, stream);
  } else {
    placement_.forget(attempt.slot.prompt);
    if (!is_spare(attempt.slot)) {
      ledger_.abandon_attempt(attempt.slot);
    }
  }
  sweep();
}

std::optional<core::SlotId> SimulatedStep::slot_for(const Attempt& attempt) const {
  if (!is_spare(attempt.slot)) {
    return attempt.slot;
  }
  std::vector<rollout::OpenSlot> open;
  for (std::uint32_t sample = 0; sample < trainer_.samples_per_prompt; ++sample) {
    const core::SlotId slot{attempt.slot.prompt, sample};
    if (!ledger_.is_missing(slot)) {
      continue;
    }
    rollout::OpenSlot one{slot, 0, ledger_.running_attempts(slot) > 0};
    for (const auto& [key, other] : attempts_) {
      if (other.slot == slot) {
        const auto tokens = daemon_.engines().at(other.engine).generated(key);
        one.tokens_so_far = std::max<std::uint64_t>(one.tokens_so_far, tokens.value_or(0));
      }
    }
    open.push_back(one);
  }
  return rollout::slot_for_spare(open);
}

void SimulatedStep::enter(const Attempt& attempt, const SimulatedStream& stream) {
  const auto spans = spans_of(stream);
  const auto slot = slot_for(attempt);
  if (!spans || !slot) {
    if (!is_spare(attempt.slot)) {
      ledger_.abandon_attempt(attempt.slot);
    }
    return;
  }
  rollout::Sample sample;
  sample.slot = *slot;
  sample.token_count = stream.generated;
  sample.spans = *spans;
  sample.engine = engine_id(attempt.engine);
  const rollout::FinishOutcome outcome = is_spare(attempt.slot)
                                             ? ledger_.finish_spare(sample, age_rule())
                                             : ledger_.finish_attempt(sample, age_rule());
  if (outcome == rollout::FinishOutcome::kAccepted) {
    finished_lengths_.push_back(stream.generated);
    rollout::GroupProgress& group = finished_by_group_[attempt.slot.prompt];
    group.tokens += stream.generated;
    ++group.finished;
    finished_[*slot] = std::move(sample);
    on_sample_();
  }
}

void SimulatedStep::drop(StreamKey key) {
  const auto found = attempts_.find(key);
  const Attempt attempt = found->second;
  attempts_.erase(found);
  if (!is_spare(attempt.slot)) {
    ledger_.abandon_attempt(attempt.slot);
  }
  daemon_.cancel(key, attempt.engine);
}

void SimulatedStep::end_unneeded() {
  std::vector<StreamKey> unneeded;
  for (const auto& [key, attempt] : attempts_) {
    if (!is_needed(attempt.slot)) {
      unneeded.push_back(key);
    }
  }
  for (const StreamKey key : unneeded) {
    drop(key);
  }
}

void SimulatedStep::end_too_old() {
  const rollout::AgeRule rule = age_rule();
  std::vector<StreamKey> too_old;
  for (const auto& [key, attempt] : attempts_) {
    const auto oldest = daemon_.engines().at(attempt.engine).oldest_version(key);
    if (oldest && !rule.allows(*oldest)) {
      too_old.push_back(key);
    }
  }
  for (const StreamKey key : too_old) {
    ++daemon_.metrics().early_cancels;
    drop(key);
  }
}

rollout::StragglerInput SimulatedStep::straggler_input() {
  rollout::StragglerInput input;
  input.slot_count = ledger_.shape().slot_count();
  input.finished_count = ledger_.held_count() + ledger_.ready_count();
  input.targets = daemon_.migration_targets();
  const core::MonotonicTime now = daemon_.events().now();
  for (auto& [key, attempt] : attempts_) {
    const auto tokens = daemon_.engines().at(attempt.engine).generated(key);
    if (attempt.moving || !tokens) {
      continue;
    }
    const double seconds = core::to_seconds(now - attempt.rated_at);
    if (*tokens > attempt.rated_tokens && seconds > 0) {
      attempt.tokens_per_second = (*tokens - attempt.rated_tokens) / seconds;
    }
    attempt.rated_at = now;
    attempt.rated_tokens = *tokens;
    rollout::RunningSample sample;
    sample.slot = attempt.slot;
    sample.engine = engine_id(attempt.engine);
    sample.tokens_so_far = *tokens;
    sample.context_tokens = *tokens + work_.prompts[attempt.slot.prompt].tokens;
    sample.tokens_per_second = attempt.tokens_per_second;
    sample.raised = attempt.raised;
    sample.migrations = attempt.migrations;
    sample.version = daemon_.reported_version(attempt.engine);
    input.running.push_back(std::move(sample));
  }
  return input;
}

void SimulatedStep::look_after_stragglers() {
  const Variant& variant = daemon_.variant();
  if (!variant.prediction || attempts_.empty()) {
    return;
  }
  const rollout::StragglerInput input = straggler_input();
  const rollout::LengthDistribution lengths = rollout::observed_lengths(
      input, finished_lengths_, earlier_lengths_, trainer_.length.longest);
  rollout::StragglerSettings settings;
  settings.migrate = variant.migration;
  apply(rollout::decide_stragglers(input, lengths, settings));
}

std::map<StreamKey, SimulatedStep::Attempt>::iterator SimulatedStep::attempt_at(core::SlotId slot) {
  return std::find_if(attempts_.begin(), attempts_.end(),
                      [&](const auto& entry) { return entry.second.slot == slot; });
}

void SimulatedStep::apply(const rollout::StragglerDecision& decision) {
  for (const rollout::PriorityRaise& raise : decision.raises) {
    const auto found = attempt_at(raise.slot);
    if (found != attempts_.end()) {
      found->second.raised = true;
      daemon_.engines().at(found->second.engine).set_priority(found->first, raise.by);
    }
  }
  for (const rollout::Migration& migration : decision.migrations) {
    const auto found = attempt_at(migration.slot);
    if (found == attempts_.end() || found->second.moving) {
      continue;
    }
    Attempt& attempt = found->second;
    const std::size_t target = daemon_.engines().index_of(migration.target);
    const std::size_t source = attempt.engine;
    const StreamKey key = found->first;
    attempt.moving = true;
    ++attempt.migrations;
    daemon_.migrate(key, source, target, [this, alive = alive_, key, target] {
      const auto moved = *alive ? attempts_.find(key) : attempts_.end();
      if (*alive && moved != attempts_.end()) {
        moved->second.engine = target;
        moved->second.moving = false;
        moved->second.tokens_per_second = 0;
      }
    });
  }
}

void SimulatedStep::take_over(const rollout::SlotBitmap& held) {
  ledger_ = rollout::StepLedger(rollout::StepShape{trainer_.prompts, trainer_.samples_per_prompt});
  ledger_.acknowledge(held);
  for (const auto& [key, attempt] : attempts_) {
    if (!is_spare(attempt.slot)) {
      ledger_.adopt_attempt(attempt.slot, attempt.number);
    }
  }
  for (const auto& [slot, sample] : finished_) {
    if (ledger_.is_missing(slot)) {
      ledger_.adopt_attempt(slot, sample.attempts);
      ledger_.finish_attempt(sample, age_rule());
    }
  }
  on_sample_();
}

rollout::HandOver SimulatedStep::hand_over(const rollout::SlotBitmap& held) {
  return ledger_.hand_over(held, kHandOverLimit, age_rule());
}

}  // namespace stoneport::bench
