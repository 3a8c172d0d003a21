#include "bench/command_line.hpp"

#include <iostream>

#include "bench/commands.hpp"
#include "config/value_codec.hpp"

namespace stoneport::bench {

core::Result<core::Address> parse_address(const std::string& text) {
  const core::Error wrong = core::make_error(
      core::ErrorCode::kInvalidArgument, "'" + text + "' is not an address of the form ip:port");
  const std::optional<core::Address> address = config::parse_address(text);
  if (!address || address->port == 0) {
    return wrong;
  }
  return *address;
}

int report_usage_error(const std::string& command, const std::string& message) {
  std::cerr << "stoneport-bench " << command << ": " << message << "\n"
            << "'stoneport-bench " << command << " --help' explains the options.\n";
  return kExitUsage;
}

int run_with_options(CommandLine line, int argument_count, char** arguments,
                     int (*execute)(const cxxopts::ParseResult& parsed)) {
  try {
    const cxxopts::ParseResult parsed = line.options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << line.options.help() << line.examples;
      return kExitSuccess;
    }
    return execute(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    return report_usage_error(line.command, error.what());
  }
}

}  // namespace stoneport::bench
