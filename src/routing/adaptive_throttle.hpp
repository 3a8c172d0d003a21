/// \file
/// Which requests of callers a process refuses at once because their service is overloaded
/// (adaptive throttling on the client's side). It goes by what this process asked of the service
/// and what was answered in good time, and by nothing that other processes say. Plain state, one
/// object for each service, owned by one thread. docs/design/load-admission.md
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
  /// Requests let through for one answered in good time. What is above 1 finds room that came
  /// free; callers bear at most a tenth more sends than requests.
  double growth = 1.1;
  /// The same while there is room: the newest answer was quick, and no replica refused lately.
  /// So those who come after a crowd are served at once, not at the pace of the rate above.
  double growth_with_room = 10;
  /// An answer within this share of its route's target latency was quick: it met no long queue.
  double quick_in_target_latencies = 0.35;
  /// A refusal by a replica within this time shows that there is no room, however quick answers
  /// are: replicas with short queues refuse before they are slow.
  core::Duration refusal_memory = std::chrono::milliseconds(300);
  /// A request answered within this share of its route's target latency was answered in good
  /// time. Queues at replicas show as late answers before they show as refusals.
  double good_in_target_latencies = 0.7;
  /// What is counted: several target latencies, so that answers have come for most of what was
  /// asked, and short enough that a crowd is met within a second.
  core::Duration shortest_window = std::chrono::milliseconds(600);
  /// The window reaches back further until it holds this many requests that were sent: with fewer,
  /// one late answer would count as overload.
  double fewest_sent = 8;
  core::Duration longest_window = std::chrono::milliseconds(1500);
  /// A process that sent nothing for so long sends the next request whatever it knows: without
  /// answers it would never learn that the crowd is over.
  core::Duration probe_interval = std::chrono::milliseconds(750);
  /// For so long after two replicas, or the only one, refused for load, requests may be refused
  /// here. A service that is slow, or fails, and refuses nothing is not overloaded, nor is one of
  /// which a single replica refuses.
  core::Duration armed_for = std::chrono::seconds(5);
  /// Share of the budget that each rank gets at least, so that none starves.
  double rank_floor = 0.05;
  /// A request with less time left than this share of what its caller's requests lately had was
  /// here before and has come back.
  double returned_below = 0.9;
  /// After a first-comer of the rank was refused, those who come back are refused for so long.
  core::Duration returned_hold = std::chrono::seconds(2);
  /// How long the most time left of a caller is remembered.
  core::Duration time_left_memory = std::chrono::seconds(10);
  core::Duration shortest_retry_after = std::chrono::milliseconds(100);
  core::Duration longest_retry_after = std::chrono::seconds(30);
  /// Tenants that are told apart within the window; further ones share one place.
  std::size_t most_tenants = 64;
  /// Pairs of route and tenant whose most time left is remembered.
  std::size_t most_callers = 256;
  /// Of one request, after refusals by replicas: callers bear a tenth more sends than requests, and
  /// beside one replica that is full by chance the next one drawn has room.
  std::uint32_t most_second_sends = 1;
  /// Second sends while more is asked than is answered in good time: a tenth of the first ones.
  RetryBudgetOptions second_sends = {};
};

struct ThrottleRequest {
  std::string_view route;
  core::TenantName tenant;
  std::uint32_t rank = 0;      ///< 0 is served first
  core::Duration time_left{};  ///< until its caller gives up
};

/// A replica's answer that it has no room.
struct ReplicaRefusal {
  core::ReplicaId replica;
  bool is_only = false;             ///< its service has no other
  std::uint32_t refusals = 1;       ///< of this request by replicas, this one included
  core::MonotonicTime admitted_at;  ///< the request
};

enum class ThrottleVerdict {
  kAdmit,
  kOverShare,  ///< refused: its tenant asks more than its share of what the service answers
  kReturned,   ///< refused: it came back, and first-comers are refused too
};

