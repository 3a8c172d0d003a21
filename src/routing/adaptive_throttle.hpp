/// \file
/// Adaptive throttling on the client side: decides which requests a process refuses immediately
/// because their service is overloaded. Uses only what this process sent to the service and which
/// answers came in time, and nothing reported by other processes. One object per service; not
/// thread-safe. docs/design/load-admission.md
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"
#include "routing/retry_budget.hpp"

namespace stoneport::routing {

struct AdaptiveThrottleSettings {
  /// Requests admitted per answer in time. The excess over 1 probes for capacity that has become
  /// free; callers accept at most a tenth more sends than requests.
  double growth = 1.1;
  /// The same ratio while there is capacity, that is, the latest answer was fast and no replica
  /// refused recently. After a load spike new requests are thus served immediately instead of at
  /// the rate above.
  double growth_with_room = 10;
  /// Share of the route's target latency within which an answer is fast, which indicates a short
  /// queue.
  double quick_in_target_latencies = 0.35;
  /// A refusal by a replica within this time means no capacity, however fast answers are: replicas
  /// with short queues refuse before they become slow.
  core::Duration refusal_memory = std::chrono::milliseconds(300);
  /// Share of the route's target latency within which an answer is in time. Queues at replicas
  /// cause late answers before they cause refusals.
  double good_in_target_latencies = 0.7;
  /// Length of the counting window: several target latencies, so that most requests in it have been
  /// answered, but short enough to react to a load spike within a second.
  core::Duration shortest_window = std::chrono::milliseconds(600);
  /// The window is extended until it contains this many sent requests: with fewer, one late answer
  /// would count as overload.
  double min_sent = 8;
  core::Duration longest_window = std::chrono::milliseconds(1500);
  /// A process that has sent nothing for this long sends the next request unconditionally: without
  /// answers it could not detect the end of the overload.
  core::Duration probe_interval = std::chrono::milliseconds(750);
  /// How long requests may be refused here after two replicas, or the only one, refused for load. A
  /// service that is slow or failing but refuses nothing is not overloaded, and neither is one of
  /// which a single replica refuses.
  core::Duration armed_for = std::chrono::seconds(5);
  /// Minimum share of the budget for each rank, to prevent starvation.
  double rank_floor = 0.05;
  /// A request whose remaining time is below this share of the recent maximum of its caller is
  /// considered a retry.
  double retry_below = 0.9;
  /// How long retries are refused after a new request of the rank was refused.
  core::Duration retry_hold = std::chrono::seconds(2);
  /// How long a caller's maximum remaining time is remembered.
  core::Duration time_left_memory = std::chrono::seconds(10);
  core::Duration shortest_retry_after = std::chrono::milliseconds(100);
  core::Duration longest_retry_after = std::chrono::seconds(30);
  /// Number of tenants tracked individually within the window; further ones share one entry.
  std::size_t max_tenants = 64;
  /// Number of pairs of route and tenant whose maximum remaining time is remembered.
  std::size_t max_callers = 256;
  /// Maximum number of sends of one request after refusals by replicas: callers accept a tenth more
  /// sends than requests, and if one replica is full by coincidence, the next one drawn has
  /// capacity.
  std::uint32_t max_second_sends = 1;
  /// Budget for such sends while more is asked than is answered in time: a tenth of the first
  /// sends.
  RetryBudgetOptions second_sends = {};
};

struct ThrottleRequest {
  std::string_view route;
  core::TenantName tenant;
  std::uint32_t rank = 0;      ///< 0 is served first
  core::Duration time_left{};  ///< time until its caller gives up
};

/// A refusal by a replica that has no capacity.
struct ReplicaRefusal {
  core::ReplicaId replica;
  bool is_only = false;  ///< whether its service has no other replica
  /// Number of refusals of this request by replicas, including this one.
  std::uint32_t refusals = 1;
  core::MonotonicTime admitted_at;  ///< time at which the request was admitted
};

enum class ThrottleVerdict {
  kAdmit,
  kOverShare,  ///< refused: its tenant asks for more than its share of the service's throughput
  kRetried,    ///< refused: it is a retry, and new requests are refused too
};

struct ThrottleDecision {
  ThrottleVerdict verdict = ThrottleVerdict::kAdmit;
  /// Set if refused; exceeds the request's remaining time if there is no capacity in time.
  core::Duration retry_after{};
};

/// Decisions since start-up.
struct ThrottleCounts {
  std::uint64_t admitted = 0;
  std::uint64_t over_share = 0;
  std::uint64_t returned = 0;
};

class AdaptiveThrottle {
 public:
  AdaptiveThrottle(AdaptiveThrottleSettings settings, std::uint64_t seed)
      : settings_(settings), random_(seed), second_sends_(settings.second_sends) {}

