/// \file
/// Specification of one step, fixed when it is opened.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/sample.hpp"
#include "steps/dependencies.hpp"

namespace stoneport::steps {

/// Content that distinguishes steps with the same number. The trainer's current version is not
/// part of it, because it may have increased when a step is reopened.
struct StepContent {
  std::vector<std::string> prompts;
  std::uint32_t samples_per_prompt = 0;
  bool operator==(const StepContent&) const = default;

  rollout::StepShape shape() const {
    return {static_cast<std::uint32_t>(prompts.size()), samples_per_prompt};
  }
  /// \return a digest of the content, used in stream identifiers.
  std::uint32_t digest() const;
};

/// Copy of an event's current template and parameters. The configuration that they come from may
/// be replaced at any time.
struct EventRules {
  config::EventTemplate event_template;
  config::TenantParameters parameters;
};

/// Identity, epoch and content of one step.
struct StepPlan {
  core::EventName event;
  core::StepNumber step;
  core::Epoch epoch;
  bool taken_over = false;  ///< whether to search for streams of an earlier owner
  StepContent content;
};

/// \return the rules of \p event, or nothing when it is not in the current configuration.
std::optional<EventRules> find_rules(const StepDependencies& dependencies,
                                     const core::EventName& event);

}  // namespace stoneport::steps
