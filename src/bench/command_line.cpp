#include "bench/command_line.hpp"

#include <boost/asio/ip/address.hpp>
#include <iostream>

#include "bench/commands.hpp"
#include "core/numbers.hpp"

namespace stoneport::bench {

core::Result<core::Address> parse_address(const std::string& text) {
  const auto wrong = core::make_error(core::ErrorCode::kInvalidArgument,
                                      "'" + text + "' is not an address of the form ip:port");
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return wrong;
  }
  core::Address address;
  address.ip = text.substr(0, colon);
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  const auto port = core::parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
  if (error || !port || *port == 0) {
    return wrong;
  }
  address.port = *port;
  return address;
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
