/// \file
/// Model of the weight store: its rate is shared among all that read, each reader
/// has a limit of its own, and an outage stops all of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "bench/simulation/event_queue.hpp"
#include "bench/simulation/scenario.hpp"

namespace stoneport::bench {

class WeightStoreModel {
 public:
  WeightStoreModel(EventQueue& events, WeightSettings settings)
      : events_(events), settings_(settings) {}

  using ReadId = std::uint64_t;
  /// Reads one whole version; \p done is called at its end.
  ReadId read(std::function<void()> done);
  /// Gives a read up.
  void cancel(ReadId id);
  void set_outage(core::MonotonicTime until);

 private:
  struct Read {
    double gigabytes_left = 0;
    std::function<void()> done;
  };

  double rate_of_one() const;
  void advance();
  void schedule();
  void on_timer(std::uint64_t generation);

  EventQueue& events_;
  WeightSettings settings_;
  std::map<ReadId, Read> reads_;
  ReadId next_read_ = 1;
  core::MonotonicTime anchor_{};
  core::MonotonicTime outage_until_{};
  std::uint64_t generation_ = 0;
};

}  // namespace stoneport::bench
