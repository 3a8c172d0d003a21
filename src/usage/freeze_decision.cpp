#include "usage/freeze_decision.hpp"

namespace stoneport::usage {

FreezeDecision decide_freeze(WindowIndex window, core::Duration age,
                             const CountsByProcess& processes,
                             const std::vector<std::string>& running,
                             const FreezeSettings& settings) {
  FreezeDecision decision;
  if (age < settings.earliest) {
    return decision;
  }
  for (const std::string& process : running) {
    const auto known = processes.find(process);
    if (known == processes.end() || known->second.complete_through < window) {
      decision.incomplete.push_back(process);
    }
  }
  decision.is_due = decision.incomplete.empty() || age >= settings.latest;
  return decision;
}

ports::TenantCounts sum_of(WindowIndex window, const CountsByProcess& processes) {
  ports::TenantCounts sum;
  for (const auto& [name, counts] : processes) {
    const auto found = counts.windows.find(window);
    if (found == counts.windows.end()) {
      continue;
    }
    for (const auto& [tenant, count] : found->second) {
      sum[tenant] += count;
    }
  }
  return sum;
}

}  // namespace stoneport::usage
