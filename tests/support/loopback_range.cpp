#include "support/loopback_range.hpp"

#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace stoneport::tests {
namespace asio = boost::asio;
using asio::ip::udp;
namespace {

/// The ranges are 127.64.1.x to 127.183.200.x.
constexpr std::size_t kFirstSecondPart = 64;
constexpr std::size_t kSecondParts = 120;
constexpr std::size_t kThirdParts = 200;
constexpr std::size_t kRanges = kSecondParts * kThirdParts;
/// Bound to mark a range as taken; no program under test uses this address.
constexpr const char* kClaimHost = "254";
constexpr std::uint16_t kClaimPort = 20999;
/// Distance between the first ranges that two processes with consecutive ids try.
constexpr std::size_t kRangesPerProcess = 8;

/// \return the first range to try for the next claim of this process
std::size_t next_number() {
  static std::atomic<std::size_t> count = 0;
  return static_cast<std::size_t>(getpid()) * kRangesPerProcess + count++;
}

std::string prefix_of(std::size_t number) {
  const std::size_t second = kFirstSecondPart + number / kThirdParts;
  const std::size_t third = 1 + number % kThirdParts;
  return "127." + std::to_string(second) + "." + std::to_string(third) + ".";
}

}  // namespace

LoopbackRange::LoopbackRange() : LoopbackRange(next_number()) {}

LoopbackRange::LoopbackRange(std::size_t first) {
  for (std::size_t attempt = 0; attempt < kRanges; ++attempt) {
    if (claim((first + attempt) % kRanges)) {
      return;
    }
  }
  throw std::runtime_error("no range of loopback addresses is free");
}

bool LoopbackRange::claim(std::size_t number) {
  const std::string prefix = prefix_of(number);
  const udp::endpoint endpoint(asio::ip::make_address(prefix + kClaimHost), kClaimPort);
  boost::system::error_code error;
  claim_.open(endpoint.protocol(), error);
  if (!error) {
    claim_.bind(endpoint, error);
  }
  if (!error) {
    prefix_ = prefix;
    return true;
  }
  boost::system::error_code ignored;
  claim_.close(ignored);
  if (error != asio::error::address_in_use) {
    throw std::runtime_error("cannot claim the range " + prefix + "x: " + error.message());
  }
  return false;
}

}  // namespace stoneport::tests
