/// \file
/// What the engines truly generated: the version that made each token of each
/// finished response. Shared by every thread.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/hash.hpp"
#include "emulator/engine_model.hpp"

namespace stoneport::emulator {

struct TrueResponse {
  std::uint64_t prompt_hash = 0;
  std::vector<VersionSpan> spans;
};

class GroundTruth {
 public:
  void record(const std::string& text, TrueResponse response) {
    const std::lock_guard lock(mutex_);
    responses_[core::hash64(text)] = std::move(response);
  }
  /// \return how the whole response \p text was made, where an engine finished it.
  std::optional<TrueResponse> find(const std::string& text) const {
    const std::lock_guard lock(mutex_);
    const auto found = responses_.find(core::hash64(text));
    return found == responses_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, TrueResponse> responses_;  ///< by hash of the text
};

/// \return the text of \p stream from token \p offset to \p end, by its spans.
std::string stream_text(const EngineStream& stream, std::uint64_t offset, std::uint64_t end);

}  // namespace stoneport::emulator
