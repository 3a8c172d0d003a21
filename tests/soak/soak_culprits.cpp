#include "soak/soak_culprits.hpp"

#include <algorithm>

namespace stoneport::tests {
namespace {

constexpr std::size_t kMostEnds = 3;

std::vector<ReplicaCrash> crashes_under(const std::vector<ReplicaCrash>& crashes,
                                        const std::string& body) {
  std::vector<ReplicaCrash> found;
  std::copy_if(crashes.begin(), crashes.end(), std::back_inserter(found),
               [&](const ReplicaCrash& crash) { return crash.body == body; });
  return found;
}

std::size_t ended_at(const std::vector<ReplicaCrash>& crashes, const ReplicaCrash& last) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(), [&](const ReplicaCrash& crash) {
        return crash.at <= last.at && last.at < crash.at + StandInReplica::kRestart;
      }));
}

}  // namespace

std::vector<std::string> faults_of_calm_culprit(const std::vector<ReplicaCrash>& crashes,
                                                const std::string& body, std::size_t replicas) {
  const std::vector<ReplicaCrash> under = crashes_under(crashes, body);
  std::vector<std::string> faults;
  if (under.size() > kMostEnds) {
    faults.push_back("'" + body + "' ended " + std::to_string(under.size()) + " replicas");
  }
  for (const ReplicaCrash& last : under) {
    if (ended_at(crashes, last) >= replicas) {
      faults.push_back("'" + body + "' ended the last replica, " + last.replica);
    }
  }
  return faults;
}

std::vector<std::string> faults_of_stormy_culprit(const std::vector<ReplicaCrash>& crashes,
                                                  const std::string& body,
                                                  std::chrono::milliseconds contact) {
  const std::vector<ReplicaCrash> under = crashes_under(crashes, body);
  if (under.size() <= kMostEnds) {
    return {};
  }
  const auto judged_from = under[kMostEnds - 1].at + contact;
  const auto late = std::count_if(under.begin(), under.end(), [&](const ReplicaCrash& crash) {
    return crash.at > judged_from;
  });
  if (late <= static_cast<std::ptrdiff_t>(kMostEnds)) {
    return {};
  }
  return {"'" + body + "' ended " + std::to_string(under.size()) + " replicas, " +
          std::to_string(late) + " of them long after the third"};
}

}  // namespace stoneport::tests
