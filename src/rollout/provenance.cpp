#include "rollout/provenance.hpp"

#include <algorithm>

namespace stoneport::rollout {

std::string_view to_string(UnfitReason reason) {
  switch (reason) {
    case UnfitReason::kVersionMissing:
      return "version_missing";
    case UnfitReason::kGap:
      return "gap";
    case UnfitReason::kOverlap:
      return "overlap";
    case UnfitReason::kCountMismatch:
      return "count_mismatch";
    case UnfitReason::kEmpty:
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

std::optional<UnfitReason> ProvenanceBuilder::add(const GeneratedChunk& chunk) {
  if (unfit_) {
    return unfit_;
  }
  if (!chunk.version) {
    unfit_ = UnfitReason::kVersionMissing;
  } else if (chunk.offset > token_count_) {
    unfit_ = UnfitReason::kGap;
  } else if (chunk.offset < token_count_) {
    unfit_ = UnfitReason::kOverlap;
  }
  if (unfit_) {
    return unfit_;
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

std::optional<UnfitReason> ProvenanceBuilder::finish(std::uint64_t token_count) {
  if (unfit_) {
    return unfit_;
  }
  if (token_count != token_count_) {
    unfit_ = UnfitReason::kCountMismatch;
  } else if (token_count_ == 0) {
    unfit_ = UnfitReason::kEmpty;
  }
  return unfit_;
}

std::optional<core::WeightVersion> ProvenanceBuilder::oldest() const {
  if (spans_.empty()) {
    return std::nullopt;
  }
  return oldest_version(spans_);
}

}  // namespace stoneport::rollout
