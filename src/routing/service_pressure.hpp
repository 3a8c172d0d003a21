/// \file
/// Detects whether a service as a whole is slow or full, as observed by one process. A second call
/// would then take capacity from another request. Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

struct ServicePressureSettings {
  /// How long a refusal for load counts: as long as a client that was told to retry after some
  /// hundreds of milliseconds adds to the load.
  core::Duration refusal_window = std::chrono::seconds(1);
  /// How long an answer is evidence of its replica's speed: slow phases last from half a second to
  /// some seconds.
  core::Duration answer_window = std::chrono::seconds(2);
  /// Share of the replicas with recent answers; if more of them are slow, the service is slow.
  double max_slow_share = 0.5;
  /// Minimum number of replicas; a single replica is no evidence about the service.
  std::size_t min_replicas = 2;
};

class ServicePressure {
 public:
  explicit ServicePressure(ServicePressureSettings settings = {}) : settings_(settings) {}

  /// Records that a replica refused a call for load.
  void note_refusal(core::MonotonicTime now) { last_refusal_ = now; }
  /// Records that \p replica answered, or had not answered when another one did.
  /// \param was_slow whether the call took longer than usual
  void note_answer(const core::ReplicaId& replica, bool was_slow, core::MonotonicTime now);
  bool is_full(core::MonotonicTime now) const;
  /// \return whether most of the replicas with recent answers were slow.
  bool is_slow(core::MonotonicTime now) const;

 private:
  struct Answer {
    bool was_slow = false;
    core::MonotonicTime at{};
  };
  bool counts(const Answer& answer, core::MonotonicTime now) const;

  ServicePressureSettings settings_;
  std::optional<core::MonotonicTime> last_refusal_;
  std::map<core::ReplicaId, Answer> newest_;  ///< latest answer of each replica
};

}  // namespace stoneport::routing
