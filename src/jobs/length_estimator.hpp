/// \file
/// How long a text will be: what its client guessed, corrected by how guesses and
/// lengths of whole texts have differed so far, and by the events that are there
/// already. Plain code: observations go in, an estimate comes out.
#pragma once

#include <cstdint>
#include <optional>

namespace stoneport::jobs {

/// What is known of one text's length. Lengths are counted in events.
struct LengthEvidence {
  std::uint64_t guess = 0;  ///< the client's, in units of its own; zero unknown
  std::uint64_t made = 0;   ///< events that are there
  std::uint64_t seen = 0;   ///< most events an earlier attempt at the same item made
  bool seen_whole = false;  ///< that attempt was whole: the text has `seen` events
};

/// The law of length against guess: the logarithm of their ratio is taken as normal,
/// with a mean and a spread that follow what is observed.
class LengthEstimator {
 public:
  /// A whole text had \p events events.
  void note_whole(std::uint64_t guess, std::uint64_t events);
  /// \return whether enough texts were seen to tell a length.
  bool is_known() const;
  /// \return the events that are still to come, in the median of such texts; without a
  /// known law the guess itself, which only ranks texts.
  double median_remaining(const LengthEvidence& evidence) const;
  /// \return the same in the mean, which is what many texts add up to; long texts weigh more in it.
  double mean_remaining(const LengthEvidence& evidence) const;
  /// \return the events within which nine of ten such texts end.
  double p90_remaining(const LengthEvidence& evidence) const;

 private:
  double quantile_of_total(const LengthEvidence& evidence, double at_least, double share) const;
  double median_total(const LengthEvidence& evidence, double at_least) const;

  std::uint64_t count_ = 0;
  double mean_ = 0;      ///< of the logarithm of events over guess
  double variance_ = 0;  ///< of the same
};

}  // namespace stoneport::jobs
