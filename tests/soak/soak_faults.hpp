/// \file
/// Random faults from outside the daemons: signals, the links to the store, the
/// store, replicas. Each begins at once and ends after a while. One thread.
#pragma once

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/random.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "soak/soak_keys.hpp"

namespace stoneport::tests {

class SoakFaults {
 public:
  using Clock = std::chrono::steady_clock;

  SoakFaults(PlatformStandIn& platform, SoakKeys& keys, std::size_t processes, std::uint64_t seed)
      : platform_(platform), keys_(keys), processes_(processes), random_(seed) {}

  /// Begins one fault. \return what it is, for the log.
  std::string begin();
  /// Ends those whose time has come; all of them when \p all is set.
  void end_due(bool all = false);

 private:
  struct Running {
    Clock::time_point until;
    std::function<void()> end;
  };
  std::string strike_process(std::size_t process);
  std::string strike_link(std::size_t process);
  std::string strike_door(std::size_t process);
  std::string strike_store();
  std::string strike_replica();
  std::string strike_all();
  std::string strike_cloud();
  std::string strike_keys();
  void end_after(double shortest, double longest, std::function<void()> end);
  std::size_t pick(std::size_t count) { return random_.uniform(0, count - 1); }

  PlatformStandIn& platform_;
  SoakKeys& keys_;
  std::size_t processes_;
  core::RandomSource random_;
  std::vector<Running> running_;
  std::set<std::size_t> struck_;  ///< processes that are stopped, paused or killed
  std::uint64_t version_ = 1;
  std::uint64_t configuration_ = 1;
};

}  // namespace stoneport::tests