  /// Decides on a request before its first send.
  ThrottleDecision decide(const ThrottleRequest& request, core::MonotonicTime now);
  /// Records the end of an admitted request. Requests are counted at their end, together with the
  /// answers received by then: counted at their start, a few concurrent requests would look
  /// unanswered.
  /// \param took time from the first send to the answer; nothing if there was no answer
  /// \param target target latency of the route; zero if there is none
  void note_end(const ThrottleRequest& request, std::optional<core::Duration> took,
                core::Duration target, core::MonotonicTime now);
  /// Records that a replica refused \p request, which was admitted.
  /// \return whether the request may be sent to another replica immediately. It may while the
  /// service is not overloaded, because replicas refuse for other reasons too. Under overload, one
  /// more send finds capacity if a single replica is full by coincidence; further sends only add
  /// load.
  bool note_refusal(const ThrottleRequest& request, const ReplicaRefusal& refusal,
                    core::MonotonicTime now);
  /// \return whether replicas refused for load recently, so that requests may be refused here.
  bool is_armed(core::MonotonicTime now) const { return now < armed_until_; }
  /// Gives up an admitted request that replicas refused.
  /// \return the Retry-After value for its caller.
  core::Duration refuse(const ThrottleRequest& request, core::MonotonicTime now);
  const ThrottleCounts& counts() const { return counts_; }

 private:
  struct Asked {
    std::uint32_t rank = 0;
    core::TenantName tenant;
    double count = 0;
  };
  struct Bucket {
    std::int64_t period = 0;
    std::vector<Asked> asked;
    double asked_count = 0;
    double ended = 0;     ///< of those asked, the ones not refused here
    double answered = 0;  ///< of those that ended, in time or late
    double good = 0;
  };
  /// Sums over the buckets in the current window.
  struct Window {
    std::vector<Asked> asked;
    double asked_count = 0;
    double ended = 0;
    double answered = 0;
    double good = 0;
    core::Duration length{};
    bool has_shared_entry = false;  ///< whether more tenants asked than are tracked individually
  };
  struct TimeLeft {
    core::Duration most{};
    core::MonotonicTime seen_at{};
  };

  Bucket& current_bucket(core::MonotonicTime now);
  void add(const Bucket& bucket, double weight, Window& window) const;
  Window window_at(core::MonotonicTime now) const;
  double budget_of(const Window& window, core::MonotonicTime now) const;
  /// Share of the service that is available to one rank.
  struct RankShare {
    double budget = 0;    ///< by the answers in time
    double answered = 0;  ///< remainder of all answers, in time or late
  };
  RankShare share_of_rank(const Window& window, std::uint32_t rank, core::MonotonicTime now) const;
  double chance_of_refusal(const Window& window, const ThrottleRequest& request,
                           core::MonotonicTime now) const;
  void note_refuser(const ReplicaRefusal& refusal, core::MonotonicTime now);
  void count_asked(const ThrottleRequest& request, core::MonotonicTime now);
  /// Records the remaining time of \p request. \return whether it is a retry.
  bool is_client_retry(const ThrottleRequest& request, core::MonotonicTime now);
  void evict_oldest_caller();
  bool has_room(core::MonotonicTime now) const;
  ThrottleDecision admit(core::MonotonicTime now);
  /// \return how long retries of \p rank are still refused.
  core::Duration hold_left(std::uint32_t rank, core::MonotonicTime now) const;
  core::Duration retry_after(const Window& window, const ThrottleRequest& request,
                             core::MonotonicTime now);

  AdaptiveThrottleSettings settings_;
  core::RandomSource random_;
  RetryBudget second_sends_;
  std::deque<Bucket> buckets_;  ///< oldest first
  core::MonotonicTime armed_since_{};
  core::MonotonicTime armed_until_{};
  core::ReplicaId last_refuser_;
  core::MonotonicTime other_refusal_{};  ///< latest one by a replica other than last_refuser_
  core::MonotonicTime last_refusal_{};   ///< latest one by any replica
  core::MonotonicTime last_admitted_{};
  bool was_quick_ = false;  ///< whether the latest answer was fast
  std::map<std::uint32_t, core::MonotonicTime> first_comer_refused_;  ///< by rank
  std::map<std::pair<std::string, core::TenantName>, TimeLeft> time_left_;
  ThrottleCounts counts_;
};

}  // namespace stoneport::routing
