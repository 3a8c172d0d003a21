/// \file
/// The trainer's own account of one run: which slots it holds, and whether each
/// sample is what it should be. Plain code; trusts nothing that a daemon says.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "emulator/ground_truth.hpp"
#include "emulator/trainer_messages.hpp"

namespace stoneport::emulator {

class TrainerLedger {
 public:
  /// \param truth outlives the ledger
  TrainerLedger(const TrainerRun& run, const GroundTruth& truth);

  /// Begins a step with no slot held.
  void begin_step(std::vector<std::string> prompts);
  /// Takes in one handed-over sample at the trainer's current version.
  void take(const DeliveredSample& sample);
  /// \return whether the answer counts; one of an epoch below the highest seen
  /// does not.
  bool accept_epoch(std::uint64_t epoch);
  void set_current_version(core::WeightVersion version) { report_.current_version = version; }

  void set_age_bound(std::uint32_t age_bound) { age_bound_ = age_bound; }

  std::uint64_t held() const { return held_; }
  std::uint64_t expected() const { return slots_.size(); }
  bool complete() const { return held_ == slots_.size(); }
  /// \return lowercase hex of the held slots: bit prompt * K + sample, lowest first.
  std::string held_bitmap() const;
  TrainerReport& report() { return report_; }
  /// \return the report with the histogram filled in.
  TrainerReport summary() const;

 private:
  void check_versions(const DeliveredSample& sample);
  void check_origin(const DeliveredSample& sample);
  void check_age(const DeliveredSample& sample);

  std::uint32_t samples_per_prompt_;
  std::uint32_t age_bound_;
  const GroundTruth& truth_;
  std::vector<std::string> prompts_;
  std::vector<bool> slots_;
  std::uint64_t held_ = 0;
  std::map<std::uint64_t, std::uint64_t> staleness_;  ///< samples by staleness
  TrainerReport report_;
};

/// \return whether \p spans state for each token of \p text the version that made it.
bool spans_match_text(const std::vector<VersionSpan>& spans, std::uint64_t token_count,
                      const std::string& text);

/// \return prompts of step \p step of \p run: those given, or made up.
std::vector<std::string> step_prompts(const TrainerRun& run, std::uint64_t step);

}  // namespace stoneport::emulator
