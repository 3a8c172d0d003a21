/// \file
/// What must hold of requests that crash the replicas that run them, judged by the replicas' ends
/// alone. Plain code.
#pragma once

#include <string>
#include <vector>

#include "platform_support/stand_in_replica.hpp"

namespace stoneport::tests {

/// \return what is wrong with the ends under \p body while all else was well: more than three, or
/// all \p replicas of the service ended at once.
std::vector<std::string> faults_of_calm_culprit(const std::vector<ReplicaCrash>& crashes,
                                                const std::string& body, std::size_t replicas);
/// The same under other faults, where processes that are stopped, cut off or new may not know yet:
/// at most three more ends later than \p contact after the third one.
std::vector<std::string> faults_of_stormy_culprit(const std::vector<ReplicaCrash>& crashes,
                                                  const std::string& body,
                                                  std::chrono::milliseconds contact);

}  // namespace stoneport::tests
