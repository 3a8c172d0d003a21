/// \file
/// What the engines truly generated: the version that made each token of each
/// finished response. Shared by every thread.
#pragma once

#include <cstdint>
#include <deque>
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
    const std::uint64_t hash = core::hash64(text);
    const bool is_new = responses_.insert_or_assign(hash, std::move(response)).second;
    if (is_new) {
      order_.push_back(hash);
    }
    if (order_.size() > kMostResponses) {
      responses_.erase(order_.front());
      order_.pop_front();
    }
  }
  /// \return how the whole response \p text was made, where an engine finished it.
  std::optional<TrueResponse> find(const std::string& text) const {
    const std::lock_guard lock(mutex_);
    const auto found = responses_.find(core::hash64(text));
    return found == responses_.end() ? std::nullopt : std::optional(found->second);
  }

 private:
  static constexpr std::size_t kMostResponses = 500'000;
  mutable std::mutex mutex_;
  std::deque<std::uint64_t> order_;                            ///< oldest first
  std::unordered_map<std::uint64_t, TrueResponse> responses_;  ///< by hash of the text
};

/// \return the text of \p stream from token \p offset to \p end, by its spans.
std::string stream_text(const EngineStream& stream, std::uint64_t offset, std::uint64_t end);

}  // namespace stoneport::emulator
