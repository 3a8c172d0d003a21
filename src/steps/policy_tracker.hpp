/// \file
/// The trainer's current version of each policy and the rhythm of publications.
/// Steps thread.
#pragma once

#include <map>

#include "rollout/staleness.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::steps {

class PolicyTracker {
 public:
  explicit PolicyTracker(const StepDependencies& dependencies) : dependencies_(dependencies) {}

  /// The trainer said that \p version is its current one, or published it.
  void observe(const core::PolicyName& policy, core::WeightVersion version);
  /// \return the highest version that the trainer or another daemon named.
  core::WeightVersion current(const core::PolicyName& policy);
  const rollout::PublicationRhythm& rhythm(const core::PolicyName& policy) {
    return policies_[policy].rhythm;
  }

 private:
  struct Entry {
    core::WeightVersion current;
    rollout::PublicationRhythm rhythm;
  };
  const StepDependencies& dependencies_;
  std::map<core::PolicyName, Entry> policies_;
};

}  // namespace stoneport::steps
