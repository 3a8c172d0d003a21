/// \file
/// `stoneport-bench load`: ordinary requests over sockets, every answer checked.
#include <iostream>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/load_generator.hpp"

namespace stoneport::bench {

namespace {

constexpr const char* kExamples =
    "\nexamples:\n"
    "  stoneport-bench load --target 127.0.0.1:7100 --target 127.0.0.1:7101 --count 1000\n"
    "  stoneport-bench load --target 127.0.0.1:7100 --direct 127.0.0.1:9101 --rate 5000 \\\n"
    "      --count 50000 --top-up-share 0 --json\n";

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-bench load",
                           "Sends ordinary requests and checks that each body is the whole answer "
                           "to its own request. Exits 1 when one is not.");
  options.add_options()("target", "caller listener, ip:port; repeatable",
                        cxxopts::value<std::vector<std::string>>())(
      "direct", "service endpoint, ip:port, for a baseline in the same run",
      cxxopts::value<std::string>())("count", "requests through stoneport",
                                     cxxopts::value<std::uint64_t>()->default_value("1000"))(
      "rate", "requests a second; 0: as fast as the concurrency allows",
      cxxopts::value<double>()->default_value("0"))(
      "concurrency", "requests in flight at most",
      cxxopts::value<std::uint32_t>()->default_value("32"))(
      "threads", "threads that send", cxxopts::value<std::uint32_t>()->default_value("1"))(
      "slices", "parts in which baseline and stoneport alternate",
      cxxopts::value<std::uint32_t>()->default_value("5"))(
      "top-up-share", "share of non-repeatable top-ups",
      cxxopts::value<double>()->default_value("0.1"))(
      "echo-share", "share of echoes with a large body",
      cxxopts::value<double>()->default_value("0.05"))(
      "echo-bytes", "largest echo body", cxxopts::value<std::uint32_t>()->default_value("65536"))(
      "service", "service of lookups and echoes",
      cxxopts::value<std::string>()->default_value("materials"))(
      "top-up-service", "service of top-ups; default: as --service",
      cxxopts::value<std::string>()->default_value(""))(
      "tenant", "Stoneport-Tenant of every request",
      cxxopts::value<std::string>()->default_value("abay"))(
      "deadline-ms", "time allowed for one request",
      cxxopts::value<std::uint64_t>()->default_value("10000"))(
      "seed", "of the requests drawn", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "id-prefix", "start of every X-Request-Id; default: load-SEED",
      cxxopts::value<std::string>()->default_value(""))("json", "print one JSON object")(
      "help", "print this text");
  return options;
}

core::Result<LoadSettings> read_settings(const cxxopts::ParseResult& parsed) {
  LoadSettings settings;
  if (parsed.count("target") == 0) {
    return core::make_error(core::ErrorCode::kInvalidArgument, "--target is missing");
  }
  for (const std::string& text : parsed["target"].as<std::vector<std::string>>()) {
    const auto address = parse_address(text);
    if (!address) {
      return address.error();
    }
    settings.targets.push_back(*address);
  }
  if (parsed.count("direct") > 0) {
    const auto address = parse_address(parsed["direct"].as<std::string>());
    if (!address) {
      return address.error();
    }
    settings.direct = *address;
  }
  settings.count = parsed["count"].as<std::uint64_t>();
  settings.requests_per_second = parsed["rate"].as<double>();
  settings.concurrency = parsed["concurrency"].as<std::uint32_t>();
  settings.threads = std::max<std::uint32_t>(1, parsed["threads"].as<std::uint32_t>());
  settings.slices = std::max<std::uint32_t>(1, parsed["slices"].as<std::uint32_t>());
  settings.mix.top_up_share = parsed["top-up-share"].as<double>();
  settings.mix.echo_share = parsed["echo-share"].as<double>();
  settings.mix.echo_bytes_max = parsed["echo-bytes"].as<std::uint32_t>();
  settings.lookup_service = parsed["service"].as<std::string>();
  settings.top_up_service = parsed["top-up-service"].as<std::string>();
  if (settings.top_up_service.empty()) {
    settings.top_up_service = settings.lookup_service;
  }
  settings.tenant = parsed["tenant"].as<std::string>();
  settings.deadline = std::chrono::milliseconds(parsed["deadline-ms"].as<std::uint64_t>());
  settings.seed = parsed["seed"].as<std::uint64_t>();
  settings.id_prefix = parsed["id-prefix"].as<std::string>();
  if (settings.id_prefix.empty()) {
    settings.id_prefix = "load-" + std::to_string(settings.seed);
  }
  return settings;
}

void print_counts(const char* title, const LoadResult& result) {
  std::cout << title << ": " << result.sent << " sent, " << result.completed << " completed, "
            << result.not_run << " not run, " << result.unknown << " unknown, "
            << result.wrong_answers << " wrong answers, " << result.seconds << " s\n"
            << "  latency ms: p50 " << result.latency_ms.percentile(0.5) << ", p99 "
            << result.latency_ms.percentile(0.99) << ", max " << result.latency_ms.maximum()
            << "\n";
  for (const std::string& example : result.wrong_answer_examples) {
    std::cout << "  wrong: " << example << "\n";
  }
}

int execute(const cxxopts::ParseResult& parsed) {
  const auto settings = read_settings(parsed);
  if (!settings) {
    return report_usage_error("load", settings.error().message);
  }
  const LoadReport report = run_load(*settings);
  const nlohmann::json json = to_json(report);
  if (parsed.count("json") > 0) {
    std::cout << json.dump() << std::endl;
  } else {
    print_counts("through stoneport", report.through);
    if (report.direct.sent > 0) {
      print_counts("direct", report.direct);
      std::cout << "added latency: " << json["added_latency"].dump() << "\n";
    }
  }
  return json["ok"].get<bool>() ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_load_command(int argument_count, char** arguments) {
  return run_with_options({"load", make_options(), kExamples}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
