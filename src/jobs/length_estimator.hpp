/// \file
/// Estimates the length of a text from the client's guess, corrected by how guesses and the lengths
/// of complete texts have differed so far, and from the events that exist already. No I/O.
#pragma once

#include <cstdint>
#include <optional>

namespace stoneport::jobs {

/// Evidence about the length of one text. Lengths are counted in events.
struct LengthEvidence {
  std::uint64_t guess = 0;     ///< the client's estimate, in its own unit; zero if unknown
  std::uint64_t made = 0;      ///< events that exist
  std::uint64_t seen = 0;      ///< most events that an earlier attempt at the same item generated
  bool seen_complete = false;  ///< that attempt completed: the text has `seen` events
};

/// Log-normal model of the ratio of length to guess, with a mean and a standard deviation that are
/// moving averages of the observations.
class LengthEstimator {
 public:
  /// Records the length of a complete text, in events.
  void record_complete(std::uint64_t guess, std::uint64_t events);
  /// \return whether enough texts were observed to estimate lengths.
  bool is_known() const;
  /// \return the median number of remaining events; before is_known(), the guess itself, which only
  /// serves to rank texts.
  double median_remaining(const LengthEvidence& evidence) const;
  /// \return the mean number of remaining events, to be summed over many texts; larger than the
  /// median, as long texts weigh more in it.
  double mean_remaining(const LengthEvidence& evidence) const;
  /// \return the 90th percentile of the remaining events.
  double p90_remaining(const LengthEvidence& evidence) const;

 private:
  double quantile_of_total(const LengthEvidence& evidence, double at_least, double share) const;
  double median_total(const LengthEvidence& evidence, double at_least) const;

  std::uint64_t count_ = 0;
  double mean_ = 0;      ///< of log(events / guess)
  double variance_ = 0;  ///< of log(events / guess)
};

}  // namespace stoneport::jobs
