/// \file
/// The least idle time that a trainer could have had if the scheduler had known
/// every length beforehand: a lower bound, not a schedule. How it is worked out:
///
/// For a step, two times that no schedule can beat:
/// - alone: the longest of the samples' times on the fastest engine with no other
///   stream in the batch, prompt uncached;
/// - work: the engines' time for all tokens and for each prompt once, with every
///   iteration's base time shared by a full batch, spread over all engines without
///   a gap.
///
/// A step opens when its trainer publishes (and, with steps ahead, that many
/// trainings earlier). With an age bound of zero no work can precede the new
/// weights: the first engine has them after one fetch at its full rate and one
/// switch, the others as fast as the store's rate allows. Otherwise work may
/// begin at once. Lags, latencies, ordinary traffic and memory are left out, which
/// can only lower the bound.
#pragma once

#include <cstdint>
#include <vector>

#include "bench/simulation/scenario.hpp"

namespace stoneport::bench {

/// \param speeds of the engines of the trainer's policy; 1 is the scenario's own
/// \return the bound on the share of time that the trainer is idle.
double trainer_idle_bound(const Scenario& scenario, const TrainerSettings& trainer,
                          const std::vector<double>& speeds, std::uint64_t seed);

}  // namespace stoneport::bench
