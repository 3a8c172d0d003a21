#include "routing/replica_choice.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace stoneport::routing {
namespace {

/// Concurrent requests assumed for a replica that has not reported its capacity.
constexpr double kAssumedCapacity = 32;

/// \return the requests of other processes on a replica by its digest: the reported number minus
/// those that this process had in flight when the digest was taken.
double others_by_digest(const Candidate& candidate) {
  const ReplicaDigest& digest = *candidate.replica->digest;
  const auto reported = static_cast<double>(digest.running + digest.waiting);
  const double own = candidate.load->in_flight_at(digest.taken_at);
  return std::max(0.0, reported - own);
}

double digest_weight(const ReplicaDigest& digest, core::Duration half_life,
                     core::MonotonicTime now) {
  const double age = std::max(0.0, core::to_seconds(now - digest.taken_at));
  return std::exp2(-age / core::to_seconds(half_life));
}

std::uint64_t affinity_weight(std::uint64_t group, const core::ReplicaId& replica) {
  return core::hash64(replica.value(), group);
}

}  // namespace

Choice CostChooser::choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                           core::MonotonicTime now) {
  const Eligible eligible = eligible_candidates(candidates, request, now);
  if (eligible.indexes.empty()) {
    return {eligible.outcome};
  }
  std::vector<ScoredCandidate> scored = rate(candidates, eligible.indexes, request, now);
  if (options_.use_load_bound) {
    remove_overloaded(scored);
  }
  const std::vector<std::size_t> drawn = draw(scored, candidates, request);
  const std::size_t best = *std::min_element(
      drawn.begin(), drawn.end(),
      [&](std::size_t left, std::size_t right) { return scored[left].cost < scored[right].cost; });
  return {ChoiceOutcome::kChosen, scored[best].index};
}

std::vector<CostChooser::ScoredCandidate> CostChooser::rate(
    std::span<const Candidate> candidates, const std::vector<std::size_t>& eligible,
    const ChoiceRequest& request, core::MonotonicTime now) const {
  std::vector<ScoredCandidate> scored(eligible.size());
  for (std::size_t position = 0; position < eligible.size(); ++position) {
    scored[position].index = eligible[position];
  }
  estimate_loads(candidates, scored, now);
  for (ScoredCandidate& entry : scored) {
    const Candidate& candidate = candidates[entry.index];
    if (options_.use_prefixes && !request.prefixes.empty()) {
      entry.cached_bytes = candidate.load->recent_prefixes().cached_bytes(request.prefixes, now);
      if (candidate.replica->digest) {
        const std::size_t reported =
            cached_prefix_bytes(request.prefixes, candidate.replica->digest->cached_prefixes);
        entry.cached_bytes = std::max(entry.cached_bytes, reported);
      }
    }
    entry.is_local = candidate.replica->zone == options_.zone;
    entry.cost = cost(*candidate.replica, entry, request);
  }
  return scored;
}

/// With the age of a digest, the estimate of other processes' load converges to the mean over all
/// replicas, so that a replica without a recent digest does not appear idle.
void CostChooser::estimate_loads(std::span<const Candidate> candidates,
                                 std::vector<ScoredCandidate>& scored,
                                 core::MonotonicTime now) const {
  double weight_sum = 0;
  double others_sum = 0;
  std::vector<double> weights(scored.size(), 0);
  for (std::size_t position = 0; position < scored.size(); ++position) {
    const Candidate& candidate = candidates[scored[position].index];
    scored[position].load = candidate.load->in_flight();
    if (!options_.use_digests || !candidate.replica->digest) {
      continue;
    }
    weights[position] = digest_weight(*candidate.replica->digest, options_.digest_half_life, now);
    weight_sum += weights[position];
    others_sum += weights[position] * others_by_digest(candidate);
  }
  if (weight_sum <= 0) {
    return;
  }
  const double mean = others_sum / weight_sum;
  for (std::size_t position = 0; position < scored.size(); ++position) {
    const double weight = weights[position];
    const double others = weight > 0 ? others_by_digest(candidates[scored[position].index]) : 0;
    scored[position].load += weight * others + (1 - weight) * mean;
  }
}