struct ThrottleDecision {
  ThrottleVerdict verdict = ThrottleVerdict::kAdmit;
  core::Duration retry_after{};  ///< of a refused one; longer than its time left: no room in time
};

/// What was decided since the start.
struct ThrottleCounts {
  std::uint64_t admitted = 0;
  std::uint64_t over_share = 0;
  std::uint64_t returned = 0;
};

class AdaptiveThrottle {
 public:
  AdaptiveThrottle(AdaptiveThrottleSettings settings, std::uint64_t seed)
      : settings_(settings), random_(seed), second_sends_(settings.second_sends) {}

  /// Decides on a request before it is sent first.
  ThrottleDecision ask(const ThrottleRequest& request, core::MonotonicTime now);
  /// A request that was admitted ended. Requests count when they end, beside what was answered by
  /// then: counted when they begin, a few at once would look as if they were not answered.
  /// \param took from its first send to its answer; nothing when none came
  /// \param target of its route; zero when any time will do
  void note_end(const ThrottleRequest& request, std::optional<core::Duration> took,
                core::Duration target, core::MonotonicTime now);
  /// A replica refused \p request, which was admitted.
  /// \return whether it may go to another replica at once. While the service is not overloaded it
  /// may: replicas refuse for other reasons too. Else one more send finds the room beside a replica
  /// that is full by chance, and further ones only add to the load.
  bool note_refusal(const ThrottleRequest& request, const ReplicaRefusal& refusal,
                    core::MonotonicTime now);
  /// \return whether replicas refused for load lately, so that requests may be refused here.
  bool is_armed(core::MonotonicTime now) const { return now < armed_until_; }
  /// Gives up a request that was admitted and that replicas refused.
  /// \return when its caller should come back.
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
    double ended = 0;     ///< of those asked, the ones that were not refused here
    double answered = 0;  ///< of those that ended, in good time or late
    double good = 0;
  };
  /// The sums of the buckets that count now.
  struct Window {
    std::vector<Asked> asked;
    double asked_count = 0;
    double ended = 0;
    double answered = 0;
    double good = 0;
    core::Duration length{};
    bool shares_place = false;  ///< more tenants asked than are told apart
  };
  struct TimeLeft {
    core::Duration most{};
    core::MonotonicTime seen_at{};
  };

  Bucket& current_bucket(core::MonotonicTime now);
  void add(const Bucket& bucket, double weight, Window& window) const;
  Window window_at(core::MonotonicTime now) const;
  double budget_of(const Window& window, core::MonotonicTime now) const;
  /// What requests of one rank may take of the service.
  struct RankShare {
    double budget = 0;    ///< by what is answered in good time
    double answered = 0;  ///< what is left of all that is answered, late or not
  };
  RankShare share_of_rank(const Window& window, std::uint32_t rank, core::MonotonicTime now) const;
  double chance_of_refusal(const Window& window, const ThrottleRequest& request,
                           core::MonotonicTime now) const;
  void note_refuser(const ReplicaRefusal& refusal, core::MonotonicTime now);
  void count_asked(const ThrottleRequest& request, core::MonotonicTime now);
  /// Takes in the time that \p request has left. \return whether it was here before.
  bool has_returned(const ThrottleRequest& request, core::MonotonicTime now);
  void make_place_for_caller();
  bool has_room(core::MonotonicTime now) const;
  ThrottleDecision admit(core::MonotonicTime now);
  /// \return for how long requests of \p rank that come back are refused yet.
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
  core::MonotonicTime other_refusal_{};  ///< the newest by a replica other than last_refuser_
  core::MonotonicTime last_refusal_{};   ///< by a replica
  core::MonotonicTime last_admitted_{};
  bool was_quick_ = false;                                            ///< the newest answer
  std::map<std::uint32_t, core::MonotonicTime> first_comer_refused_;  ///< by rank
  std::map<std::pair<std::string, core::TenantName>, TimeLeft> time_left_;
  ThrottleCounts counts_;
};

}  // namespace stoneport::routing
