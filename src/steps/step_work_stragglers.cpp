/// \file
/// Applies straggler decisions to the running attempts of a step.
#include "rollout/stragglers.hpp"
#include "steps/step_work.hpp"

namespace stoneport::steps {
namespace {
/// Used to estimate the number of tokens of a prompt.
constexpr std::uint64_t kBytesPerToken = 4;
}  // namespace

Attempt* StepWork::running_at(core::SlotId slot) {
  for (const auto& [key, attempt] : attempts_) {
    if (key.first == slot && attempt->is_reading() && !attempt->is_stopping()) {
      return attempt.get();
    }
  }
  return nullptr;
}

rollout::StragglerInput StepWork::straggler_input() {
  rollout::StragglerInput input;
  input.slot_count = ledger_.shape().slot_count();
  input.finished_count = ledger_.held_count() + ledger_.ready_count();
  input.targets = context_.engines.migration_targets(rules_.event_template.model, age_rule());
  std::map<core::ReplicaId, core::WeightVersion> versions;
  for (const routing::Replica& replica : context_.engines.all(rules_.event_template.model)) {
    if (replica.digest) {
      versions[replica.id] = replica.digest->version;
    }
  }
  for (const auto& [key, attempt] : attempts_) {
    if (!attempt->is_reading() || attempt->is_stopping()) {
      continue;
    }
    rollout::RunningSample sample;
    sample.slot = key.first;
    sample.engine = attempt->engine().id;
    sample.tokens_so_far = attempt->content().token_count();
    sample.context_tokens = sample.tokens_so_far + attempt->prompt_bytes() / kBytesPerToken;
    sample.tokens_per_second = attempt->tokens_per_second();
    sample.raised = attempt->is_raised();
    sample.migrations = attempt->migrations();
    if (const auto version = versions.find(sample.engine); version != versions.end()) {
      sample.version = version->second;
    }
    input.running.push_back(std::move(sample));
  }
  return input;
}

void StepWork::handle_stragglers() {
  const rollout::StragglerInput input = straggler_input();
  if (input.running.empty()) {
    return;
  }
  const rollout::LengthDistribution lengths =
      rollout::observed_lengths(input, finished_lengths_, context_.events[plan_.event].lengths,
                                rules_.event_template.max_tokens);
  rollout::StragglerSettings settings;
  settings.migrate = rules_.event_template.allow_migration;
  const rollout::StragglerDecision decision = rollout::decide_stragglers(input, lengths, settings);
  for (const rollout::PriorityRaise& raise : decision.raises) {
    if (Attempt* attempt = running_at(raise.slot)) {
      attempt->raise_priority(raise.by);
    }
  }
  for (const rollout::Migration& migration : decision.migrations) {
    Attempt* attempt = running_at(migration.slot);
    const auto target = context_.engines.find(rules_.event_template.model, migration.target);
    if (attempt != nullptr && target) {
      attempt->migrate_to(*target);
    }
  }
}

}  // namespace stoneport::steps
