/// \file
/// `stoneport-bench demo-summary`: asks the emulator, reads the callers' files and
/// prints one JSON line.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <fstream>
#include <iostream>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/demo_summary.hpp"
#include "core/metrics.hpp"
#include "http/client.hpp"

namespace stoneport::bench {

namespace {

using nlohmann::json;

constexpr core::Duration kControlTimeout = std::chrono::seconds(10);

/// A JSON object that the emulator answered with.
struct ControlAnswer {
  json body;
};

/// Calls the emulator's control interface, one call at a time.
class ControlClient {
 public:
  explicit ControlClient(core::Address address)
      : address_(std::move(address)), client_(context_.get_executor(), "control", metrics_) {}

  core::Result<ControlAnswer> get(const std::string& target) { return call("GET", target, ""); }
  core::Result<ControlAnswer> post(const std::string& target, const json& body) {
    return call("POST", target, body.dump());
  }

 private:
  core::Result<ControlAnswer> call(const std::string& method, const std::string& target,
                                   const std::string& body) {
    http::Request request;
    request.head.method = method;
    request.head.target = target;
    request.body = body;
    http::SendOptions options;
    options.deadline = core::SystemTimeSource().now() + kControlTimeout;
    auto pending = boost::asio::co_spawn(
        context_, client_.fetch(address_, std::move(request), options), boost::asio::use_future);
    context_.restart();
    while (pending.wait_for(std::chrono::seconds(0)) != std::future_status::ready &&
           context_.run_one() > 0) {
    }
    const auto answer = pending.get();
    if (!answer) {
      return core::make_error(answer.error().error.code,
                              target + ": " + answer.error().error.message);
    }
    ControlAnswer parsed{json::parse(answer->body, nullptr, false)};
    if (answer->head.status != 200 || !parsed.body.is_object()) {
      return core::make_error(core::ErrorCode::kProtocol,
                              target + " answered " + std::to_string(answer->head.status));
    }
    return parsed;
  }

  core::Address address_;
  core::Metrics metrics_;
  boost::asio::io_context context_{1};
  http::Client client_;
};

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-bench demo-summary",
                           "Prints one JSON line about a demo, counted by the emulator and by the "
                           "callers. What does not hold goes to standard error; then exits 1.");
  options.add_options()("control", "the emulator's control address, ip:port",
                        cxxopts::value<std::string>())("trainer", "emulated trainer; repeatable",
                                                       cxxopts::value<std::vector<std::string>>())(
      "service", "service whose ledger counts; repeatable",
      cxxopts::value<std::vector<std::string>>())("load",
                                                  "file with the output of load --json; repeatable",
                                                  cxxopts::value<std::vector<std::string>>())(
      "least-samples", "", cxxopts::value<std::uint64_t>()->default_value("0"))(
      "least-requests", "", cxxopts::value<std::uint64_t>()->default_value("0"))(
      "least-non-repeatable", "", cxxopts::value<std::uint64_t>()->default_value("0"))(
      "help", "print this text");
  return options;
}

std::vector<std::string> values(const cxxopts::ParseResult& parsed, const std::string& name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::vector<std::string>>()
                                : std::vector<std::string>();
}

core::Result<void> read_loads(const std::vector<std::string>& files, DemoSummary& summary) {
  for (const std::string& file : files) {
    std::ifstream in(file);
    const json load = json::parse(in, nullptr, false);
    if (!load.is_object() || !load.contains("non_repeatable")) {
      return core::make_error(core::ErrorCode::kInvalidArgument,
                              file + " is not the output of load --json");
    }
    summary.add_load(file, load);
  }
  return {};
}

core::Result<void> ask_emulator(ControlClient& control, const cxxopts::ParseResult& parsed,
                                DemoSummary& summary) {
  for (const std::string& trainer : values(parsed, "trainer")) {
    const auto report = control.get("/control/trainers/" + http::percent_encode(trainer));
    if (!report) {
      return report.error();
    }
    summary.add_trainer(trainer, report->body);
  }
  const ClaimedOutcomes& claimed = summary.claimed();
  std::vector<std::string> ids = claimed.completed;
  ids.insert(ids.end(), claimed.not_run.begin(), claimed.not_run.end());
  ids.insert(ids.end(), claimed.unknown.begin(), claimed.unknown.end());
  json total_runs = json::object();
  for (const std::string& service : values(parsed, "service")) {
    const std::string target = "/control/services/" + http::percent_encode(service) + "/ledger";
    const auto ledger = control.get(target);
    const auto runs = control.post(target + "/runs", {{"ids", ids}});
    if (!ledger || !runs) {
      return ledger ? runs.error() : ledger.error();
    }
    summary.add_ledger(service, ledger->body);
    for (const auto& [id, count] : runs->body.at("runs").items()) {
      total_runs[id] = total_runs.value(id, std::uint64_t{0}) + count.get<std::uint64_t>();
    }
  }
  summary.add_runs(total_runs);
  return {};
}

core::Result<DemoSummary> summarize(const cxxopts::ParseResult& parsed) {
  if (parsed.count("control") == 0) {
    return core::make_error(core::ErrorCode::kInvalidArgument, "--control is missing");
  }
  const auto address = parse_address(parsed["control"].as<std::string>());
  if (!address) {
    return address.error();
  }
  DemoSummary summary;
  const auto read = read_loads(values(parsed, "load"), summary);
  if (!read) {
    return read.error();
  }
  ControlClient control(*address);
  const auto asked = ask_emulator(control, parsed, summary);
  if (!asked) {
    return asked.error();
  }
  DemoExpectations expectations;
  expectations.samples = parsed["least-samples"].as<std::uint64_t>();
  expectations.requests = parsed["least-requests"].as<std::uint64_t>();
  expectations.non_repeatable = parsed["least-non-repeatable"].as<std::uint64_t>();
  summary.check(expectations);
  return summary;
}

int execute(const cxxopts::ParseResult& parsed) {
  const auto summary = summarize(parsed);
  if (!summary) {
    return report_usage_error("demo-summary", summary.error().message);
  }
  for (const std::string& problem : summary->problems()) {
    std::cerr << "does not hold: " << problem << "\n";
  }
  std::cout << summary->to_json().dump() << std::endl;
  return summary->problems().empty() ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_demo_summary_command(int argument_count, char** arguments) {
  return run_with_options({"demo-summary", make_options()}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
