#include "rollout/stragglers.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace stoneport::rollout {
namespace {

struct Prediction {
  const RunningSample* sample = nullptr;
  double remaining_tokens = 0;
  double seconds = 0;
};

double median_rate(const std::vector<RunningSample>& running) {
  std::vector<double> rates;
  for (const RunningSample& sample : running) {
    if (sample.tokens_per_second > 0) {
      rates.push_back(sample.tokens_per_second);
    }
  }
  if (rates.empty()) {
    return 0;
  }
  const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

/// \return predictions sorted by remaining time, longest first.
std::vector<Prediction> predict(const StragglerInput& input, const LengthDistribution& lengths,
                                const StragglerSettings& settings) {
  const double usual_rate = median_rate(input.running);
  std::vector<Prediction> predictions;
  for (const RunningSample& sample : input.running) {
    const double rate = sample.tokens_per_second > 0 ? sample.tokens_per_second : usual_rate;
    if (rate <= 0) {
      continue;
    }
    const auto remaining =
        static_cast<double>(lengths.remaining(sample.tokens_so_far, settings.quantile));
    predictions.push_back(Prediction{&sample, remaining, remaining / rate});
  }
  std::sort(predictions.begin(), predictions.end(), [](const auto& left, const auto& right) {
    return left.seconds != right.seconds ? left.seconds > right.seconds
                                         : left.sample->slot < right.sample->slot;
  });
  return predictions;
}

/// \return \p share of \p count, rounded up.
std::size_t share_of(double share, std::size_t count) {
  return static_cast<std::size_t>(std::ceil(share * static_cast<double>(count)));
}

void raise_latest(const std::vector<Prediction>& predictions, const StragglerSettings& settings,
                  StragglerDecision& decision) {
  const auto raised = static_cast<std::size_t>(std::count_if(
      predictions.begin(), predictions.end(), [](const auto& one) { return one.sample->raised; }));
  const std::size_t allowed = share_of(settings.raised_share, predictions.size());
  const double median = predictions[predictions.size() / 2].seconds;
  std::size_t left = allowed - std::min(allowed, raised);
  for (const Prediction& one : predictions) {
    const bool is_late = predictions.size() == 1 || one.seconds > settings.late_factor * median;
    if (left == 0 || !is_late) {
      return;
    }
    if (!one.sample->raised) {
      decision.raises.push_back(PriorityRaise{one.sample->slot, settings.priority_raise});
      --left;
    }
  }
}

double migration_seconds(const RunningSample& sample, const StragglerSettings& settings) {
  return core::to_seconds(settings.migration_fixed_cost) +
         core::to_seconds(settings.migration_cost_per_token) *
             static_cast<double>(sample.context_tokens);
}

/// Returns whether the target has an older version than the sample's engine. An unknown version
/// does not prevent a migration, because the ledger checks the finished sample.
bool is_older(const MigrationTarget& target, const RunningSample& sample) {
  return target.version && sample.version && *target.version < *sample.version;
}

MigrationTarget* fastest_other(std::vector<MigrationTarget>& targets, const RunningSample& sample) {
  MigrationTarget* best = nullptr;
  for (MigrationTarget& target : targets) {
    const bool is_open =
        target.free_capacity > 0 && target.engine != sample.engine && !is_older(target, sample);
    if (is_open && (best == nullptr || target.tokens_per_second > best->tokens_per_second)) {
      best = &target;
    }
  }
  return best;
}

std::optional<Migration> plan_migration(const Prediction& one,
                                        std::vector<MigrationTarget>& targets,
                                        const StragglerSettings& settings) {
  MigrationTarget* target = fastest_other(targets, *one.sample);
  if (target == nullptr || target->tokens_per_second <= 0) {
    return std::nullopt;
  }
  const double there =
      migration_seconds(*one.sample, settings) + one.remaining_tokens / target->tokens_per_second;
  const double gain = one.seconds - there;
  if (gain < settings.min_migration_gain_share * one.seconds ||
      gain < core::to_seconds(settings.min_migration_gain)) {
    return std::nullopt;
  }
  --target->free_capacity;
  return Migration{one.sample->slot, target->engine, core::from_seconds(gain)};
}

}  // namespace

StragglerDecision decide_stragglers(const StragglerInput& input, const LengthDistribution& lengths,
                                    const StragglerSettings& settings) {
  StragglerDecision decision;
  const double needed = settings.finished_share * static_cast<double>(input.slot_count);
  if (static_cast<double>(input.finished_count) < needed) {
    return decision;
  }
  const std::vector<Prediction> predictions = predict(input, lengths, settings);
  if (predictions.empty()) {
    return decision;
  }
  raise_latest(predictions, settings, decision);
  if (!settings.migrate) {
    return decision;
  }
  const std::size_t movable = share_of(settings.migrated_share, predictions.size());
  std::vector<MigrationTarget> targets = input.targets;
  for (std::size_t index = 0; index < movable; ++index) {
    const Prediction& one = predictions[index];
    if (one.sample->migrations >= settings.max_migrations_per_sample) {
      continue;
    }
    if (const auto migration = plan_migration(one, targets, settings)) {
      decision.migrations.push_back(*migration);
    }
  }
  return decision;
}

LengthDistribution observed_lengths(const StragglerInput& input,
                                    std::vector<std::uint64_t> finished,
                                    const std::vector<std::uint64_t>& earlier,
                                    std::uint64_t longest) {
  finished.insert(finished.end(), earlier.begin(), earlier.end());
  std::vector<std::uint64_t> running;
  running.reserve(input.running.size());
  for (const RunningSample& sample : input.running) {
    running.push_back(sample.tokens_so_far);
  }
  return LengthDistribution(std::move(finished), std::move(running), longest);
}

}  // namespace stoneport::rollout
