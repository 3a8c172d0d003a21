#include "bench/load_result.hpp"

namespace stoneport::bench {

namespace {

constexpr std::size_t kMostExamples = 10;

void append(std::vector<std::string>& to, const std::vector<std::string>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

nlohmann::json latency_json(const Distribution& latency_ms) {
  return {{"p50", latency_ms.percentile(0.5)},  {"p90", latency_ms.percentile(0.9)},
          {"p99", latency_ms.percentile(0.99)}, {"p999", latency_ms.percentile(0.999)},
          {"max", latency_ms.maximum()},        {"mean", latency_ms.mean()}};
}

nlohmann::json status_json(const std::map<unsigned, std::uint64_t>& by_status) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [status, count] : by_status) {
    json[std::to_string(status)] = count;
  }
  return json;
}

nlohmann::json counts_json(const LoadResult& result) {
  return {{"requests_sent", result.sent},
          {"requests_completed", result.completed},
          {"requests_not_run", result.not_run},
          {"requests_unknown", result.unknown},
          {"outcome_missing", result.outcome_missing},
          {"wrong_answers", result.wrong_answers},
          {"wrong_answer_examples", result.wrong_answer_examples},
          {"by_status", status_json(result.by_status)},
          {"by_client_error", result.by_client_error},
          {"latency_ms", latency_json(result.latency_ms)},
          {"late_start_ms_p99", result.late_start_ms.percentile(0.99)},
          {"seconds", result.seconds},
          {"requests_per_second",
           result.seconds > 0 ? static_cast<double>(result.sent) / result.seconds : 0.0}};
}

double ratio(double numerator, double denominator) {
  return denominator > 0 ? numerator / denominator : 0;
}

nlohmann::json added_latency_json(const LoadReport& report) {
  const double through_p50 = report.through.latency_ms.percentile(0.5);
  const double through_p99 = report.through.latency_ms.percentile(0.99);
  const double direct_p50 = report.direct.latency_ms.percentile(0.5);
  const double direct_p99 = report.direct.latency_ms.percentile(0.99);
  return {{"p50_difference_ms", through_p50 - direct_p50},
          {"p99_difference_ms", through_p99 - direct_p99},
          {"p50_ratio", ratio(through_p50, direct_p50)},
          {"p99_ratio", ratio(through_p99, direct_p99)}};
}

}  // namespace

void LoadResult::add(const LoadResult& other) {
  sent += other.sent;
  completed += other.completed;
  not_run += other.not_run;
  unknown += other.unknown;
  outcome_missing += other.outcome_missing;
  wrong_answers += other.wrong_answers;
  for (const auto& [status, count] : other.by_status) {
    by_status[status] += count;
  }
  for (const auto& [error, count] : other.by_client_error) {
    by_client_error[error] += count;
  }
  for (const std::string& example : other.wrong_answer_examples) {
    if (wrong_answer_examples.size() < kMostExamples) {
      wrong_answer_examples.push_back(example);
    }
  }
  append(non_repeatable.completed, other.non_repeatable.completed);
  append(non_repeatable.not_run, other.non_repeatable.not_run);
  append(non_repeatable.unknown, other.non_repeatable.unknown);
  latency_ms.add_all(other.latency_ms);
  late_start_ms.add_all(other.late_start_ms);
}

nlohmann::json to_json(const LoadReport& report) {
  nlohmann::json json = counts_json(report.through);
  json["non_repeatable"] = {{"completed", report.through.non_repeatable.completed},
                            {"not_run", report.through.non_repeatable.not_run},
                            {"unknown", report.through.non_repeatable.unknown}};
  if (report.direct.sent > 0) {
    json["direct"] = counts_json(report.direct);
    json["added_latency"] = added_latency_json(report);
  }
  json["ok"] = report.through.ok() && report.direct.wrong_answers == 0;
  return json;
}

}  // namespace stoneport::bench
