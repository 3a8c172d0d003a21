/// \file
/// `stoneport-bench scale-run`: the control plane's gossip at several sizes, over
/// sockets on loopback.
#include <iomanip>
#include <iostream>

#include "bench/command_line.hpp"
#include "bench/commands.hpp"
#include "bench/scale_measurement.hpp"

namespace stoneport::bench {

namespace {

constexpr std::uint32_t kMostMembers = 330;

cxxopts::Options make_options() {
  cxxopts::Options options("stoneport-bench scale-run",
                           "Runs hollow members, which share this process and run the daemons' own "
                           "gossip over sockets of their own, at several sizes. Exits 1 when "
                           "something announced did not reach everyone within 120 s.");
  options.add_options()("sizes", "numbers of members, at most 330 each",
                        cxxopts::value<std::vector<std::uint32_t>>()->default_value("50,150,330"))(
      "threads", "threads that the members share",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "window", "seconds over which the quiet cluster is measured",
      cxxopts::value<std::uint32_t>()->default_value("20"))(
      "join", "gossip address, ip:port, of a real daemon to run beside; repeatable",
      cxxopts::value<std::vector<std::string>>())(
      "virtual", "in virtual time, without sockets: bytes and times alone")(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "json", "print one JSON object")("help", "print this text");
  return options;
}

std::string seconds_text(const std::optional<core::Duration>& duration) {
  return duration ? std::to_string(core::to_seconds(*duration)).substr(0, 5) : "never";
}

void print_measurement(const ScaleMeasurement& one) {
  std::cout << one.members << " members: joined " << seconds_text(one.join) << " s, "
            << one.bytes_per_second << " B/s and " << one.processor_share * 100
            << " % of a core and " << one.memory_bytes / 1024 << " KiB a member\n"
            << "  to reach all, s: revision " << seconds_text(one.quiet.revision) << ", policy "
            << seconds_text(one.quiet.policy) << ", drain mark "
            << seconds_text(one.quiet.drain_mark) << "\n"
            << "  with a tenth killed: revision " << seconds_text(one.after_kill.revision)
            << ", policy " << seconds_text(one.after_kill.policy) << ", drain mark "
            << seconds_text(one.after_kill.drain_mark) << ", failures known "
            << seconds_text(one.failures_known) << ", " << one.bytes_per_second_after_kill
            << " B/s a member\n";
}

void print_virtual_measurement(const ScaleMeasurement& one) {
  std::cout << one.members << " members in virtual time: joined " << seconds_text(one.join)
            << " s, " << one.bytes_per_second << " B/s a member\n"
            << "  to reach all, s: revision " << seconds_text(one.quiet.revision) << ", drain mark "
            << seconds_text(one.quiet.drain_mark) << ", a tenth killed known "
            << seconds_text(one.failures_known) << "; busiest member and second "
            << one.bytes_per_second_after_kill << " B\n";
}

bool reached_all(const ScaleMeasurement& one) {
  return one.join && one.quiet.revision && one.quiet.policy && one.quiet.drain_mark &&
         one.after_kill.revision && one.after_kill.policy && one.after_kill.drain_mark &&
         one.failures_known;
}

/// What is measured in virtual time is fewer.
bool reached_all_in_virtual_time(const ScaleMeasurement& one) {
  return one.join && one.quiet.revision && one.quiet.drain_mark && one.failures_known;
}

core::Result<HollowClusterSettings> read_settings(const cxxopts::ParseResult& parsed) {
  HollowClusterSettings settings;
  settings.threads = std::max(1u, parsed["threads"].as<std::uint32_t>());
  settings.seed = parsed["seed"].as<std::uint64_t>();
  if (parsed.count("join") == 0) {
    return settings;
  }
  for (const std::string& text : parsed["join"].as<std::vector<std::string>>()) {
    const auto address = parse_address(text);
    if (!address) {
      return address.error();
    }
    settings.seeds.push_back(*address);
  }
  return settings;
}

int execute(const cxxopts::ParseResult& parsed) {
  const auto settings = read_settings(parsed);
  if (!settings) {
    return report_usage_error("scale-run", settings.error().message);
  }
  const bool as_json = parsed.count("json") > 0;
  std::vector<ScaleMeasurement> measurements;
  bool ok = true;
  for (const std::uint32_t size : parsed["sizes"].as<std::vector<std::uint32_t>>()) {
    if (size < 2 || size > kMostMembers) {
      return report_usage_error("scale-run", "a size is from 2 to 330");
    }
    HollowClusterSettings sized = *settings;
    sized.members = size;
    const core::Duration window = std::chrono::seconds(parsed["window"].as<std::uint32_t>());
    const bool in_virtual_time = parsed.count("virtual") > 0;
    const core::Result<ScaleMeasurement> measured =
        in_virtual_time
            ? core::Result<ScaleMeasurement>(measure_scale_in_virtual_time(size, sized.seed))
            : measure_scale(sized, window);
    if (!measured) {
      std::cerr << "stoneport-bench scale-run: " << measured.error().message << "\n";
      return kExitGuaranteeBroken;
    }
    ok = ok && (in_virtual_time ? reached_all_in_virtual_time(*measured) : reached_all(*measured));
    measurements.push_back(*measured);
    if (!as_json && in_virtual_time) {
      print_virtual_measurement(*measured);
    } else if (!as_json) {
      print_measurement(*measured);
    }
  }
  nlohmann::json json = to_json(measurements);
  if (as_json) {
    json["ok"] = ok;
    std::cout << json.dump() << std::endl;
  } else {
    std::cout << "slopes: " << json["slopes"].dump() << "\n";
  }
  return ok ? kExitSuccess : kExitGuaranteeBroken;
}

}  // namespace

int run_scale_run_command(int argument_count, char** arguments) {
  return run_with_options({"scale-run", make_options()}, argument_count, arguments, execute);
}

}  // namespace stoneport::bench
