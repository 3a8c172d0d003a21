/// \file
/// `stoneport-bench report`: scenarios on several seeds as one HTML page.
#include <algorithm>
#include <fstream>
#include <iostream>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/report_page.hpp"

namespace stoneport::bench {

namespace {

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-bench report",
                           "Runs scenarios on several seeds and writes tables and plots as one "
                           "HTML page. Exits 1 when something that must always hold did not.");
  options.positional_help("[SCENARIO...]");
  options.add_options()(
      "scenarios", "default: abay, prepaid, event-start and faults",
      cxxopts::value<std::vector<std::string>>()->default_value("abay,prepaid,event-start,faults"))(
      "seeds", "", cxxopts::value<std::vector<std::uint64_t>>()->default_value("1,2,3,4,5"))(
      "threads", "variants that run at once", cxxopts::value<unsigned>()->default_value("3"))(
      "output", "file to write", cxxopts::value<std::string>()->default_value("report.html"))(
      "help", "print this text");
  options.parse_positional({"scenarios"});
  return options;
}

int execute(const cxxopts::ParseResult& parsed) {
  std::vector<ScenarioReport> reports;
  bool ok = true;
  for (const std::string& name : parsed["scenarios"].as<std::vector<std::string>>()) {
    ScenarioReport report{name, "", {}};
    for (const std::uint64_t seed : parsed["seeds"].as<std::vector<std::uint64_t>>()) {
      const auto plan = plan_experiment(name, {}, seed);
      if (!plan) {
        return report_usage_error("report", plan.error().message);
      }
      report.summary = plan->scenario->summary;
      report.experiments.push_back(
          run_experiment(*plan, std::max(1u, parsed["threads"].as<unsigned>())));
      ok = ok && report.experiments.back().ok();
    }
    reports.push_back(std::move(report));
  }
  const std::string file = parsed["output"].as<std::string>();
  std::ofstream out(file);
  out << report_page(reports);
  out.close();
  if (!out) {
    return report_usage_error("report", "cannot write " + file);
  }
  return ok ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_report_command(int argument_count, char** arguments) {
  return run_with_options({"report", make_options()}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
