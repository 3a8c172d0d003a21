#include "soak/soak_zones.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace stoneport::tests {

std::vector<std::string> late_arrivals(const StandInReplica::Arrivals& arrivals,
                                       const std::vector<Evacuation>& evacuations,
                                       std::chrono::milliseconds allowed) {
  std::vector<std::string> late;
  for (const Evacuation& evacuation : evacuations) {
    for (const ReplicaArrival& arrival : arrivals) {
      const bool is_due = arrival.at > evacuation.written + allowed;
      if (arrival.zone != evacuation.zone || !is_due || arrival.at >= evacuation.withdrawn) {
        continue;
      }
      const auto after =
          std::chrono::duration_cast<std::chrono::milliseconds>(arrival.at - evacuation.written);
      late.push_back("request " + arrival.request_id + " reached replica " + arrival.replica + " " +
                     std::to_string(after.count()) + " ms after " + evacuation.zone +
                     " was evacuated");
    }
  }
  return late;
}

std::vector<std::string> overrun_replicas(const StandInReplica::Arrivals& arrivals, double most) {
  std::map<std::string, std::deque<Evacuation::Clock::time_point>> last_second;
  std::map<std::string, std::size_t> worst;
  for (const ReplicaArrival& arrival : arrivals) {
    if (!arrival.was_cold) {
      continue;
    }
    auto& times = last_second[arrival.replica];
    times.push_back(arrival.at);
    while (arrival.at - times.front() > std::chrono::seconds(1)) {
      times.pop_front();
    }
    worst[arrival.replica] = std::max(worst[arrival.replica], times.size());
  }
  std::vector<std::string> overrun;
  for (const auto& [replica, count] : worst) {
    if (static_cast<double>(count) > most) {
      overrun.push_back("cold replica " + replica + " got " + std::to_string(count) +
                        " requests in a second");
    }
  }
  return overrun;
}

}  // namespace stoneport::tests
