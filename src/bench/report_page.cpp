#include "bench/report_page.hpp"

#include <algorithm>
#include <cstdio>

namespace stoneport::bench {

namespace {

/// One metric over the seeds.
struct Spread {
  double mean = 0;
  double least = 0;
  double most = 0;
};

struct Column {
  const char* key;
  const char* title;
};

constexpr Column kColumns[] = {
    {"trainer_idle_ratio", "idle"},           {"trainer_idle_ratio_bound", "idle bound"},
    {"step_seconds_p50", "step s p50"},       {"step_seconds_p99", "step s p99"},
    {"staleness_mean", "staleness mean"},     {"staleness_p99", "staleness p99"},
    {"tokens_wasted_ratio", "wasted"},        {"prefix_hit_ratio", "prefix hits"},
    {"prefix_hit_ratio_bound", "hits bound"}, {"completion_seconds_p99", "completion s p99"},
    {"latency_ms_p99", "request ms p99"},     {"requests_not_run", "not run"},
    {"requests_unknown", "unknown"}};
constexpr Column kPlots[] = {{"trainer_idle_ratio", "Trainer idle ratio"},
                             {"staleness_mean", "Staleness, mean (versions)"},
                             {"prefix_hit_ratio", "Prefix hit ratio"}};

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

Spread spread_of(const ScenarioReport& report, std::size_t variant, const char* key) {
  Spread spread;
  bool first = true;
  for (const Experiment& experiment : report.experiments) {
    const nlohmann::json metrics = to_json(experiment.results[variant].metrics);
    const double value = metrics.at(key).get<double>();
    spread.mean += value / static_cast<double>(report.experiments.size());
    spread.least = first ? value : std::min(spread.least, value);
    spread.most = first ? value : std::max(spread.most, value);
    first = false;
  }
  return spread;
}

std::string seeds_text(const ScenarioReport& report) {
  std::string text;
  for (const Experiment& experiment : report.experiments) {
    text += (text.empty() ? "" : ", ") + std::to_string(experiment.seed);
  }
  return text;
}

std::string table(const ScenarioReport& report) {
  std::string html = "<table><tr><th>variant</th>";
  for (const Column& column : kColumns) {
    html += std::string("<th>") + column.title + "</th>";
  }
  html += "</tr>\n";
  const std::vector<VariantResult>& variants = report.experiments.front().results;
  for (std::size_t variant = 0; variant < variants.size(); ++variant) {
    html += "<tr><td>" + variants[variant].name + "</td>";
    for (const Column& column : kColumns) {
      const Spread spread = spread_of(report, variant, column.key);
      html += "<td>" + number(spread.mean) + "<br><small>" + number(spread.least) + " &ndash; " +
              number(spread.most) + "</small></td>";
    }
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

/// Bars of the mean with a line from the least to the most.
std::string plot(const ScenarioReport& report, const Column& column) {
  constexpr int kRow = 24;
  constexpr int kLabel = 260;
  constexpr int kWidth = 420;
  const std::vector<VariantResult>& variants = report.experiments.front().results;
  std::vector<Spread> spreads;
  double largest = 0;
  for (std::size_t variant = 0; variant < variants.size(); ++variant) {
    spreads.push_back(spread_of(report, variant, column.key));
    largest = std::max(largest, spreads.back().most);
  }
  const double scale = largest > 0 ? kWidth / largest : 0;
  const int height = kRow * static_cast<int>(variants.size()) + kRow;
  std::string svg = "<svg width=\"" + std::to_string(kLabel + kWidth + 80) + "\" height=\"" +
                    std::to_string(height) + "\"><text x=\"0\" y=\"14\" class=\"title\">" +
                    column.title + "</text>\n";
  for (std::size_t variant = 0; variant < variants.size(); ++variant) {
    const Spread& spread = spreads[variant];
    const int top = kRow * static_cast<int>(variant + 1);
    const std::string middle = std::to_string(top + kRow / 2 + 2);
    svg += "<text x=\"0\" y=\"" + std::to_string(top + kRow / 2 + 6) + "\">" +
           variants[variant].name + "</text><rect x=\"" + std::to_string(kLabel) + "\" y=\"" +
           std::to_string(top + 4) + "\" height=\"" + std::to_string(kRow - 8) + "\" width=\"" +
           number(spread.mean * scale) + "\"/><line x1=\"" + number(kLabel + spread.least * scale) +
           "\" x2=\"" + number(kLabel + spread.most * scale) + "\" y1=\"" + middle + "\" y2=\"" +
           middle + "\"/><text x=\"" + number(kLabel + spread.most * scale + 6) + "\" y=\"" +
           std::to_string(top + kRow / 2 + 6) + "\">" + number(spread.mean) + "</text>\n";
  }
  return svg + "</svg>\n";
}

constexpr const char* kHead =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>stoneport-bench "
    "report</title><style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:3px 7px;text-align:right}td:first-child{text-align:left}"
    "small{color:#666}svg{display:block;margin:1em 0}rect{fill:#4a7fb5}line{stroke:#222;"
    "stroke-width:2}text{font-size:12px}.title{font-weight:bold}</style></head><body>\n"
    "<h1>stoneport-bench report</h1><p>Mean over the seeds, and from the least to the most. "
    "Simulated in virtual time; the variants of one seed meet the same arrivals.</p>\n";

}  // namespace

std::string report_page(const std::vector<ScenarioReport>& reports) {
  std::string html = kHead;
  for (const ScenarioReport& report : reports) {
    const bool ok = std::all_of(report.experiments.begin(), report.experiments.end(),
                                [](const Experiment& experiment) { return experiment.ok(); });
    html += "<h2>" + report.scenario + "</h2><p>" + report.summary + ". Seeds " +
            seeds_text(report) + ". " +
            (ok ? "No guarantee broken." : "<b>A guarantee was broken.</b>") + "</p>\n" +
            table(report);
    for (const Column& column : kPlots) {
      html += plot(report, column);
    }
  }
  return html + "</body></html>\n";
}

}  // namespace stoneport::bench
