/// \file
/// Small helpers that the commands share: addresses, and options by cxxopts.
#pragma once

#include <cxxopts.hpp>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::bench {

/// \return the address written as "ip:port", or kInvalidArgument.
core::Result<core::Address> parse_address(const std::string& text);

/// Reports wrong options on standard error with a pointer to --help.
/// \return kExitUsage
int report_usage_error(const std::string& command, const std::string& message);

/// A command's name, its options and the text that follows their help.
struct CommandLine {
  std::string command;
  cxxopts::Options options;
  std::string examples = "";
};

/// Parses the arguments and runs \p execute on them, or prints the help.
/// \return the exit code: \p execute's, or kExitUsage when the arguments or a
/// value that \p execute reads from them are wrong.
int run_with_options(CommandLine line, int argument_count, char** arguments,
                     int (*execute)(const cxxopts::ParseResult& parsed));

}  // namespace stoneport::bench
