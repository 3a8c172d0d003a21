#include "steps/step_plan.hpp"

#include "core/hash.hpp"

namespace stoneport::steps {

std::uint32_t StepContent::digest() const {
  std::uint64_t state = samples_per_prompt;
  for (const std::string& prompt : prompts) {
    state = core::hash64(prompt, state);
  }
  return static_cast<std::uint32_t>(state);
}

std::optional<EventRules> find_rules(const StepDependencies& dependencies,
                                     const core::EventName& event) {
  const auto configuration = dependencies.configuration->get();
  const auto found = configuration->find_event(event);
  if (!found) {
    return std::nullopt;
  }
  return EventRules{*found->event_template, *found->parameters};
}

}  // namespace stoneport::steps
