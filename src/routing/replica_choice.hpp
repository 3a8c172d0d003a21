/// \file
/// Cost-based choice of a replica: the cheapest of a few candidates under a load bound
/// (docs/design/routing.md). Not thread-safe.
#pragma once

#include "core/random.hpp"
#include "routing/replica_chooser.hpp"

namespace stoneport::routing {

/// Costs are measured in running requests: 1 equals one more request running there.
struct CostOptions {
  core::ZoneName zone;      ///< zone of this process
  core::RegionName region;  ///< region of this process
  double cross_zone_cost = 1;
  double cross_region_cost = 16;
  /// Half-life of a digest's weight; the rest of the estimate comes from the mean.
  core::Duration digest_half_life = std::chrono::seconds(2);
  /// Number of uncached prompt bytes whose prefill costs as much as one running request.
  double prefill_bytes_per_request = 4096;
  /// Additional cost of each request above the replica's concurrency.
  double waiting_factor = 2;
  double swapping_cost = 4;
  /// Cost of a replica with an older weight version than the preferred one.
  double older_version_cost = 8;
  /// Multiple of the mean load up to which affinity may choose a replica.
  double load_bound = 1.25;
  std::size_t random_choices = 2;

  /// One switch per mechanism, so that the effect of each can be measured.
  bool use_digests = true;
  bool use_prefixes = true;
  bool use_load_bound = true;
};

class CostChooser : public ReplicaChooser {
 public:
  /// \param seed of the random candidates; must differ between threads
  CostChooser(CostOptions options, std::uint64_t seed) : options_(options), random_(seed) {}

  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  /// An eligible candidate with the intermediate results of the choice.
  struct ScoredCandidate {
    std::size_t index = 0;
    double load = 0;               ///< requests there: of this process and, by estimate, of others
    std::size_t cached_bytes = 0;  ///< cached bytes of the prompt
    double cost = 0;
    bool is_local = false;
  };

  std::vector<ScoredCandidate> rate(std::span<const Candidate> candidates,
                                    const std::vector<std::size_t>& eligible,
                                    const ChoiceRequest& request, core::MonotonicTime now) const;
  void estimate_loads(std::span<const Candidate> candidates, std::vector<ScoredCandidate>& scored,
                      core::MonotonicTime now) const;
  double cost(const Replica& replica, const ScoredCandidate& scored,
              const ChoiceRequest& request) const;
  void remove_overloaded(std::vector<ScoredCandidate>& scored) const;
  std::vector<std::size_t> draw(const std::vector<ScoredCandidate>& scored,
                                std::span<const Candidate> candidates,
                                const ChoiceRequest& request);
  static void add_affine(const std::vector<ScoredCandidate>& scored,
                         std::span<const Candidate> candidates, const ChoiceRequest& request,
                         std::vector<std::size_t>& drawn);
  void add_random(const std::vector<std::size_t>& from, std::size_t count,
                  std::vector<std::size_t>& drawn);

  CostOptions options_;
  core::RandomSource random_;
};

}  // namespace stoneport::routing
