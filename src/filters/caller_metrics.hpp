/// \file
/// Counters of the callers' interface. Looked up once a thread; all threads
/// raise the same ones.
#pragma once

#include "core/metrics.hpp"

namespace stoneport::filters {

struct CallerMetrics {
  explicit CallerMetrics(core::Metrics& metrics);

  prometheus::Counter& completed;
  prometheus::Counter& not_run;
  prometheus::Counter& unknown;
  prometheus::Counter& aborted;       ///< response cut by the back end
  prometheus::Counter& callers_gone;  ///< callers that left before the end
  prometheus::Counter& attempts;
  prometheus::Counter& retries;
  prometheus::Counter& retries_over_budget;
  prometheus::Counter& replicas_unreachable;
  prometheus::Counter& broken_answers;
  prometheus::Counter& back_end_not_run;
  prometheus::Counter& refused_overload;
  prometheus::Counter& claims_replayed;
  prometheus::Counter& claims_without_outcome;
  prometheus::Counter& claims_mismatched;
  prometheus::Counter& outcomes_not_recorded;
  prometheus::Counter& streams_resumed;
  prometheus::Counter& streams_restarted;
};

}  // namespace stoneport::filters
