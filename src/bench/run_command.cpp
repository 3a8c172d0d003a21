/// \file
/// `stoneport-bench run` and `list`: variants of a scenario side by side, on the
/// same seed and arrivals.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/experiment.hpp"

namespace stoneport::bench {

namespace {

constexpr const char* kExamples =
    "\nexamples:\n"
    "  stoneport-bench run abay --seed 7\n"
    "  stoneport-bench run prepaid --variant round-robin --variant stoneport --json\n";

cxxopts::Options make_options() {
  cxxopts::Options options(
      "stoneport-bench run",
      "Simulates a scenario in virtual time with the decision code of the daemons; every variant "
      "meets the same arrivals. Exits 1 when something that must always hold did not.");
  options.positional_help("SCENARIO");
  options.add_options()("scenario", "which one; see 'stoneport-bench list'",
                        cxxopts::value<std::string>())(
      "variant", "repeatable; default: every variant that the scenario tells apart",
      cxxopts::value<std::vector<std::string>>())(
      "seed", "of arrivals, lengths and faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "variants that run at once", cxxopts::value<unsigned>()->default_value("4"))(
      "json", "print one JSON object")("help", "print this text");
  options.parse_positional({"scenario"});
  return options;
}

void print_table(const Experiment& experiment) {
  const std::vector<std::pair<const char*, const char*>> columns = {
      {"trainer_idle_ratio", "idle"},     {"step_seconds_p50", "step p50"},
      {"step_seconds_p99", "step p99"},   {"staleness_mean", "stale avg"},
      {"staleness_p99", "stale p99"},     {"tokens_wasted_ratio", "wasted"},
      {"prefix_hit_ratio", "prefix hit"}, {"samples_delivered", "samples"},
      {"latency_ms_p50", "ms p50"},       {"latency_ms_p99", "ms p99"}};
  constexpr int kNameWidth = 32;
  constexpr int kColumnWidth = 11;
  std::cout << std::left << std::setw(kNameWidth) << "variant" << std::right;
  for (const auto& [key, title] : columns) {
    std::cout << std::setw(kColumnWidth) << title;
  }
  std::cout << "\n" << std::setprecision(4);
  for (const VariantResult& result : experiment.results) {
    const nlohmann::json metrics = to_json(result.metrics);
    std::cout << std::left << std::setw(kNameWidth) << result.name << std::right;
    for (const auto& [key, title] : columns) {
      std::cout << std::setw(kColumnWidth) << metrics[key].get<double>();
    }
    std::cout << (result.metrics.guarantees_hold() ? "" : "  BROKEN") << "\n";
  }
  std::cout << "bound on idle with full knowledge: "
            << experiment.results.front().metrics.trainer_idle_ratio_bound << "\n";
}

int execute(const cxxopts::ParseResult& parsed) {
  if (parsed.count("scenario") == 0) {
    return report_usage_error("run", "no scenario named");
  }
  std::vector<std::string> names;
  if (parsed.count("variant") > 0) {
    names = parsed["variant"].as<std::vector<std::string>>();
  }
  const auto plan = plan_experiment(parsed["scenario"].as<std::string>(), names,
                                    parsed["seed"].as<std::uint64_t>());
  if (!plan) {
    return report_usage_error("run", plan.error().message);
  }
  const Experiment experiment =
      run_experiment(*plan, std::max(1u, parsed["threads"].as<unsigned>()));
  if (parsed.count("json") > 0) {
    std::cout << to_json(experiment).dump() << std::endl;
  } else {
    print_table(experiment);
  }
  return experiment.ok() ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_run_command(int argument_count, char** arguments) {
  return run_with_options({"run", make_options(), kExamples}, argument_count, arguments, execute);
}

int run_list_command(int, char**) {
  std::cout << "scenarios:\n";
  for (const Scenario& scenario : scenario_catalog()) {
    std::cout << "  " << std::left << std::setw(14) << scenario.name << scenario.summary << "\n";
  }
  std::cout << "variants:\n";
  for (const Variant& variant : variant_catalog()) {
    std::cout << "  " << variant.name << "\n";
  }
  return kExitSuccess;
}

}  // namespace stoneport::bench
