#include "bench/simulation/event_queue.hpp"

#include <algorithm>

namespace stoneport::bench {

void EventQueue::at(core::MonotonicTime when, Action action) {
  events_.push(Event{std::max(when, now_), next_sequence_++, std::move(action)});
}

bool EventQueue::run_next() {
  if (events_.empty()) {
    return false;
  }
  // The element is popped right after; moving its action out keeps its key.
  Event& earliest = const_cast<Event&>(events_.top());
  now_ = earliest.when;
  Action action = std::move(earliest.action);
  events_.pop();
  ++events_run_;
  action();
  return true;
}

void EventQueue::run_until(core::MonotonicTime end) {
  while (!events_.empty() && events_.top().when <= end) {
    run_next();
  }
  now_ = std::max(now_, end);
}

}  // namespace stoneport::bench
