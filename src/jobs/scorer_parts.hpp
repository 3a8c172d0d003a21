/// \file
/// Definitions shared by the scorer's sources: its metrics, one call, one text. Private to
/// src/jobs.
#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jobs/scorer.hpp"

namespace stoneport::jobs {

struct Scorer::Meters {
  explicit Meters(core::Metrics& metrics)
      : scored(metrics.counter("stoneport_scores_total", "Texts that were rated")),
        failed_answers(metrics.counter("stoneport_score_failures_total",
                                       "Rating calls that a replica ran and failed")),
        second_calls(metrics.counter("stoneport_score_hedges_total",
                                     "Second rating calls sent because the first took long")),
        second_calls_won(metrics.counter("stoneport_score_hedges_won_total",
                                         "Second rating calls that were answered first")),
        cancelled(metrics.counter("stoneport_score_calls_cut_total",
                                  "Rating calls cancelled because their answer was not needed "
                                  "or their replica was silent")),
        share(metrics.gauge("stoneport_score_share_places",
                            "Places that rating calls may take for due texts; 0 while clients "
                            "do not crowd their service")) {}
  prometheus::Counter& scored;
  prometheus::Counter& failed_answers;
  prometheus::Counter& second_calls;
  prometheus::Counter& second_calls_won;
  prometheus::Counter& cancelled;
  prometheus::Gauge& share;
};

struct Scorer::Attempt {
  ingress::ReplicaPointer replica;  ///< null until it was sent
  core::MonotonicTime sent_at{};
  bool is_second = false;
  /// False once a concurrent call of the same text has failed.
  bool counts_failure = true;
  bool is_cancelled = false;
  boost::asio::cancellation_signal cancel;
};

struct Scorer::Text {
  Text(boost::asio::any_io_executor executor, ScoringCall scoring_call)
      : call(std::move(scoring_call)), changed(std::move(executor)) {}

  ScoringCall call;
  std::optional<RatingPriority> priority;  ///< of its step, if known
  std::list<AttemptPointer> attempts;      ///< in flight, in start order
  boost::asio::steady_timer changed;       ///< cancelled when one of them ends
  core::MonotonicTime not_before{};        ///< earliest start of the next attempt
  std::uint32_t failures = 0;
  std::uint32_t given_up = 0;      ///< calls that got no answer in time
  std::set<core::ReplicaId> left;  ///< replicas that did not answer it or failed it
  std::optional<Score> end;
};

}  // namespace stoneport::jobs
