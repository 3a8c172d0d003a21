/// \file
/// Relays between two named parties, whose link can be cut, stalled and delayed.
/// Each lives on one event loop.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::emulator {

struct RelaySwitches {
  bool cut = false;        ///< TCP: connections are reset, new ones too; UDP: packets are dropped
  bool stalled = false;    ///< TCP: bytes stay where they are; UDP: packets are dropped
  core::Duration delay{};  ///< of each piece, each way, real time
  double loss = 0;         ///< UDP: share of packets dropped
};

template <class Visitor>
void visit_fields(Visitor& visitor, RelaySwitches& switches) {
  visitor("cut", switches.cut);
  visitor("stalled", switches.stalled);
  visitor("delay_ms", switches.delay);
  visitor("loss", switches.loss);
}

struct RelayTotals {
  std::uint64_t bytes = 0;        ///< passed on, both ways
  std::uint64_t connections = 0;  ///< accepted, or UDP senders seen
  std::uint64_t dropped = 0;      ///< connections or packets
};

template <class Visitor>
void visit_fields(Visitor& visitor, RelayTotals& totals) {
  visitor("bytes", totals.bytes);
  visitor("connections", totals.connections);
  visitor("dropped", totals.dropped);
}

class Relay {
 public:
  virtual ~Relay() = default;
  virtual core::Result<void> listen(const core::Address& address) = 0;
  virtual core::Address address() const = 0;
  virtual void set(const RelaySwitches& switches) = 0;
  virtual const RelaySwitches& switches() const = 0;
  virtual const RelayTotals& totals() const = 0;
};

std::unique_ptr<Relay> make_tcp_relay(boost::asio::any_io_executor executor, core::Address target);
/// Answers of the target go back to the sender that they belong to.
std::unique_ptr<Relay> make_udp_relay(boost::asio::any_io_executor executor, core::Address target);

}  // namespace stoneport::emulator
