/// \file
/// Virtual time: events in order of time, and in order of scheduling within one
/// instant, so that a run depends on its seed alone.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/time.hpp"

namespace stoneport::bench {

/// Owned by one simulation; single-threaded.
class EventQueue {
 public:
  using Action = std::function<void()>;

  core::MonotonicTime now() const { return now_; }
  /// An instant before now() is taken as now().
  void at(core::MonotonicTime when, Action action);
  void after(core::Duration delay, Action action) { at(now_ + delay, std::move(action)); }
  /// Runs the earliest event. \return false when there is none.
  bool run_next();
  /// Runs events up to and including \p end; now() is \p end afterwards.
  void run_until(core::MonotonicTime end);
  std::uint64_t events_run() const { return events_run_; }

 private:
  struct Event {
    core::MonotonicTime when;
    std::uint64_t sequence;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.when != right.when ? left.when > right.when : left.sequence > right.sequence;
    }
  };

  core::MonotonicTime now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t events_run_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace stoneport::bench
