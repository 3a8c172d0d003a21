/// \file
/// Has whole texts rated by the calls that their jobs name. A call that takes unusually
/// long gets a second one beside it, at another replica; the first success counts and the
/// other call is cut. Belongs to the coordinator's thread.
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
  /// Share of the places of a service that rating calls may take; the rest is for
  /// clients, whose requests have the shorter target.
  double slot_share = 0.4;
  /// The same while more calls wait than that share lets through: a late step costs
  /// more than late lookups.
  double slot_share_under_pressure = 1.0;
  std::uint32_t fewest_at_once = 2;
  /// While clients crowd the service, the share follows from the work that is due instead.
  bool shares_by_due_time = true;
  RatingQuotaSettings rating_share;
  routing::CallTimeSettings call_times;
  /// Second calls, and the third for those that get no answer: a tenth of the first ones, so that a
  /// service that turned slow as a whole is not loaded with twice the calls, and about as many as
  /// one replica has places.
  routing::RetryBudgetOptions second_calls{
      .ratio = 0.1, .minimum = 6, .window = std::chrono::seconds(10)};
  core::Duration retry_pause = std::chrono::milliseconds(60);
  /// Between two looks at what is due. Each text that waits asks about as often.
  core::Duration share_interval = std::chrono::milliseconds(15);
  /// Texts of one step come with due times that the readings of two clocks let differ.
  core::Duration same_step = std::chrono::milliseconds(50);
  /// Between two looks whether a call that is out is still wanted.
  core::Duration look_interval = std::chrono::milliseconds(50);
};

enum class ScoreEnd {
  kScored,
  kFailed,  ///< as many answers of failure as the route allows attempts
  kCut,     ///< no longer wanted
};
struct Score {
  ScoreEnd end = ScoreEnd::kCut;
  std::string signature;  ///< only when scored
};

class Scorer {
 public:
  /// All outlive the scorer.
  Scorer(ingress::Forwarder& forwarder, const ingress::RouteTableHolder& routes,
         const ingress::ReplicaDirectory& directory, const core::TimeSource& time,
         core::Metrics& metrics, ScorerSettings settings = {});
  ~Scorer();

  /// Repeats the call until it is answered or no longer wanted. None of its calls is out
  /// any more when it returns.
  /// \param claim of the text's step; none when it is not known when that is due
  boost::asio::awaitable<Score> score(ScoringCall call, std::function<bool()> is_wanted,
                                      std::optional<RatingPriority> claim = std::nullopt);

 private:
  struct Meters;
  /// One call to a replica.
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;
  /// A text that is rated now.
  struct Text;
  using TextPointer = std::shared_ptr<Text>;
  enum class AnswerKind {
    kNone,         ///< refused, cut off or garbled
    kOutOfTime,    ///< no answer for as long as the call was to be waited for
    kRatedText,    ///< with a signature
    kFailedAnswer  ///< the replica ran it and failed
  };
  struct Answer {
    AnswerKind kind = AnswerKind::kNone;
    std::string signature;
  };
  /// What is known of a route's calls.
  struct RouteStatistics {
    routing::CallTimes times;
    routing::RetryBudget second_calls;
  };
  /// What is due of the texts of one route.
  struct Demand {
    std::multiset<core::MonotonicTime> due;  ///< of all that are to be rated
    std::multiset<RatingPriority> waiting;   ///< of those that have no call out
    std::optional<std::uint32_t> share;      ///< places for them; none without a crowd
    core::MonotonicTime share_until{};       ///< it is made anew then
  };
  /// The route of a call in the table in force.
  struct RouteInForce {
    std::shared_ptr<const ingress::RouteTable> table;  ///< owns route
    const ingress::Route* route = nullptr;             ///< null when there is none
  };
  RouteInForce route_of(const ScoringCall& call) const;
  RouteStatistics& known(const ingress::Route& route);
  /// \return whether \p replica has places for rating calls: it works, in a zone that is open.
  bool takes_calls(const ingress::ReplicaState& replica) const;
  std::uint32_t most_at_once(const ScoringCall& call) const;
  /// \return whether clients' requests crowd the service of \p route, as seen from here.
  bool is_crowded_at(const ingress::Route& route) const;
  /// Looks anew at what is due of the route of \p call, once in a while.
  void refresh_share(const ScoringCall& call);
  /// \return the places that the texts of \p demand need to be in time.
  std::uint32_t share_for(const ingress::Route& route, const Demand& demand);
  /// \return the places of \p route's service that what is due there may take; none where that does
  /// not count.
  std::optional<std::uint32_t> share_of(const ingress::Route& route) const;
  std::uint32_t places_of(const ingress::Route& route) const;
  std::uint32_t usual_share(std::uint32_t places) const;
  /// \return where \p text counts by its step; null when nothing is known of that. Stays valid.
  Demand* demand_of(const Text& text);
  /// \return whether no text that waits goes before \p text.
  bool is_its_turn(const Text& text) const;
  /// \return what replicas that \p text has no call at could do for it, with the places that rating
  /// calls may take.
  routing::Elsewhere look_elsewhere(const Text& text, const ingress::Route& route) const;
  /// \return whether the replica has answered nothing since \p attempt was sent there.
  bool is_silent(const Attempt& attempt) const;

  boost::asio::awaitable<void> begin_when_slot_free(TextPointer text,
                                                    const std::function<bool()>& is_wanted);
  void begin(const TextPointer& text, bool is_second);
  boost::asio::awaitable<void> run(TextPointer text, AttemptPointer attempt);
  boost::asio::awaitable<Answer> call(TextPointer text, AttemptPointer attempt);
  void on_end(Text& text, const AttemptPointer& attempt, const Answer& answer);
  void on_rated(Text& text, const Attempt& winner, const std::string& signature);
  void on_failed_answer(Text& text, const Attempt& failed);
  /// Cuts a call that waits for a silent replica, or sends a second one where it is due.
  void check_attempts(const TextPointer& text);
  /// \return whether to end \p attempt, which may be lost, and to send another one.
  bool should_cut(const Text& text, const Attempt& attempt, const routing::CallBounds& bounds,
                  RouteStatistics& route);
  void give_up(Text& text, Attempt& attempt);
  void cut(Attempt& attempt);
  boost::asio::awaitable<void> cut_all(Text& text);
  boost::asio::awaitable<void> wait_for_change(Text& text);

  ingress::Forwarder& forwarder_;
  const ingress::RouteTableHolder& routes_;
  const ingress::ReplicaDirectory& directory_;
  const core::TimeSource& time_;
  ScorerSettings settings_;
  std::unique_ptr<Meters> meters_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t waiting_ = 0;
  std::map<std::string, Demand> demands_;         ///< by the route's name
  std::map<std::string, RouteStatistics> known_;  ///< by the route's name
};

}  // namespace stoneport::jobs
