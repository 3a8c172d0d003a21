/// \file
/// Plain values of a rollout step: its shape, its samples and where their
/// tokens came from.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// How many slots a step has. Fixed when the step is opened.
struct StepShape {
  std::uint32_t prompts = 0;
  std::uint32_t samples_per_prompt = 0;

  std::size_t slot_count() const { return std::size_t{prompts} * samples_per_prompt; }
  bool contains(core::SlotId slot) const {
    return slot.prompt < prompts && slot.sample < samples_per_prompt;
  }
  /// Position of \p slot in bitmaps and lists: prompt by prompt.
  std::size_t index_of(core::SlotId slot) const {
    return std::size_t{slot.prompt} * samples_per_prompt + slot.sample;
  }
  core::SlotId slot_at(std::size_t index) const {
    return core::SlotId{static_cast<std::uint32_t>(index / samples_per_prompt),
                        static_cast<std::uint32_t>(index % samples_per_prompt)};
  }
};

/// Consecutive tokens of one sample that one weight version made.
struct VersionSpan {
  core::WeightVersion version;
  std::uint64_t token_count = 0;
  auto operator<=>(const VersionSpan&) const = default;
};

/// One finished sample, as its trainer receives it.
struct Sample {
  core::SlotId slot;
  std::string text;
  std::uint64_t token_count = 0;
  std::vector<VersionSpan> spans;  ///< in order of the text; never empty
  double score = 0;
  core::ReplicaId engine;      ///< that made the last token
  std::uint32_t attempts = 0;  ///< begun for this slot up to this sample's end
};

/// \return the oldest version among \p spans, which must not be empty.
core::WeightVersion oldest_version(const std::vector<VersionSpan>& spans);

}  // namespace stoneport::rollout
