/// \file
/// What one step is to produce, fixed when it is opened.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/sample.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::steps {

/// What tells one step from another under the same number. The trainer's current
/// version is no part of it: it may have grown when a step is opened again.
struct StepContent {
  std::vector<std::string> prompts;
  std::uint32_t samples_per_prompt = 0;
  bool operator==(const StepContent&) const = default;

  rollout::StepShape shape() const {
    return {static_cast<std::uint32_t>(prompts.size()), samples_per_prompt};
  }
  /// \return a digest for stream identifiers.
  std::uint32_t digest() const;
};

/// Parameters of the event in force, as one value: the configuration that they
/// come from may be replaced at any time.
struct EventRules {
  config::EventTemplate event_template;
  config::TenantParameters parameters;
};

struct StepPlan {
  core::EventName event;
  core::StepNumber step;
  core::Epoch epoch;
  bool taken_over = false;  ///< look for streams of an earlier owner
  StepContent content;
};

/// \return the rules of \p event, or nothing when it is not in force.
std::optional<EventRules> find_rules(const StepDependencies& dependencies,
                                     const core::EventName& event);

}  // namespace stoneport::steps
