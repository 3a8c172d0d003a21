/// \file
/// The full decision which replica gets a request: least cost out of a few
/// candidates under a bound on load (docs/design/routing.md). Plain code, owned
/// by one thread.
#pragma once

#include "core/random.hpp"
#include "routing/replica_chooser.hpp"

namespace stoneport::routing {

/// Costs are in running requests: 1 is as bad as one more request running there.
struct CostOptions {
  core::ZoneName zone;      ///< where this process runs
  core::RegionName region;  ///< where this process runs
  double cross_zone_cost = 1;
  double cross_region_cost = 16;
  /// A digest counts half after this time; the rest is taken from the mean.
  core::Duration digest_half_life = std::chrono::seconds(2);
  /// Uncached prompt bytes whose prefill is as bad as one more running request.
  double prefill_bytes_per_request = 4096;
  /// Each request above what the replica runs at once costs this much more.
  double waiting_factor = 2;
  double swapping_cost = 4;
  /// For a replica on an older weight version than the preferred one.
  double older_version_cost = 8;
  /// A replica may hold this many times the mean load before affinity passes it by.
  double load_bound = 1.25;
  std::size_t random_choices = 2;

  /// Switches, one a mechanism, so that each one's worth can be measured.
  bool use_digests = true;
  bool use_prefixes = true;
  bool use_load_bound = true;
};

class CostChooser : public ReplicaChooser {
 public:
  /// \param seed of the random candidates; give each thread its own
  CostChooser(CostOptions options, std::uint64_t seed) : options_(options), random_(seed) {}

  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  /// One eligible candidate with what the decision worked out for it.
  struct Rated {
    std::size_t index = 0;
    double load = 0;               ///< requests there: ours and, by estimate, others'
    std::size_t cached_bytes = 0;  ///< of the prompt
    double cost = 0;
    bool is_local = false;
  };

  std::vector<Rated> rate(std::span<const Candidate> candidates,
                          const std::vector<std::size_t>& eligible, const ChoiceRequest& request,
                          core::MonotonicTime now) const;
  void estimate_loads(std::span<const Candidate> candidates, std::vector<Rated>& rated,
                      core::MonotonicTime now) const;
  double cost(const Replica& replica, const Rated& rated, const ChoiceRequest& request) const;
  void drop_overloaded(std::vector<Rated>& rated) const;
  std::vector<std::size_t> draw(const std::vector<Rated>& rated,
                                std::span<const Candidate> candidates,
                                const ChoiceRequest& request);
  static void add_affine(const std::vector<Rated>& rated, std::span<const Candidate> candidates,
                         const ChoiceRequest& request, std::vector<std::size_t>& drawn);
  void add_random(const std::vector<std::size_t>& from, std::size_t count,
                  std::vector<std::size_t>& drawn);

  CostOptions options_;
  core::RandomSource random_;
};

}  // namespace stoneport::routing
