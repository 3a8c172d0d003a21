#include "jobs/length_estimator.hpp"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace stoneport::jobs {
namespace {

/// Number of complete texts after which the distribution is used.
constexpr std::uint64_t kFewestTexts = 20;
/// Number of texts over which the moving averages extend.
constexpr std::uint64_t kMemory = 300;
/// Standard deviation of the logarithm before it is known, and its lower bound.
constexpr double kLeastSpread = 0.2;
/// An incomplete text has at least this many remaining events, and at least this fraction of those
/// that it has: one beyond the range of the distribution may continue for long.
constexpr double kLeastRest = 1;
constexpr double kLeastRestShare = 0.1;
/// Above this quantile the distribution cannot estimate a length.
constexpr double kLargestShare = 0.9995;
constexpr double kMedian = 0.5;
/// In standard deviations: every text is longer than zero events.
constexpr double kFarAbove = 10;
/// Quantile of p90_remaining(): a step does not wait for a tenth of its groups, and one of these
/// can replace a wanted group with a longer text.
constexpr double kLongShare = 0.9;

double guess_of(std::uint64_t guess) {
  return static_cast<double>(std::max(guess, std::uint64_t{1}));
}

}  // namespace

void LengthEstimator::record_complete(std::uint64_t guess, std::uint64_t events) {
  if (events == 0) {
    return;
  }
  const double ratio = std::log(static_cast<double>(events) / guess_of(guess));
  count_ = std::min(count_ + 1, kMemory);
  const double weight = 1.0 / static_cast<double>(count_);
  const double off = ratio - mean_;
  mean_ += weight * off;
  variance_ = (1 - weight) * (variance_ + weight * off * off);
}

bool LengthEstimator::is_known() const {
  return count_ >= kFewestTexts;
}

/// \return the \p share quantile of the length of texts with that guess, among those that have \p
/// at_least events.
double LengthEstimator::quantile_of_total(const LengthEvidence& evidence, double at_least,
                                          double share) const {
  const double spread = std::max(std::sqrt(variance_), kLeastSpread);
  const boost::math::normal distribution(std::log(guess_of(evidence.guess)) + mean_, spread);
  const double below = at_least > 0 ? boost::math::cdf(distribution, std::log(at_least)) : 0;
  const double share_of_all = std::min(below + (1 - below) * share, kLargestShare);
  return std::max(std::exp(boost::math::quantile(distribution, share_of_all)), at_least);
}

double LengthEstimator::median_total(const LengthEvidence& evidence, double at_least) const {
  return quantile_of_total(evidence, at_least, kMedian);
}

double LengthEstimator::median_remaining(const LengthEvidence& evidence) const {
  const auto made = static_cast<double>(evidence.made);
  const auto seen = static_cast<double>(evidence.seen);
  if (evidence.seen_complete && evidence.seen > evidence.made) {
    return seen - made;
  }
  if (!is_known()) {
    return std::max({guess_of(evidence.guess), seen, kLeastRest});
  }
  const double expected = median_total(evidence, std::max(made, seen)) - made;
  return std::max({expected, made * kLeastRestShare, kLeastRest});
}

double LengthEstimator::mean_remaining(const LengthEvidence& evidence) const {
  const double median = median_remaining(evidence);
  const bool is_told = evidence.seen_complete && evidence.seen > evidence.made;
  if (is_told || !is_known()) {
    return median;
  }
  const double spread = std::max(std::sqrt(variance_), kLeastSpread);
  const double mean = std::log(guess_of(evidence.guess)) + mean_;
  const auto at_least = static_cast<double>(std::max(evidence.made, evidence.seen));
  const double shift = at_least > 0 ? (mean - std::log(at_least)) / spread : kFarAbove;
  const boost::math::normal unit;
  const double longer = boost::math::cdf(unit, shift);
  if (longer < 1 - kLargestShare) {
    return median;
  }
  const double whole = std::exp(mean + spread * spread / 2);
  const double total = whole * boost::math::cdf(unit, shift + spread) / longer;
  return std::max(total - static_cast<double>(evidence.made), median);
}

double LengthEstimator::p90_remaining(const LengthEvidence& evidence) const {
  const double median = median_remaining(evidence);
  const bool is_told = evidence.seen_complete && evidence.seen > evidence.made;
  if (is_told || !is_known()) {
    return median;
  }
  const auto at_least = static_cast<double>(std::max(evidence.made, evidence.seen));
  const double total = quantile_of_total(evidence, at_least, kLongShare);
  return std::max(total - static_cast<double>(evidence.made), median);
}

}  // namespace stoneport::jobs
