#include "emulator/trainer_ledger.hpp"

#include <algorithm>

#include "core/hash.hpp"
#include "emulator/generated_text.hpp"

namespace stoneport::emulator {
namespace {

/// Appends words derived from \p name until \p text has \p size bytes.
void fill(std::string& text, std::size_t size, const std::string& name) {
  for (std::uint64_t word = 0; text.size() < size; ++word) {
    text += std::to_string(core::hash64(name, word)) + " ";
  }
  text.resize(size);
}

}  // namespace

std::vector<std::string> step_prompts(const TrainerRun& run, std::uint64_t step) {
  if (!run.prompt_texts.empty()) {
    return run.prompt_texts;
  }
  const std::string event = run.event + "/" + std::to_string(run.seed);
  std::vector<std::string> prompts;
  for (std::uint32_t index = 0; index < run.prompts; ++index) {
    std::string prompt;
    fill(prompt, std::min(run.shared_prefix_bytes, run.prompt_bytes), event);
    fill(prompt, run.prompt_bytes,
         event + "/" + std::to_string(step) + "/" + std::to_string(index));
    prompts.push_back(std::move(prompt));
  }
  return prompts;
}

bool spans_match_text(const std::vector<VersionSpan>& spans, std::uint64_t token_count,
                      const std::string& text) {
  const auto versions = decode_versions(text);
  if (!versions || versions->size() != token_count) {
    return false;
  }
  std::size_t token = 0;
  for (const VersionSpan& span : spans) {
    for (std::uint32_t index = 0; index < span.token_count; ++index, ++token) {
      const std::uint64_t stated = span.version.value() % kEncodedVersions;
      if (token >= versions->size() || (*versions)[token] != stated) {
        return false;
      }
    }
  }
  return token == versions->size();
}

TrainerLedger::TrainerLedger(const TrainerRun& run, const GroundTruth& truth)
    : samples_per_prompt_(run.samples_per_prompt), age_bound_(run.age_bound), truth_(truth) {
  report_.state = "running";
  report_.event = run.event;
  report_.current_version = run.first_version;
}

void TrainerLedger::begin_step(std::vector<std::string> prompts) {
  prompts_ = std::move(prompts);
  slots_.assign(prompts_.size() * samples_per_prompt_, false);
  held_ = 0;
  report_.samples_expected += slots_.size();
}

void TrainerLedger::take(const DeliveredSample& sample) {
  const bool inside = sample.prompt < prompts_.size() && sample.sample < samples_per_prompt_;
  if (!inside) {
    ++report_.samples_outside;
    return;
  }
  const std::size_t slot = std::size_t{sample.prompt} * samples_per_prompt_ + sample.sample;
  if (slots_[slot]) {
    ++report_.samples_duplicate;
    return;
  }
  slots_[slot] = true;
  ++held_;
  ++report_.samples_delivered;
  report_.token_count += sample.token_count;
  report_.samples_without_score += sample.score ? 0 : 1;
  check_versions(sample);
  check_origin(sample);
  check_age(sample);
}

void TrainerLedger::check_versions(const DeliveredSample& sample) {
  if (!spans_match_text(sample.spans, sample.token_count, sample.text)) {
    ++report_.samples_wrong_versions;
  }
}

void TrainerLedger::check_origin(const DeliveredSample& sample) {
  const auto response = truth_.find(sample.text);
  if (!response) {
    ++report_.samples_unknown_text;
  } else if (response->prompt_hash != core::hash64(prompts_[sample.prompt])) {
    ++report_.samples_wrong_prompt;
  }
}

void TrainerLedger::check_age(const DeliveredSample& sample) {
  const std::uint64_t current = report_.current_version.value();
  std::uint64_t staleness = 0;
  for (const VersionSpan& span : sample.spans) {
    const std::uint64_t version = span.version.value();
    staleness = std::max(staleness, current > version ? current - version : 0);
  }
  ++staleness_[staleness];
  report_.samples_over_bound += staleness > age_bound_ ? 1 : 0;
}

bool TrainerLedger::accept_epoch(std::uint64_t epoch) {
  if (epoch < report_.epoch_seen) {
    ++report_.stale_epoch_answers;
    return false;
  }
  report_.epoch_seen = epoch;
  return true;
}

std::string TrainerLedger::held_bitmap() const {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr std::size_t kByteBits = 8;
  std::string hex;
  for (std::size_t begin = 0; begin < slots_.size(); begin += kByteBits) {
    unsigned byte = 0;
    for (std::size_t bit = 0; bit < kByteBits && begin + bit < slots_.size(); ++bit) {
      byte |= (slots_[begin + bit] ? 1U : 0U) << bit;
    }
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

TrainerReport TrainerLedger::summary() const {
  TrainerReport report = report_;
  for (const auto& [staleness, samples] : staleness_) {
    report.staleness.push_back({staleness, samples});
  }
  return report;
}

}  // namespace stoneport::emulator
