/// \file
/// A range of loopback addresses for the processes of one test, claimed so that no other test
/// process of this machine uses it at the same time. Thread-safe.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <string>

namespace stoneport::tests {

class LoopbackRange {
 public:
  /// Claims a free range.
  /// \throws std::runtime_error if none is free
  LoopbackRange();
  /// Claims the first free range from number \p first on.
  explicit LoopbackRange(std::size_t first);

  /// \return the first three parts of the range's addresses, such as "127.70.12."
  const std::string& prefix() const { return prefix_; }

 private:
  bool claim(std::size_t number);

  boost::asio::io_context context_;
  /// Bound to an address of the range; the system releases it when this process ends.
  boost::asio::ip::udp::socket claim_{context_};
  std::string prefix_;
};

}  // namespace stoneport::tests
