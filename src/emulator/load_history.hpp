/// \file
/// Load figures of an engine as they were some time ago. Plain code.
#pragma once

#include <cstdint>
#include <deque>

#include "core/time.hpp"

namespace stoneport::emulator {

struct LoadFigures {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t kv_used_tokens = 0;
  double tokens_per_second = 0;
};

struct AgedLoad {
  LoadFigures figures;
  core::Duration age{};
};

class LoadHistory {
 public:
  /// Notes the figures in force from \p now on and forgets what is older than
  /// \p lag, but for the one in force then.
  void note(LoadFigures figures, core::MonotonicTime now, core::Duration lag) {
    if (!entries_.empty() && entries_.back().since == now) {
      entries_.pop_back();
    }
    entries_.push_back({now, figures});
    while (entries_.size() > 1 && entries_[1].since + lag <= now) {
      entries_.pop_front();
    }
  }

  /// \return the figures that were in force \p lag before \p now.
  AgedLoad at(core::MonotonicTime now, core::Duration lag) const {
    AgedLoad answer{{}, lag};
    for (const Entry& entry : entries_) {
      if (entry.since + lag > now) {
        break;
      }
      answer.figures = entry.figures;
    }
    return answer;
  }

 private:
  struct Entry {
    core::MonotonicTime since;
    LoadFigures figures;
  };
  std::deque<Entry> entries_;
};

}  // namespace stoneport::emulator
