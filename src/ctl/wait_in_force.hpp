/// \file
/// Waits until a revision is in force on every daemon, showing progress.
#pragma once

#include "core/identifiers.hpp"
#include "ctl/command.hpp"

namespace stoneport::ctl {

struct WaitOptions {
  bool wait = false;
  core::Duration timeout = std::chrono::seconds(30);
};

/// Adds --wait and --wait-timeout.
void add_wait_options(cxxopts::Options& options);
/// \return what the flags say, or nothing when --wait-timeout is no duration.
std::optional<WaitOptions> parse_wait_options(const cxxopts::ParseResult& parsed);

/// What the last answer said about the spread of a revision.
struct InForce {
  std::uint64_t in_force = 0;
  std::uint64_t total = 0;
  nlohmann::json missing = nlohmann::json::array();
  bool complete() const { return total > 0 && in_force == total; }
};

/// Asks again and again until \p revision is in force everywhere. A daemon that
/// does not answer meanwhile is asked again.
/// \return kWaitTimedOut after \p timeout.
ExitCode wait_until_in_force(const CommandContext& context, core::Revision revision,
                             core::Duration timeout, InForce& last);

}  // namespace stoneport::ctl