double CostChooser::cost(const Replica& replica, const ScoredCandidate& scored,
                         const ChoiceRequest& request) const {
  double total = scored.load;
  const bool has_capacity = replica.digest && replica.digest->max_running > 0;
  const double capacity = has_capacity ? replica.digest->max_running : kAssumedCapacity;
  total += options_.waiting_factor * std::max(0.0, scored.load - capacity);

  const std::size_t uncached =
      request.prompt_bytes - std::min(request.prompt_bytes, scored.cached_bytes);
  total += static_cast<double>(uncached) / options_.prefill_bytes_per_request;

  if (replica.region != options_.region) {
    total += options_.cross_region_cost;
  } else if (!scored.is_local) {
    total += options_.cross_zone_cost;
  }
  if (replica.digest && replica.digest->swapping) {
    total += options_.swapping_cost;
  }
  if (replica.digest && replica.digest->version < request.preferred_version) {
    total += options_.older_version_cost;
  }
  return total;
}

/// Removes replicas above the load bound. The mean is never above it, so that at least one remains.
void CostChooser::remove_overloaded(std::vector<ScoredCandidate>& scored) const {
  double sum = 1;
  for (const ScoredCandidate& entry : scored) {
    sum += entry.load;
  }
  const double mean = sum / static_cast<double>(scored.size());
  const double bound = std::max(1.0, std::ceil(options_.load_bound * mean));
  const auto is_above = [&](const ScoredCandidate& entry) { return entry.load + 1 > bound + 1e-9; };
  if (!std::all_of(scored.begin(), scored.end(), is_above)) {
    std::erase_if(scored, is_above);
  }
}

/// Draws the few candidates that are compared: for prompts those with affinity first, as ties go to
/// the first; then random ones, mostly of the own zone.
std::vector<std::size_t> CostChooser::draw(const std::vector<ScoredCandidate>& scored,
                                           std::span<const Candidate> candidates,
                                           const ChoiceRequest& request) {
  std::vector<std::size_t> local;
  std::vector<std::size_t> all;
  for (std::size_t position = 0; position < scored.size(); ++position) {
    all.push_back(position);
    if (scored[position].is_local) {
      local.push_back(position);
    }
  }
  std::vector<std::size_t> drawn;
  if (options_.use_prefixes) {
    add_affine(scored, candidates, request, drawn);
  }
  add_random(local, options_.random_choices, drawn);
  add_random(all, local.empty() ? options_.random_choices : 1, drawn);
  return drawn;
}

/// Adds the replica with the longest cached prefix and the home replica of the group, which is the
/// first by rendezvous hashing among those within the bound.
void CostChooser::add_affine(const std::vector<ScoredCandidate>& scored,
                             std::span<const Candidate> candidates, const ChoiceRequest& request,
                             std::vector<std::size_t>& drawn) {
  const auto position_of = [&](auto found) {
    return static_cast<std::size_t>(found - scored.begin());
  };
  if (!request.prefixes.empty()) {
    const auto rank = [](const ScoredCandidate& entry) {
      return std::pair(entry.cached_bytes, -entry.cost);
    };
    const auto longest =
        std::max_element(scored.begin(), scored.end(),
                         [&](const ScoredCandidate& left, const ScoredCandidate& right) {
                           return rank(left) < rank(right);
                         });
    drawn.push_back(position_of(longest));
  }
  if (request.group) {
    const auto weight = [&](const ScoredCandidate& entry) {
      return affinity_weight(*request.group, candidates[entry.index].replica->id);
    };
    const auto home =
        std::max_element(scored.begin(), scored.end(),
                         [&](const ScoredCandidate& left, const ScoredCandidate& right) {
                           return weight(left) < weight(right);
                         });
    drawn.push_back(position_of(home));
  }
}

void CostChooser::add_random(const std::vector<std::size_t>& from, std::size_t count,
                             std::vector<std::size_t>& drawn) {
  if (from.empty()) {
    return;
  }
  const std::size_t first = random_.uniform(0, from.size() - 1);
  drawn.push_back(from[first]);
  if (count < 2 || from.size() < 2) {
    return;
  }
  const std::size_t step = random_.uniform(1, from.size() - 1);
  drawn.push_back(from[(first + step) % from.size()]);
}

}  // namespace stoneport::routing
