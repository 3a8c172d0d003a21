/// \file
/// Chooses the engine of a group by the router's cost function: load, zone and cached prompt
/// prefixes. Used on the steps thread.
#pragma once

#include <string>
#include <vector>

#include "rollout/group_placement.hpp"
#include "routing/replica_choice.hpp"
#include "steps/step_context.hpp"

namespace stoneport::steps {

class CostEngineChooser : public rollout::EngineChooser {
 public:
  /// \param prompts prompts of the step; must outlive the chooser
  CostEngineChooser(StepContext& context, core::ModelName model,
                    const std::vector<std::string>& prompts);

  core::ReplicaId choose(std::uint32_t prompt,
                         const std::vector<rollout::EngineCandidate>& candidates) override;

 private:
  StepContext& context_;
  core::ModelName model_;
  const std::vector<std::string>& prompts_;
  routing::CostChooser chooser_;
  /// Used when the router's rules exclude all engines, for example because all are suspect.
  rollout::LeastLoadedChooser fallback_;
};

}  // namespace stoneport::steps
