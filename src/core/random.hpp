/// \file
/// Seeded random numbers. Boost.Random's distributions produce the same sequence on every
/// platform, which the standard library's do not guarantee.
#pragma once

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>

namespace stoneport::core {

/// Random number generator. Not thread-safe.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  /// \return an integer in the closed interval [\p low, \p high].
  std::uint64_t uniform(std::uint64_t low, std::uint64_t high) {
    return boost::random::uniform_int_distribution<std::uint64_t>(low, high)(engine_);
  }
  /// \return a real number in [0, 1).
  double fraction() { return boost::random::uniform_real_distribution<double>(0, 1)(engine_); }
  bool chance(double probability) {
    return boost::random::bernoulli_distribution<double>(probability)(engine_);
  }
  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(engine_);
  }
  double log_normal(double mean_of_log, double deviation_of_log) {
    return boost::random::lognormal_distribution<double>(mean_of_log, deviation_of_log)(engine_);
  }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace stoneport::core
