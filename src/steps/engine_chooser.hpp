/// \file
/// Chooses the engine of a group by the router's costs: load, zone, and what of
/// the prompt is cached where. Steps thread.
#pragma once

#include <string>
#include <vector>

#include "rollout/group_placement.hpp"
#include "routing/replica_choice.hpp"
#include "steps/step_context.hpp"

namespace stoneport::steps {

class CostEngineChooser : public rollout::EngineChooser {
 public:
  /// \param prompts of the step, which outlive the chooser
  CostEngineChooser(StepContext& context, core::ModelName model,
                    const std::vector<std::string>& prompts);

  core::ReplicaId choose(std::uint32_t prompt,
                         const std::vector<rollout::EngineCandidate>& candidates) override;

 private:
  StepContext& context_;
  core::ModelName model_;
  const std::vector<std::string>& prompts_;
  routing::CostChooser chooser_;
  /// Where the router's rules leave none, for example when all are suspect.
  rollout::LeastLoadedChooser otherwise_;
};

}  // namespace stoneport::steps
