/// \file
/// One variant of one scenario from start to end, in virtual time.
#pragma once

#include <cstdint>

#include "bench/simulation/run_metrics.hpp"
#include "bench/simulation/scenario.hpp"
#include "bench/simulation/variant.hpp"

namespace stoneport::bench {

/// Runs without sockets, clocks or threads: the same arguments give the same
/// metrics in every run.
RunMetrics simulate(const Scenario& scenario, const Variant& variant, std::uint64_t seed);

}  // namespace stoneport::bench
