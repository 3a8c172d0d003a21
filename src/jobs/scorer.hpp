/// \file
/// Has whole texts rated by the calls that their jobs name. Belongs to the
/// coordinator's thread.
#pragma once

#include <functional>
#include <string>

#include "ingress/forwarder.hpp"
#include "jobs/job.hpp"

namespace stoneport::jobs {

struct ScorerSettings {
  /// Share of the places of a service that rating calls may take; the rest is for
  /// clients, whose requests have the shorter target.
  double share_of_places = 0.4;
  /// The same while more calls wait than that share lets through: a late step costs
  /// more than late lookups.
  double share_under_pressure = 1.0;
  std::uint32_t fewest_at_once = 2;
  core::Duration attempt_timeout = std::chrono::milliseconds(900);
  core::Duration retry_pause = std::chrono::milliseconds(60);
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

  /// Repeats the call until it is answered or no longer wanted.
  boost::asio::awaitable<Score> score(ScoringCall call, std::function<bool()> is_wanted);

 private:
  struct Attempt {
    bool ran_and_failed = false;
    std::string signature;  ///< empty unless it was a success
    std::uint32_t most_failures = 0;
  };
  boost::asio::awaitable<Attempt> attempt(const ScoringCall& call);
  std::uint32_t most_at_once(const ScoringCall& call) const;

  ingress::Forwarder& forwarder_;
  const ingress::RouteTableHolder& routes_;
  const ingress::ReplicaDirectory& directory_;
  const core::TimeSource& time_;
  ScorerSettings settings_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t waiting_ = 0;
  prometheus::Counter& scored_;
  prometheus::Counter& failed_answers_;
};

}  // namespace stoneport::jobs
