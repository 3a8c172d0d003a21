#include "rollout/group_placement.hpp"

#include <algorithm>
#include <tuple>

#include "core/hash.hpp"

namespace stoneport::rollout {
namespace {

double load_of(const EngineCandidate& candidate) {
  const auto load = static_cast<double>(std::max(candidate.in_flight, candidate.reported));
  return candidate.max_running > 0 ? load / candidate.max_running : load;
}

double mean_load(const std::vector<EngineCandidate>& candidates) {
  double sum = 0;
  for (const EngineCandidate& candidate : candidates) {
    sum += load_of(candidate);
  }
  return sum / static_cast<double>(candidates.size());
}

/// Returns the load added by one more stream, so that an idle cluster has a bound above zero.
double one_stream(const EngineCandidate& candidate) {
  return candidate.max_running > 0 ? 1.0 / candidate.max_running : 1.0;
}

/// Returns the candidates of the best class that is not empty. Engines expected to stay within
/// the age bound come before those within it only now, and trusted ones before suspect ones.
std::vector<EngineCandidate> best_class(const PlacementInput& input,
                                        const PublicationRate& publication_rate) {
  std::map<std::tuple<bool, Admission>, std::vector<EngineCandidate>> classes;
  for (const EngineCandidate& candidate : input.candidates) {
    AdmissionInput question{input.rule, candidate.version, input.now, input.expected_run};
    const Admission admission = predict_admission(question, publication_rate);
    if (!candidate.closed && admission != Admission::kTooOld) {
      classes[{candidate.suspect, admission}].push_back(candidate);
    }
  }
  return classes.empty() ? std::vector<EngineCandidate>() : classes.begin()->second;
}

}  // namespace

core::ReplicaId LeastLoadedChooser::choose(std::uint32_t prompt,
                                           const std::vector<EngineCandidate>& candidates) {
  const std::string key = std::to_string(prompt);
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const EngineCandidate& left, const EngineCandidate& right) {
                         const double left_load = load_of(left);
                         const double right_load = load_of(right);
                         if (left_load != right_load) {
                           return left_load < right_load;
                         }
                         return core::rendezvous_weight(key, left.id.value()) >
                                core::rendezvous_weight(key, right.id.value());
                       });
  return best->id;
}

std::optional<core::ReplicaId> GroupPlacement::place(const PlacementInput& input,
                                                     const PublicationRate& publication_rate) {
  const std::vector<EngineCandidate> usable = best_class(input, publication_rate);
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto home = home_.find(input.prompt);
  if (home != home_.end()) {
    const auto found = std::find_if(
        usable.begin(), usable.end(),
        [&](const EngineCandidate& candidate) { return candidate.id == home->second; });
    const bool has_room =
        found != usable.end() &&
        load_of(*found) <= settings_.load_bound * mean_load(usable) + one_stream(*found);
    if (has_room) {
      return found->id;
    }
  }
  const core::ReplicaId chosen = chooser_.choose(input.prompt, usable);
  home_[input.prompt] = chosen;
  return chosen;
}

void GroupPlacement::forget(std::uint32_t prompt) {
  home_.erase(prompt);
}

}  // namespace stoneport::rollout
