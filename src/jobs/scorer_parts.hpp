/// \file
/// What the scorer's sources share: its counters, one call, one text. Private to src/jobs.
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
                                     "Second rating calls beside one that took long")),
        second_calls_won(metrics.counter("stoneport_score_hedges_won_total",
                                         "Second rating calls that were answered first")),
        cut(metrics.counter("stoneport_score_calls_cut_total",
                            "Rating calls that were cut because nobody needed their answer "
                            "or their replica was silent")),
        share(metrics.gauge("stoneport_score_share_places",
                            "Places that rating calls may take by what is due; 0 while clients "
                            "do not crowd their service")) {}
  prometheus::Counter& scored;
  prometheus::Counter& failed_answers;
  prometheus::Counter& second_calls;
  prometheus::Counter& second_calls_won;
  prometheus::Counter& cut;
  prometheus::Gauge& share;
};

struct Scorer::Attempt {
  ingress::ReplicaPointer replica;  ///< null until it was sent
  core::MonotonicTime sent_at{};
  bool is_second = false;
  /// False once another call of the text, which was out at the same time, has failed.
  bool counts_failure = true;
  bool is_cut = false;
  boost::asio::cancellation_signal cut;
};

struct Scorer::Text {
  Text(boost::asio::any_io_executor executor, ScoringCall scoring_call)
      : call(std::move(scoring_call)), changed(std::move(executor)) {}

  ScoringCall call;
  std::optional<RatingPriority> claim;  ///< of its step, where known
  std::list<AttemptPointer> attempts;   ///< that are out, in the order of their beginning
  boost::asio::steady_timer changed;    ///< cancelled when one of them ends
  core::MonotonicTime not_before{};     ///< the next one begins then at the earliest
  std::uint32_t failures = 0;
  std::uint32_t given_up = 0;      ///< calls that got no answer in their time
  std::set<core::ReplicaId> left;  ///< replicas that did not answer it, or failed it
  std::optional<Score> end;
};

}  // namespace stoneport::jobs
