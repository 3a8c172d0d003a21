/// \file
/// Fault switches that every listener of the emulator has.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.hpp"

namespace stoneport::emulator {

struct ListenerFaults {
  core::Duration latency{};            ///< before a request is looked at, real time
  bool refuse = false;                 ///< answer 503 without effect
  bool disconnect = false;             ///< close the connection without effect
  bool hang = false;                   ///< hold requests until the switch goes off, then close
  double requests_per_second = 0;      ///< more get 429; 0: no limit
  std::uint32_t lost_answers = 0;      ///< requests that take effect, whose answer is not sent
  bool only_writes_lose = true;        ///< lost_answers counts no GET
  std::uint32_t refused_requests = 0;  ///< requests that get 503 without effect
  std::uint32_t cut_bodies = 0;        ///< responses that are cut before their end
  std::uint64_t cut_after_bytes = 64;
  double response_bytes_per_second = 0;  ///< slow response; 0: as fast as it goes
  /// The switches apply to paths that start with this alone.
  std::string path_prefix;
};

template <class Visitor>
void visit_fields(Visitor& visitor, ListenerFaults& faults) {
  visitor("latency_ms", faults.latency);
  visitor("refuse", faults.refuse);
  visitor("disconnect", faults.disconnect);
  visitor("hang", faults.hang);
  visitor("requests_per_second", faults.requests_per_second);
  visitor("lost_answers", faults.lost_answers);
  visitor("only_writes_lose", faults.only_writes_lose);
  visitor("refused_requests", faults.refused_requests);
  visitor("cut_bodies", faults.cut_bodies);
  visitor("cut_after_bytes", faults.cut_after_bytes);
  visitor("response_bytes_per_second", faults.response_bytes_per_second);
  visitor("path_prefix", faults.path_prefix);
}

}  // namespace stoneport::emulator
