/// \file
/// Which requests run now, which wait, and which are refused: a bound on what
/// runs, over all and a tenant, and a bounded queue in order of priority. Plain
/// state, owned by one thread.
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
  /// Range of the time after which refused callers are told to come back.
  core::Duration shortest_retry_after = std::chrono::milliseconds(100);
  core::Duration longest_retry_after = std::chrono::seconds(30);
};

/// One request's place from arrival to its end.
using AdmissionTicket = std::uint64_t;

struct AdmissionRequest {
  core::TenantName tenant;
  std::int32_t priority = 0;  ///< higher runs first
  /// Most requests of the tenant that run at once on this thread.
  std::uint32_t tenant_concurrency = 1024;
  core::MonotonicTime deadline;
};

enum class AdmissionVerdict { kRun, kWait, kRefuse };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefuse;
  AdmissionTicket ticket = 0;
  /// When refused: when to come back, with jitter.
  core::Duration retry_after{};
  /// A waiting request of lower priority that lost its place to this one.
  std::optional<AdmissionTicket> displaced;
};

class Admission {
 public:
  Admission(AdmissionOptions options, std::uint64_t seed);

  /// Decides on a new request. One whose deadline would pass before its turn,
  /// by the estimate, is refused at once.
  AdmissionDecision arrive(const AdmissionRequest& request, core::MonotonicTime now);
  /// Ends a running request.
  /// \return the tickets whose turn has come; they run from now on.
  std::vector<AdmissionTicket> finish(AdmissionTicket ticket, core::MonotonicTime now);
  /// Takes a waiting request out of the queue: it was given up.
  void give_up(AdmissionTicket ticket);
  /// \return when a refused caller should come back: the time that the queue
  /// needs to drain, give or take half.
  core::Duration retry_after();

  std::uint32_t running() const { return running_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// Order of the queue: higher priority first, then earlier arrival.
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
  double mean_service_seconds_ = 0;  ///< moving average; zero until the first end
};

}  // namespace stoneport::routing
