#include "bench/command_line.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <iostream>

#include "bench/commands.hpp"

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
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || address.port == 0) {
    return wrong;
  }
  return address;
}

int report_usage_error(const std::string& command, const std::string& message) {
  std::cerr << "stoneport-bench " << command << ": " << message << "\n"
            << "'stoneport-bench " << command << " --help' explains the options.\n";
  return kExitUsage;
}

}  // namespace stoneport::bench
