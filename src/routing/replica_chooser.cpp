#include "routing/replica_chooser.hpp"

#include <algorithm>

namespace stoneport::routing {
namespace {

bool is_excluded(const Candidate& candidate, const ChoiceRequest& request) {
  const auto& excluded = request.excluded;
  return std::find(excluded.begin(), excluded.end(), candidate.replica->id) != excluded.end();
}

}  // namespace

Eligible eligible_candidates(std::span<const Candidate> candidates, const ChoiceRequest& request,
                             core::MonotonicTime now) {
  Eligible usable;
  Eligible suspect;
  usable.indexes.reserve(candidates.size());
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    const ReplicaState state = effective_state(candidate, now);
    const bool gets_work = state == ReplicaState::kUsable || state == ReplicaState::kSuspect;
    if (!gets_work || is_excluded(candidate, request)) {
      continue;
    }
    Eligible& group = state == ReplicaState::kUsable ? usable : suspect;
    if (candidate.load->has_room()) {
      group.indexes.push_back(index);
      group.outcome = ChoiceOutcome::kChosen;
    } else if (group.outcome == ChoiceOutcome::kNoReplica) {
      group.outcome = ChoiceOutcome::kAllFull;
    }
  }
  return usable.outcome == ChoiceOutcome::kNoReplica ? suspect : usable;
}

Choice RoundRobinChooser::choose(std::span<const Candidate> candidates,
                                 const ChoiceRequest& request, core::MonotonicTime now) {
  const Eligible eligible = eligible_candidates(candidates, request, now);
  if (eligible.indexes.empty()) {
    return {eligible.outcome};
  }
  const auto at_or_after =
      std::lower_bound(eligible.indexes.begin(), eligible.indexes.end(), next_);
  const std::size_t chosen =
      at_or_after == eligible.indexes.end() ? eligible.indexes.front() : *at_or_after;
  next_ = chosen + 1;
  return {ChoiceOutcome::kChosen, chosen};
}

Choice LeastOutstandingChooser::choose(std::span<const Candidate> candidates,
                                       const ChoiceRequest& request, core::MonotonicTime now) {
  const Eligible eligible = eligible_candidates(candidates, request, now);
  if (eligible.indexes.empty()) {
    return {eligible.outcome};
  }
  const auto rank = [&](std::size_t index) {
    const std::size_t turn = (index + candidates.size() - next_) % candidates.size();
    return std::pair(candidates[index].load->in_flight(), turn);
  };
  const std::size_t chosen = *std::min_element(
      eligible.indexes.begin(), eligible.indexes.end(),
      [&](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
  next_ = (chosen + 1) % candidates.size();
  return {ChoiceOutcome::kChosen, chosen};
}

}  // namespace stoneport::routing
