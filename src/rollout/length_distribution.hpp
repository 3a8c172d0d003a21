/// \file
/// Distribution of sample lengths while some samples still run. A running sample
/// says only that its length is above what it has so far (right-censored), so the
/// survival curve is the Kaplan-Meier estimate; counting finished samples alone
/// would favour short ones.
#pragma once

#include <cstdint>
#include <vector>

namespace stoneport::rollout {

class LengthDistribution {
 public:
  /// \param finished lengths in tokens of finished samples
  /// \param running tokens so far of samples that still run
  /// \param longest length in tokens at which engines stop a sample
  LengthDistribution(std::vector<std::uint64_t> finished, std::vector<std::uint64_t> running,
                     std::uint64_t longest);

  /// \return the probability that a sample is longer than \p tokens.
  double survival(std::uint64_t tokens) const;
  /// \return tokens that a sample which has \p tokens_so_far still needs, at
  /// \p quantile of the lengths beyond that. Up to the longest length where too
  /// few samples finished to say.
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
