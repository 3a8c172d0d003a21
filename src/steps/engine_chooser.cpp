#include "steps/engine_chooser.hpp"

namespace stoneport::steps {
namespace {

routing::CostOptions options_for(const StepDependencies& dependencies) {
  routing::CostOptions options;
  options.zone = dependencies.zone;
  options.region = dependencies.region;
  return options;
}

}  // namespace

CostEngineChooser::CostEngineChooser(StepContext& context, core::ModelName model,
                                     const std::vector<std::string>& prompts)
    : context_(context),
      model_(std::move(model)),
      prompts_(prompts),
      chooser_(options_for(context.dependencies), context.random.uniform(0, ~std::uint64_t{0})) {}

core::ReplicaId CostEngineChooser::choose(std::uint32_t prompt,
                                          const std::vector<rollout::EngineCandidate>& candidates) {
  const auto table = context_.dependencies.routing->get();
  std::vector<const routing::Replica*> replicas;
  // Both lists are sorted by id.
  auto next = candidates.begin();
  for (const routing::Replica& replica : table->models.at(model_)) {
    if (next != candidates.end() && next->id == replica.id) {
      replicas.push_back(&replica);
      ++next;
    }
  }
  const std::vector<routing::Candidate> options = context_.engines.loads().candidates(replicas);
  const std::string& text = prompts_[prompt];
  const std::vector<std::uint64_t> prefixes = routing::prefix_hashes(text);
  routing::ChoiceRequest request;
  request.prefixes = prefixes;
  request.prompt_bytes = text.size();
  request.group = routing::prompt_group(text);
  const routing::Choice choice = chooser_.choose(options, request, context_.now());
  if (choice.outcome != routing::ChoiceOutcome::kChosen) {
    return fallback_.choose(prompt, candidates);
  }
  options[choice.index].load->recent_prefixes().add(prefixes, context_.now());
  return options[choice.index].replica->id;
}

}  // namespace stoneport::steps
