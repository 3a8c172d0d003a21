#include "ctl/wait_in_force.hpp"

#include <fmt/format.h>

#include <thread>

#include "config/value_codec.hpp"

namespace stoneport::ctl {
namespace {

constexpr core::Duration kPollInterval = std::chrono::milliseconds(200);

CallResult<InForce> ask(const CommandContext& context, core::Revision revision) {
  CallResult<Answer> answer =
      context.client.get(fmt::format("/v1/operator/in-force?revision={}", revision.value()));
  if (answer.has_error()) {
    return answer.error();
  }
  InForce counts;
  counts.in_force = answer->body.value("in_force", std::uint64_t{0});
  counts.total = answer->body.value("total", std::uint64_t{0});
  counts.missing = answer->body.value("missing", nlohmann::json::array());
  return counts;
}

void show_progress(const CommandContext& context, core::Revision revision, const InForce& counts) {
  context.err << fmt::format("revision {} is in force on {} of {} daemons\n", revision.value(),
                             counts.in_force, counts.total);
}

}  // namespace

void add_wait_options(cxxopts::Options& options) {
  options.add_options()                                              //
      ("wait", "wait until the change is in force on every daemon")  //
      ("wait-timeout", "longest wait", cxxopts::value<std::string>()->default_value("30s"),
       "DURATION");
}

std::optional<WaitOptions> parse_wait_options(const cxxopts::ParseResult& parsed) {
  const auto timeout = config::parse_duration(parsed["wait-timeout"].as<std::string>());
  if (!timeout) {
    return std::nullopt;
  }
  return WaitOptions{parsed.count("wait") > 0, *timeout};
}

ExitCode wait_until_in_force(const CommandContext& context, core::Revision revision,
                             core::Duration timeout, InForce& last) {
  const core::SystemTimeSource time;
  const core::MonotonicTime deadline = time.now() + timeout;
  std::optional<std::uint64_t> shown;
  while (true) {
    const CallResult<InForce> counts = ask(context, revision);
    if (counts.has_value()) {
      last = *counts;
    }
    if (counts.has_value() && shown != counts->in_force) {
      shown = counts->in_force;
      show_progress(context, revision, *counts);
    }
    if (last.complete()) {
      return ExitCode::kOk;
    }
    if (time.now() >= deadline) {
      context.err << fmt::format("stoneportctl: not in force everywhere after {}; missing: {}\n",
                                 config::format_duration(timeout), last.missing.dump());
      return ExitCode::kWaitTimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace stoneport::ctl
