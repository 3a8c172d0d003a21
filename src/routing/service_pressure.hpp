/// \file
/// Whether a service as a whole is slow or full, as one process sees it. A second call would then
/// take the place of another request. Plain state, owned by one thread.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::routing {

struct ServicePressureSettings {
  /// How long a refusal for load counts: as long as a client that was told to come back after some
  /// hundreds of milliseconds adds to the load.
  core::Duration refusal_counts = std::chrono::seconds(1);
  /// How long an answer tells of its replica's speed: slow spells last for half a second to some
  /// seconds.
  core::Duration answer_counts = std::chrono::seconds(2);
  /// Of the replicas that answered lately; with more of them slow the service is.
  double most_slow_share = 0.5;
  /// One replica alone tells nothing of the service.
  std::size_t fewest_replicas = 2;
};

class ServicePressure {
 public:
  explicit ServicePressure(ServicePressureSettings settings = {}) : settings_(settings) {}

  /// A replica refused a call for load.
  void note_refusal(core::MonotonicTime now) { last_refusal_ = now; }
  /// \p replica answered, or had not when another one did.
  /// \param was_slow whether it took longer than such calls usually do
  void note_answer(const core::ReplicaId& replica, bool was_slow, core::MonotonicTime now);
  bool is_full(core::MonotonicTime now) const;
  /// \return whether most of the replicas that answered lately were slow.
  bool is_slow(core::MonotonicTime now) const;

 private:
  struct Answer {
    bool was_slow = false;
    core::MonotonicTime at{};
  };
  bool counts(const Answer& answer, core::MonotonicTime now) const;

  ServicePressureSettings settings_;
  std::optional<core::MonotonicTime> last_refusal_;
  std::map<core::ReplicaId, Answer> newest_;  ///< of the replicas that answered lately
};

}  // namespace stoneport::routing
