/// \file
/// Order statistics over measured values.
#pragma once

#include <vector>

namespace stoneport::bench {

/// Collects values and answers percentiles over all of them.
class Distribution {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  void add_all(const Distribution& other);
  std::size_t count() const { return values_.size(); }
  /// \param share in [0, 1]; 0.99 gives the 99th percentile by nearest rank
  /// \return 0 when nothing was added
  double percentile(double share) const;
  double maximum() const { return percentile(1.0); }
  double mean() const;

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = true;
};

}  // namespace stoneport::bench
