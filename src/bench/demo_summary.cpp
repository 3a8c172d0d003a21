#include "bench/demo_summary.hpp"

namespace stoneport::bench {

namespace {

/// Counts of a trainer's report that must be zero.
constexpr const char* kTrainerFaults[] = {
    "samples_duplicate",    "samples_over_bound", "samples_wrong_versions", "samples_wrong_prompt",
    "samples_unknown_text", "samples_outside",    "false_completions"};

std::uint64_t count_of(const nlohmann::json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_number_integer() ? found->get<std::uint64_t>() : 0;
}

void append_keys(std::vector<std::string>& keys, const nlohmann::json& load, const char* outcome) {
  for (const nlohmann::json& key : load.at("non_repeatable").at(outcome)) {
    keys.push_back(key.get<std::string>());
  }
}

}  // namespace

void DemoSummary::require(bool holds, const std::string& problem) {
  if (!holds) {
    problems_.push_back(problem);
  }
}

void DemoSummary::add_trainer(const std::string& name, const nlohmann::json& report) {
  const std::uint64_t expected = count_of(report, "samples_expected");
  const std::uint64_t delivered = count_of(report, "samples_delivered");
  samples_expected_ += expected;
  samples_delivered_ += delivered;
  samples_duplicate_ += count_of(report, "samples_duplicate");
  samples_over_bound_ += count_of(report, "samples_over_bound");
  const std::string state = report.value("state", "");
  require(state == "finished",
          "trainer " + name + " is " + state + " " + report.value("error", ""));
  require(expected > 0 && delivered == expected, "trainer " + name + " holds " +
                                                     std::to_string(delivered) + " of " +
                                                     std::to_string(expected) + " samples");
  for (const char* fault : kTrainerFaults) {
    const std::uint64_t count = count_of(report, fault);
    require(count == 0, "trainer " + name + ": " + fault + " is " + std::to_string(count));
  }
}

void DemoSummary::add_load(const std::string& name, const nlohmann::json& load) {
  requests_completed_ += count_of(load, "requests_completed");
  requests_not_run_ += count_of(load, "requests_not_run");
  requests_unknown_ += count_of(load, "requests_unknown");
  require(load.value("ok", false),
          "load " + name + ": " + std::to_string(count_of(load, "wrong_answers")) +
              " wrong answers, " + std::to_string(count_of(load, "outcome_missing")) +
              " without an outcome");
  append_keys(claimed_.completed, load, "completed");
  append_keys(claimed_.not_run, load, "not_run");
  append_keys(claimed_.unknown, load, "unknown");
}

void DemoSummary::add_ledger(const std::string& service, const nlohmann::json& ledger) {
  const std::uint64_t double_runs = count_of(ledger, "non_repeatable_double_runs");
  double_runs_ += double_runs;
  require(double_runs == 0, "service " + service + " ran " + std::to_string(double_runs) +
                                " non-repeatable requests again");
  const std::uint64_t unidentified = count_of(ledger, "unidentified_runs");
  require(unidentified == 0, "service " + service + " ran " + std::to_string(unidentified) +
                                 " requests that lost their identifier");
}

void DemoSummary::add_runs(const nlohmann::json& runs) {
  check_runs(runs, claimed_.completed, 1, 1, "completed");
  check_runs(runs, claimed_.not_run, 0, 0, "not run");
  check_runs(runs, claimed_.unknown, 0, 1, "unknown");
}

void DemoSummary::check_runs(const nlohmann::json& runs, const std::vector<std::string>& keys,
                             std::uint64_t least, std::uint64_t most, const std::string& told) {
  for (const std::string& key : keys) {
    const std::uint64_t count = count_of(runs, key.c_str());
    require(count >= least && count <= most, "request " + key + " was told to be " + told +
                                                 " and ran " + std::to_string(count) + " times");
  }
}

void DemoSummary::check(const DemoExpectations& expectations) {
  const std::uint64_t non_repeatable = claimed_.completed.size();
  require(samples_delivered_ >= expectations.samples, std::to_string(samples_delivered_) +
                                                          " samples, wanted at least " +
                                                          std::to_string(expectations.samples));
  require(requests_completed_ >= expectations.requests,
          std::to_string(requests_completed_) + " completed requests, wanted at least " +
              std::to_string(expectations.requests));
  require(non_repeatable >= expectations.non_repeatable,
          std::to_string(non_repeatable) + " completed non-repeatable requests, wanted at least " +
              std::to_string(expectations.non_repeatable));
}

nlohmann::json DemoSummary::to_json() const {
  return {{"samples_expected", samples_expected_},
          {"samples_delivered", samples_delivered_},
          {"samples_duplicate", samples_duplicate_},
          {"samples_over_bound", samples_over_bound_},
          {"requests_completed", requests_completed_},
          {"requests_not_run", requests_not_run_},
          {"requests_unknown", requests_unknown_},
          {"non_repeatable_double_runs", double_runs_},
          {"ok", problems_.empty()}};
}

}  // namespace stoneport::bench
