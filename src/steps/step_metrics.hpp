/// \file
/// Metrics of the steps.
#pragma once

#include "core/metrics.hpp"

namespace stoneport::steps {

struct StepMetrics {
  explicit StepMetrics(core::Metrics& metrics);

  prometheus::Counter& steps_opened;
  prometheus::Counter& steps_completed;
  prometheus::Counter& steps_fenced;
  prometheus::Counter& steps_cancelled;
  prometheus::Counter& steps_abandoned;
  prometheus::Gauge& steps_open;
  prometheus::Counter& polls;
  prometheus::Counter& polls_replaced;
  prometheus::Counter& samples_accepted;
  prometheus::Counter& samples_handed_over;  ///< including repeats after lost responses
  prometheus::Counter& samples_duplicate;
  prometheus::Counter& samples_too_old;
  prometheus::Counter& samples_unfit;
  prometheus::Counter& attempts_started;
  prometheus::Counter& attempts_adopted;
  prometheus::Counter& streams_found_cancelled;
  prometheus::Counter& attempts_refused;
  prometheus::Counter& attempts_failed;
  prometheus::Counter& attempts_cancelled_too_old;
  prometheus::Counter& attempts_cancelled_unneeded;
  prometheus::Counter& streams_resumed;
  prometheus::Counter& streams_migrated;
  prometheus::Counter& migrations_failed;
  prometheus::Counter& priority_raises;
  prometheus::Counter& scoring_retries;
  prometheus::Counter& placements_deferred;
  prometheus::Counter& orders_failed;  ///< cancel and priority requests that failed
  prometheus::Counter& tokens_received;
  prometheus::Counter& tokens_dropped;  ///< tokens of attempts without a sample
};

}  // namespace stoneport::steps
