/// \file
/// `stoneport-bench weights-run`: how long publications take to reach all engines of
/// one policy, at several sizes, without any other traffic; virtual time.
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/simulation/weight_distribution.hpp"

namespace stoneport::bench {

namespace {

constexpr std::uint64_t kPublications = 4;
constexpr core::WeightVersion kFirstVersion(1);
/// Before and after each publication; longer than a rollout takes.
constexpr core::Duration kPause = std::chrono::seconds(120);
/// A publication meets the reports and the controller's pace at any phase.
constexpr double kMostShiftSeconds = 1;

cxxopts::Options make_options() {
  cxxopts::Options options(
      "stoneport-bench weights-run",
      "Publishes four versions of one policy, the first right after a "
      "controller took over, and prints how long each took to be in force everywhere: median and "
      "range over the seeds. Exits 1 when one did not arrive within 120 s.");
  options.add_options()("scenario", "whose engines and weight store",
                        cxxopts::value<std::string>()->default_value("scale"))(
      "sizes", "numbers of engines of the policy",
      cxxopts::value<std::vector<std::uint32_t>>()->default_value("70,140,280,560"))(
      "seeds", "", cxxopts::value<std::vector<std::uint64_t>>()->default_value("21,22,23,24,25"))(
      "help", "print this text");
  return options;
}

/// Seconds from publication until in force everywhere.
struct PublicationTimes {
  Distribution first;
  Distribution later;
  std::uint64_t missing = 0;  ///< publications that had not arrived at the next one
};

void publish_all(Scenario scenario, std::uint32_t engines, std::uint64_t seed,
                 PublicationTimes& times) {
  scenario.engines = engines;
  EventQueue events;
  RunMetrics metrics;
  EngineFleet fleet(events, scenario, seed);
  std::vector<std::size_t> group(engines);
  std::iota(group.begin(), group.end(), std::size_t{0});
  const Variant& variant = *find_variant("stoneport");
  WeightDistribution weights(events, scenario, variant, seed, fleet, group, kFirstVersion, metrics);
  core::RandomSource random(seed);
  for (std::uint64_t count = 1; count <= kPublications; ++count) {
    const double shift = kMostShiftSeconds * random.fraction();
    events.run_until(events.now() + kPause + core::from_seconds(shift));
    metrics.weights_in_place_seconds = Distribution{};
    weights.publish(core::WeightVersion(kFirstVersion.value() + count));
    events.run_until(events.now() + kPause);
    if (metrics.weights_in_place_seconds.count() == 0) {
      ++times.missing;
      continue;
    }
    Distribution& kind = count == 1 ? times.first : times.later;
    kind.add(metrics.weights_in_place_seconds.maximum());
  }
}

std::string spread_text(const Distribution& seconds) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << seconds.percentile(0.5) << " s ("
       << seconds.percentile(0) << "-" << seconds.maximum() << ")";
  return text.str();
}

int execute(const cxxopts::ParseResult& parsed) {
  const Scenario* scenario = find_scenario(parsed["scenario"].as<std::string>());
  if (scenario == nullptr) {
    return report_usage_error("weights-run", "no scenario of that name");
  }
  bool all_arrived = true;
  for (const std::uint32_t size : parsed["sizes"].as<std::vector<std::uint32_t>>()) {
    if (size == 0) {
      return report_usage_error("weights-run", "a size is at least 1");
    }
    PublicationTimes times;
    for (const std::uint64_t seed : parsed["seeds"].as<std::vector<std::uint64_t>>()) {
      publish_all(*scenario, size, seed, times);
    }
    std::cout << size << " engines: first " << spread_text(times.first) << ", later "
              << spread_text(times.later) << ", not arrived " << times.missing << "\n";
    all_arrived = all_arrived && times.missing == 0;
  }
  return all_arrived ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_weights_run_command(int argument_count, char** arguments) {
  return run_with_options({"weights-run", make_options()}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
