/// \file
/// Rates complete texts by the calls that their jobs specify. A call that takes unusually long is
/// hedged by a second call to another replica; the first success counts and the other call is
/// cancelled. Used from the coordinator's thread only.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "ingress/forwarder.hpp"
#include "jobs/job.hpp"
#include "jobs/rating_quota.hpp"
#include "routing/call_times.hpp"
#include "routing/retry_budget.hpp"
#include "routing/second_call_policy.hpp"

namespace stoneport::jobs {

struct ScorerSettings {
  /// Fraction of a service's places that rating calls may take; the rest is left for clients, whose
  /// requests have the shorter latency target.
  double slot_share = 0.4;
  /// Replaces slot_share while more calls wait than it admits: a late step costs more than late
  /// lookups.
  double slot_share_under_pressure = 1.0;
  std::uint32_t fewest_at_once = 2;
  /// While clients crowd the service, derives the limit from the work that is due instead.
  bool shares_by_due_time = true;
  RatingQuotaSettings rating_share;
  routing::CallTimeSettings call_times;
  /// Budget of second calls, and of third ones for texts that got no answer: a tenth of the first
  /// calls, so that a service that is slow as a whole does not get twice the load, and a minimum of
  /// about the places of one replica.
  routing::RetryBudgetOptions second_calls{
      .ratio = 0.1, .minimum = 6, .window = std::chrono::seconds(10)};
  core::Duration retry_pause = std::chrono::milliseconds(60);
  /// Interval between two computations of the quota. Each waiting text polls at about this
  /// interval.
  core::Duration share_interval = std::chrono::milliseconds(15);
  /// Difference of due times up to which texts belong to one step: they are computed from readings
  /// of two clocks.
  core::Duration same_step = std::chrono::milliseconds(50);
  /// Interval at which a call in flight is checked for whether it is still wanted.
  core::Duration look_interval = std::chrono::milliseconds(50);
};

enum class ScoreEnd {
  kScored,
  kFailed,     ///< failed as often as the route's attempts allow
  kCancelled,  ///< no longer wanted
};
struct Score {
  ScoreEnd end = ScoreEnd::kCancelled;
  std::string signature;  ///< set only if scored
};

class Scorer {
 public:
  /// All arguments must outlive the scorer.
  Scorer(ingress::Forwarder& forwarder, const ingress::RouteTableHolder& routes,
         const ingress::ReplicaDirectory& directory, const core::TimeSource& time,
         core::Metrics& metrics, ScorerSettings settings = {});
  ~Scorer();

  /// Repeats the call until it is answered or no longer wanted. None of its calls is in flight when
  /// it returns.
  /// \param priority rank and due time of the text's step; none if the due time is unknown
  boost::asio::awaitable<Score> score(ScoringCall call, std::function<bool()> is_wanted,
                                      std::optional<RatingPriority> priority = std::nullopt);

 private:
  struct Meters;
  /// One call to a replica.
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;
  /// A text that is being rated.
  struct Text;
  using TextPointer = std::shared_ptr<Text>;
  enum class AnswerKind {
    kNone,         ///< refused, disconnected or malformed
    kOutOfTime,    ///< no answer within the time allowed for the call
    kRatedText,    ///< with a signature
    kFailedAnswer  ///< the replica ran it and failed
  };
  struct Answer {
    AnswerKind kind = AnswerKind::kNone;
    std::string signature;
  };
  /// Call statistics of a route.
  struct RouteStatistics {
    routing::CallTimes times;
    routing::RetryBudget second_calls;
  };
  /// Pending ratings of one route.
  struct Demand {
    std::multiset<core::MonotonicTime> due;  ///< due times of all texts to be rated
    std::multiset<RatingPriority> waiting;   ///< those without a call in flight
    std::optional<std::uint32_t> share;  ///< places for them; none unless the service is crowded
    core::MonotonicTime share_until{};   ///< when the share must be recomputed
  };
  /// Route of a call in the current route table.
  struct RouteInForce {
    std::shared_ptr<const ingress::RouteTable> table;  ///< owns route
    const ingress::Route* route = nullptr;             ///< null if there is none
  };
  RouteInForce route_of(const ScoringCall& call) const;
  RouteStatistics& known(const ingress::Route& route);
  /// \return whether the places of \p replica count for rating calls: it accepts work, and its zone
  /// is open.
  bool takes_calls(const ingress::ReplicaState& replica) const;
  std::uint32_t most_at_once(const ScoringCall& call) const;
  /// \return whether clients' requests crowd the service of \p route, judged by this process's
  /// requests.
  bool is_crowded_at(const ingress::Route& route) const;
  /// Recomputes the share of the route of \p call when its interval has passed.
  void refresh_share(const ScoringCall& call);
  /// \return the places that the texts of \p demand need to be rated in time.
  std::uint32_t share_for(const ingress::Route& route, const Demand& demand);
  /// \return the places of \p route's service that its due texts may take; none while due times are
  /// not considered.
  std::optional<std::uint32_t> share_of(const ingress::Route& route) const;
  std::uint32_t places_of(const ingress::Route& route) const;
  std::uint32_t usual_share(std::uint32_t places) const;
  /// \return the demand that \p text belongs to, or null if its due time or route is unknown. The
  /// pointer stays valid.
  Demand* demand_of(const Text& text);
  /// \return whether no waiting text precedes \p text.
  bool is_its_turn(const Text& text) const;
  /// \return what replicas that have no call of \p text could offer it, within the places that
  /// rating calls may take.
  routing::OtherReplicas look_elsewhere(const Text& text, const ingress::Route& route) const;
  /// \return whether the replica has answered no call since \p attempt was sent.
  bool is_silent(const Attempt& attempt) const;

  boost::asio::awaitable<void> begin_when_slot_free(TextPointer text,
                                                    const std::function<bool()>& is_wanted);
  void begin(const TextPointer& text, bool is_second);
  boost::asio::awaitable<void> run(TextPointer text, AttemptPointer attempt);
  boost::asio::awaitable<Answer> call(TextPointer text, AttemptPointer attempt);
  void on_end(Text& text, const AttemptPointer& attempt, const Answer& answer);
  void on_rated(Text& text, const Attempt& winner, const std::string& signature);
  void on_failed_answer(Text& text, const Attempt& failed);
  /// Cancels a call that waits for a silent replica, or sends a second one if it is due.
  void check_attempts(const TextPointer& text);
  /// \return whether to cancel \p attempt, which may be lost, and send another call.
  bool should_cut(const Text& text, const Attempt& attempt, const routing::CallBounds& bounds,
                  RouteStatistics& route);
  void give_up(Text& text, Attempt& attempt);
  void cancel(Attempt& attempt);
  boost::asio::awaitable<void> cancel_all(Text& text);
  boost::asio::awaitable<void> wait_for_change(Text& text);

  ingress::Forwarder& forwarder_;
  const ingress::RouteTableHolder& routes_;
  const ingress::ReplicaDirectory& directory_;
  const core::TimeSource& time_;
  ScorerSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t waiting_ = 0;
  std::map<std::string, Demand> demands_;         ///< by route name
  std::map<std::string, RouteStatistics> known_;  ///< by route name
};

}  // namespace stoneport::jobs
