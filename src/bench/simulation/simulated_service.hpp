/// \file
/// Model of one replica of an ordinary service: a number of workers and a queue
/// of bounded length, in virtual time. Now and then the replica pauses.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include "bench/simulation/event_queue.hpp"
#include "bench/simulation/scenario.hpp"
#include "core/random.hpp"

namespace stoneport::bench {

/// How an exchange with a replica ended, as its sender sees it.
enum class ServiceAnswer {
  kDone,
  kRefused,      ///< the queue was full: not run
  kUnreachable,  ///< the connection was refused: not run
  kCut,          ///< the replica went down while it had the request
};

/// One request as a replica gets it.
struct ServiceJob {
  std::uint64_t key = 0;  ///< identifies the request over its attempts
  double work_seconds = 0;
  bool repeatable = true;
  std::function<void(ServiceAnswer)> on_answer;
};

class SimulatedService {
 public:
  SimulatedService(EventQueue& events, ServiceSettings settings, std::uint64_t seed);

  void submit(ServiceJob job);
  /// Cuts off every request that the replica has.
  void crash();
  void restart();
  bool is_up() const { return up_; }
  std::size_t running_count() const { return running_.size(); }
  std::size_t waiting_count() const { return queue_.size(); }
  /// \return how often each non-repeatable request was begun here, by key.
  const std::unordered_map<std::uint64_t, std::uint32_t>& runs() const { return runs_; }

 private:
  void begin(ServiceJob job);
  void begin_waiting();
  void finish(std::uint64_t number);
  void pause_later();

  EventQueue& events_;
  ServiceSettings settings_;
  core::RandomSource random_;
  bool up_ = true;
  std::deque<ServiceJob> queue_;
  std::map<std::uint64_t, ServiceJob> running_;  ///< by order of their start
  std::uint64_t next_number_ = 0;
  core::MonotonicTime paused_until_{};
  std::unordered_map<std::uint64_t, std::uint32_t> runs_;
};

}  // namespace stoneport::bench
