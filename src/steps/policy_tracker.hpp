/// \file
/// Tracks the trainer's current version of each policy and how often it publishes. Used on the
/// steps thread.
#pragma once

#include <map>

#include "rollout/staleness.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::steps {

class PolicyTracker {
 public:
  explicit PolicyTracker(const StepDependencies& dependencies) : dependencies_(dependencies) {}

  /// Records that the trainer published \p version or reported it as its current one.
  void observe(const core::PolicyName& policy, core::WeightVersion version);
  /// \return the highest version reported by the trainer or another daemon.
  core::WeightVersion current(const core::PolicyName& policy);
  const rollout::PublicationRate& publication_rate(const core::PolicyName& policy) {
    return policies_[policy].publication_rate;
  }

 private:
  struct Entry {
    core::WeightVersion current;
    rollout::PublicationRate publication_rate;
  };
  const StepDependencies& dependencies_;
  std::map<core::PolicyName, Entry> policies_;
};

}  // namespace stoneport::steps
