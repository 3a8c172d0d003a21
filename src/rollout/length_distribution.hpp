/// \file
/// Estimates the distribution of sample lengths while some samples are still running. A running
/// sample gives only a lower bound of its length (right-censored), so the survival curve is the
/// Kaplan-Meier estimate. Counting only finished samples would be biased towards short ones.
#pragma once

#include <cstdint>
#include <vector>

namespace stoneport::rollout {

/// Survival curve of sample lengths.
class LengthDistribution {
 public:
  /// \param finished lengths in tokens of finished samples
  /// \param running tokens so far of running samples
  /// \param longest length in tokens at which engines stop a sample
  LengthDistribution(std::vector<std::uint64_t> finished, std::vector<std::uint64_t> running,
                     std::uint64_t longest);

  /// \return the probability that a sample is longer than \p tokens.
  double survival(std::uint64_t tokens) const;
  /// \return the \p quantile of the remaining tokens of a sample that has \p tokens_so_far. Assumes
  /// the longest length when too few samples have finished.
  std::uint64_t remaining(std::uint64_t tokens_so_far, double quantile) const;

 private:
  struct Point {
    std::uint64_t length = 0;
    double survival = 1;  ///< just after this length
  };
  std::vector<Point> curve_;  ///< in order of length
  std::uint64_t longest_;
};

}  // namespace stoneport::rollout
