/// \file
/// The demo's final line, from what the emulated trainers and services counted
/// and what the callers counted. Nothing in it comes from a daemon about itself.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace stoneport::bench {

/// Least sizes of a demo that proves something.
struct DemoExpectations {
  std::uint64_t samples = 0;
  std::uint64_t requests = 0;
  std::uint64_t non_repeatable = 0;
};

/// Idempotency keys by what their callers were told.
struct ClaimedOutcomes {
  std::vector<std::string> completed;
  std::vector<std::string> not_run;
  std::vector<std::string> unknown;
};

class DemoSummary {
 public:
  /// \param report of one emulated trainer, as its control interface gives it
  void add_trainer(const std::string& name, const nlohmann::json& report);
  /// \param load output of `stoneport-bench load --json`
  void add_load(const std::string& name, const nlohmann::json& load);
  /// \param ledger summary of a service's ledger
  void add_ledger(const std::string& service, const nlohmann::json& ledger);
  /// Compares what callers were told with how often each key was run.
  /// \param runs count by key, from the service's ledger
  void add_runs(const nlohmann::json& runs);
  const ClaimedOutcomes& claimed() const { return claimed_; }
  void check(const DemoExpectations& expectations);

  /// \return what does not hold, one line each; empty when all does.
  const std::vector<std::string>& problems() const { return problems_; }
  nlohmann::json to_json() const;

 private:
  void require(bool holds, const std::string& problem);
  void check_runs(const nlohmann::json& runs, const std::vector<std::string>& keys,
                  std::uint64_t least, std::uint64_t most, const std::string& told);

  std::uint64_t samples_expected_ = 0;
  std::uint64_t samples_delivered_ = 0;
  std::uint64_t samples_duplicate_ = 0;
  std::uint64_t samples_over_bound_ = 0;
  std::uint64_t requests_completed_ = 0;
  std::uint64_t requests_not_run_ = 0;
  std::uint64_t requests_unknown_ = 0;
  std::uint64_t double_runs_ = 0;
  ClaimedOutcomes claimed_;
  std::vector<std::string> problems_;
};

}  // namespace stoneport::bench
