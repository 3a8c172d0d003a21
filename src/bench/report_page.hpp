/// \file
/// Experiments as one self-contained HTML page: a table a scenario, and bars in
/// SVG for what the users measure.
#pragma once

#include <string>
#include <vector>

#include "bench/experiment.hpp"

namespace stoneport::bench {

/// Experiments of one scenario on several seeds.
struct ScenarioReport {
  std::string scenario;
  std::string summary;
  std::vector<Experiment> experiments;
};

/// \return HTML with everything inside it; no link leads out.
std::string report_page(const std::vector<ScenarioReport>& reports);

}  // namespace stoneport::bench
