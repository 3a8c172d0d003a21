/// \file
/// Notes the work that arrives at a back end after it began to leave. Plain code.
#pragma once

#include <cstdint>
#include <optional>

#include "core/time.hpp"

namespace stoneport::emulator {

class LeaveWatch {
 public:
  void begin(core::MonotonicTime now) { left_at_ = left_at_.value_or(now); }
  void note_work(core::MonotonicTime now) {
    if (left_at_) {
      ++work_;
      last_work_after_ = now - *left_at_;
    }
  }
  bool leaving() const { return left_at_.has_value(); }
  /// \return requests that arrived since.
  std::uint64_t work() const { return work_; }
  /// \return how long after begin() the last of them arrived, real time.
  core::Duration last_work_after() const { return last_work_after_; }

 private:
  std::optional<core::MonotonicTime> left_at_;
  std::uint64_t work_ = 0;
  core::Duration last_work_after_{};
};

}  // namespace stoneport::emulator
