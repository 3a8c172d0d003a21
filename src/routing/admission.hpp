/// \file
/// Concurrency limits, in total and per tenant, with a bounded priority queue: decides which
/// requests run, wait or are refused. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

struct AdmissionOptions {
  std::uint32_t max_running = 1024;
  std::uint32_t max_waiting = 1024;
  /// Range of the Retry-After values of refused requests.
  core::Duration shortest_retry_after = std::chrono::milliseconds(100);
  core::Duration longest_retry_after = std::chrono::seconds(30);
};

/// Identifies a request from arrival to completion.
using AdmissionTicket = std::uint64_t;

struct AdmissionRequest {
  core::TenantName tenant;
  std::int32_t priority = 0;  ///< higher runs first
  /// Maximum number of concurrent requests of the tenant on this thread.
  std::uint32_t tenant_concurrency = 1024;
  core::MonotonicTime deadline;
};

enum class AdmissionVerdict { kRun, kWait, kRefuse };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefuse;
  AdmissionTicket ticket = 0;
  /// Retry-After of a refused request, with jitter.
  core::Duration retry_after{};
  /// A waiting request of lower priority that was evicted in favour of this one.
  std::optional<AdmissionTicket> displaced;
};

class Admission {
 public:
  Admission(AdmissionOptions options, std::uint64_t seed);

  /// Decides on a new request. A request whose deadline is expected to pass before it can start is
  /// refused immediately.
  AdmissionDecision arrive(const AdmissionRequest& request, core::MonotonicTime now);
  /// Marks a running request as finished.
  /// \return the tickets of waiting requests that now run.
  std::vector<AdmissionTicket> finish(AdmissionTicket ticket, core::MonotonicTime now);
  /// Removes an abandoned request from the queue.
  void give_up(AdmissionTicket ticket);
  /// \return the Retry-After value of a refused request: the time in which the queue drains, plus
  /// or minus up to half.
  core::Duration retry_after();

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// Queue order: higher priority first, then earlier arrival.
  struct QueueKey {
    std::int32_t priority = 0;
    AdmissionTicket ticket = 0;
    bool operator<(const QueueKey& other) const {
      return priority != other.priority ? priority > other.priority : ticket < other.ticket;
    }
  };
  struct Entry {
    AdmissionRequest request;
    bool is_running = false;
    core::MonotonicTime started_at;
  };

  bool tenant_has_room(const AdmissionRequest& request) const;
  void run(Entry& entry, core::MonotonicTime now);
  core::Duration expected_wait(std::size_t ahead) const;
  std::size_t waiting_ahead_of(std::int32_t priority) const;

  AdmissionOptions options_;
  core::RandomSource random_;
  AdmissionTicket next_ticket_ = 1;
  std::uint32_t running_ = 0;
  std::unordered_map<core::TenantName, std::uint32_t> running_of_tenant_;
  std::unordered_map<AdmissionTicket, Entry> entries_;
  std::map<QueueKey, AdmissionTicket> queue_;
  double mean_service_seconds_ = 0;  ///< moving average; zero until the first request has finished
};

}  // namespace stoneport::routing
