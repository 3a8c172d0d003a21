#include "rollout/provenance.hpp"

#include <algorithm>

namespace stoneport::rollout {

std::string_view to_string(SampleDefect reason) {
  switch (reason) {
    case SampleDefect::kVersionMissing:
      return "version_missing";
    case SampleDefect::kGap:
      return "gap";
    case SampleDefect::kOverlap:
      return "overlap";
    case SampleDefect::kCountMismatch:
      return "count_mismatch";
    case SampleDefect::kEmpty:
      return "empty";
  }
  return "unknown";
}

core::WeightVersion oldest_version(const std::vector<VersionSpan>& spans) {
  const auto oldest = std::min_element(spans.begin(), spans.end(),
                                       [](const VersionSpan& left, const VersionSpan& right) {
                                         return left.version < right.version;
                                       });
  return oldest->version;
}

std::optional<SampleDefect> ProvenanceBuilder::add(const GeneratedChunk& chunk) {
  if (defect_) {
    return defect_;
  }
  if (!chunk.version) {
    defect_ = SampleDefect::kVersionMissing;
  } else if (chunk.offset > token_count_) {
    defect_ = SampleDefect::kGap;
  } else if (chunk.offset < token_count_) {
    defect_ = SampleDefect::kOverlap;
  }
  if (defect_) {
    return defect_;
  }
  if (chunk.token_count == 0) {
    text_ += chunk.text;
    return std::nullopt;
  }
  if (!spans_.empty() && spans_.back().version == *chunk.version) {
    spans_.back().token_count += chunk.token_count;
  } else {
    spans_.push_back(VersionSpan{*chunk.version, chunk.token_count});
  }
  token_count_ += chunk.token_count;
  text_ += chunk.text;
  return std::nullopt;
}

std::optional<SampleDefect> ProvenanceBuilder::finish(std::uint64_t token_count) {
  if (defect_) {
    return defect_;
  }
  if (token_count != token_count_) {
    defect_ = SampleDefect::kCountMismatch;
  } else if (token_count_ == 0) {
    defect_ = SampleDefect::kEmpty;
  }
  return defect_;
}

std::optional<core::WeightVersion> ProvenanceBuilder::oldest() const {
  if (spans_.empty()) {
    return std::nullopt;
  }
  return oldest_version(spans_);
}

}  // namespace stoneport::rollout
