#include "bench/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stoneport::bench {

void Distribution::add_all(const Distribution& other) {
  values_.insert(values_.end(), other.values_.begin(), other.values_.end());
  sorted_ = false;
}

double Distribution::percentile(double share) const {
  if (values_.empty()) {
    return 0;
  }
  if (!sorted_) {
    std::sort(values_.begin(), values_.end());
    sorted_ = true;
  }
  const double rank = std::ceil(share * static_cast<double>(values_.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return values_[std::min(index, values_.size() - 1)];
}

double Distribution::mean() const {
  if (values_.empty()) {
    return 0;
  }
  return std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

}  // namespace stoneport::bench
