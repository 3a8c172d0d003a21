#include "routing/replica_choice.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace stoneport::routing {
namespace {

/// Requests that a replica runs at once where it has not told us.
constexpr double kAssumedCapacity = 32;

/// Requests of others on a replica, by its digest: what it reports less what we
/// had in flight there when the digest was taken.
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
  std::vector<Rated> rated = rate(candidates, eligible.indexes, request, now);
  if (options_.use_load_bound) {
    drop_overloaded(rated);
  }
  const std::vector<std::size_t> drawn = draw(rated, candidates, request);
  const std::size_t best = *std::min_element(
      drawn.begin(), drawn.end(),
      [&](std::size_t left, std::size_t right) { return rated[left].cost < rated[right].cost; });
  return {ChoiceOutcome::kChosen, rated[best].index};
}

std::vector<CostChooser::Rated> CostChooser::rate(std::span<const Candidate> candidates,
                                                  const std::vector<std::size_t>& eligible,
                                                  const ChoiceRequest& request,
                                                  core::MonotonicTime now) const {
  std::vector<Rated> rated(eligible.size());
  for (std::size_t position = 0; position < eligible.size(); ++position) {
    rated[position].index = eligible[position];
  }
  estimate_loads(candidates, rated, now);
  for (Rated& entry : rated) {
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
  return rated;
}

/// Others' load fades with the digest's age towards the mean over all, so that
/// a replica is not taken for idle because it has not been heard of.
void CostChooser::estimate_loads(std::span<const Candidate> candidates, std::vector<Rated>& rated,
                                 core::MonotonicTime now) const {
  double weight_sum = 0;
  double others_sum = 0;
  std::vector<double> weights(rated.size(), 0);
  for (std::size_t position = 0; position < rated.size(); ++position) {
    const Candidate& candidate = candidates[rated[position].index];
    rated[position].load = candidate.load->in_flight();
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
  for (std::size_t position = 0; position < rated.size(); ++position) {
    const double weight = weights[position];
    const double others = weight > 0 ? others_by_digest(candidates[rated[position].index]) : 0;
    rated[position].load += weight * others + (1 - weight) * mean;
  }
}

double CostChooser::cost(const Replica& replica, const Rated& rated,
                         const ChoiceRequest& request) const {
  double total = rated.load;
  const bool has_capacity = replica.digest && replica.digest->max_running > 0;
  const double capacity = has_capacity ? replica.digest->max_running : kAssumedCapacity;
  total += options_.waiting_factor * std::max(0.0, rated.load - capacity);

  const std::size_t uncached =
      request.prompt_bytes - std::min(request.prompt_bytes, rated.cached_bytes);
  total += static_cast<double>(uncached) / options_.prefill_bytes_per_request;

  if (replica.region != options_.region) {
    total += options_.cross_region_cost;
  } else if (!rated.is_local) {
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

/// Removes those above the bound. The mean itself is never above it, so at
/// least one stays.
void CostChooser::drop_overloaded(std::vector<Rated>& rated) const {
  double sum = 1;
  for (const Rated& entry : rated) {
    sum += entry.load;
  }
  const double mean = sum / static_cast<double>(rated.size());
  const double bound = std::max(1.0, std::ceil(options_.load_bound * mean));
  const auto is_above = [&](const Rated& entry) { return entry.load + 1 > bound + 1e-9; };
  if (!std::all_of(rated.begin(), rated.end(), is_above)) {
    std::erase_if(rated, is_above);
  }
}

/// Draws the few that are compared: for prompts those with affinity, first, as
/// equal costs go to the first; then random ones, mostly of our own zone.
std::vector<std::size_t> CostChooser::draw(const std::vector<Rated>& rated,
                                           std::span<const Candidate> candidates,
                                           const ChoiceRequest& request) {
  std::vector<std::size_t> local;
  std::vector<std::size_t> all;
  for (std::size_t position = 0; position < rated.size(); ++position) {
    all.push_back(position);
    if (rated[position].is_local) {
      local.push_back(position);
    }
  }
  std::vector<std::size_t> drawn;
  if (options_.use_prefixes) {
    add_affine(rated, candidates, request, drawn);
  }
  add_random(local, options_.random_choices, drawn);
  add_random(all, local.empty() ? options_.random_choices : 1, drawn);
  return drawn;
}

/// Adds the one with the longest cached prefix and the group's home, the first
/// by rendezvous hashing among those within the bound.
void CostChooser::add_affine(const std::vector<Rated>& rated, std::span<const Candidate> candidates,
                             const ChoiceRequest& request, std::vector<std::size_t>& drawn) {
  const auto position_of = [&](auto found) {
    return static_cast<std::size_t>(found - rated.begin());
  };
  if (!request.prefixes.empty()) {
    const auto rank = [](const Rated& entry) { return std::pair(entry.cached_bytes, -entry.cost); };
    const auto longest = std::max_element(
        rated.begin(), rated.end(),
        [&](const Rated& left, const Rated& right) { return rank(left) < rank(right); });
    drawn.push_back(position_of(longest));
  }
  if (request.group) {
    const auto weight = [&](const Rated& entry) {
      return affinity_weight(*request.group, candidates[entry.index].replica->id);
    };
    const auto home = std::max_element(
        rated.begin(), rated.end(),
        [&](const Rated& left, const Rated& right) { return weight(left) < weight(right); });
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
