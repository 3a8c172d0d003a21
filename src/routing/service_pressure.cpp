#include "routing/service_pressure.hpp"

namespace stoneport::routing {

bool ServicePressure::counts(const Answer& answer, core::MonotonicTime now) const {
  return now - answer.at < settings_.answer_window;
}

void ServicePressure::note_answer(const core::ReplicaId& replica, bool was_slow,
                                  core::MonotonicTime now) {
  std::erase_if(newest_, [&](const auto& entry) { return !counts(entry.second, now); });
  newest_[replica] = Answer{was_slow, now};
}

bool ServicePressure::is_full(core::MonotonicTime now) const {
  return last_refusal_ && now - *last_refusal_ < settings_.refusal_window;
}

bool ServicePressure::is_slow(core::MonotonicTime now) const {
  std::size_t slow = 0;
  std::size_t all = 0;
  for (const auto& [replica, answer] : newest_) {
    if (counts(answer, now)) {
      ++all;
      slow += answer.was_slow ? 1 : 0;
    }
  }
  return all >= settings_.min_replicas &&
         static_cast<double>(slow) > settings_.max_slow_share * static_cast<double>(all);
}

}  // namespace stoneport::routing
