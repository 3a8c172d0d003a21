/// \file
/// Where engines read weights from: one rate limit over all readers. Plain code.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::emulator {

/// The weight sets there are, and a pipe of limited rate that engines read them
/// through one after the other. May be used from several threads.
class WeightSource {
 public:
  explicit WeightSource(std::uint64_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  void publish(const core::PolicyName& policy, core::WeightVersion version,
               std::uint64_t size_bytes) {
    const std::lock_guard lock(mutex_);
    sets_[policy][version] = size_bytes;
  }

  std::map<core::WeightVersion, std::uint64_t> sets(const core::PolicyName& policy) const {
    const std::lock_guard lock(mutex_);
    const auto found = sets_.find(policy);
    return found == sets_.end() ? std::map<core::WeightVersion, std::uint64_t>{} : found->second;
  }

  /// Queues one read.
  /// \return how long it takes from \p now, waiting included; kNotFound for an
  /// unknown version.
  core::Result<core::Duration> fetch(const core::PolicyName& policy, core::WeightVersion version,
                                     core::MonotonicTime now) {
    const std::lock_guard lock(mutex_);
    const auto policy_sets = sets_.find(policy);
    if (policy_sets == sets_.end() || !policy_sets->second.contains(version)) {
      return core::make_error(core::ErrorCode::kNotFound, "the weight store has no such version");
    }
    const double size = static_cast<double>(policy_sets->second.at(version));
    const double seconds = size / static_cast<double>(bytes_per_second_);
    free_at_ = std::max(free_at_, now) + core::from_seconds(seconds);
    return free_at_ - now;
  }

  std::uint64_t bytes_per_second() const { return bytes_per_second_; }

 private:
  mutable std::mutex mutex_;
  std::uint64_t bytes_per_second_;
  core::MonotonicTime free_at_{};
  std::map<core::PolicyName, std::map<core::WeightVersion, std::uint64_t>> sets_;
};

}  // namespace stoneport::emulator
