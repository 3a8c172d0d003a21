/// \file
/// Command line of stoneportd: a settings file, and every setting as a flag,
/// which wins over the file. Called once, before any thread starts.
#pragma once

#include <string>

#include "config/problem.hpp"
#include "config/settings.hpp"
#include "core/error.hpp"

namespace stoneport::config {

enum class CommandLineAction {
  kRun,
  kShowText,  ///< print `text` and end with exit code 0
};

struct ParsedCommandLine {
  CommandLineAction action = CommandLineAction::kRun;
  DaemonSettings settings;
  std::string text;  ///< for --help, --check-config and --print-config
};

/// Reads flags and the file that --config names, and checks the whole.
/// \return every problem at once.
Checked<ParsedCommandLine> parse_command_line(int argument_count, const char* const* arguments);
/// \return parse_command_line() with the problems in the error's message, one a line.
core::Result<ParsedCommandLine> load_settings(int argument_count, const char* const* arguments);

/// \return \p settings as the TOML file that would give them.
std::string print_settings(const DaemonSettings& settings);

}  // namespace stoneport::config
