/// \file
/// Metrics of ItemDispatcher; included by its own sources only.
#pragma once

#include "jobs/item_dispatcher.hpp"

namespace stoneport::jobs {

struct ItemDispatcher::Meters {
  explicit Meters(core::Metrics& metrics)
      : running(metrics.gauge("stoneport_running_texts", "Texts that replicas are generating")),
        moved(metrics.counter("stoneport_texts_moved_total",
                              "Texts moved away from a slow or silent replica")),
        ejected(metrics.counter("stoneport_text_replica_ejections_total",
                                "Replicas ejected temporarily because they failed texts")),
        held_for_cold(metrics.counter(
            "stoneport_texts_held_for_cold_total",
            "Times that texts could not be placed because cold replicas were at their rate limit")),
        deferred(metrics.counter(
            "stoneport_steps_put_behind_total",
            "Jobs deferred behind others of their rank because not all can complete in time")),
        met(metrics.counter("stoneport_steps_ended_total",
                            "Jobs that ended, by whether their wanted groups were complete in time",
                            {{"result", "met"}})),
        missed(
            metrics.counter("stoneport_steps_ended_total",
                            "Jobs that ended, by whether their wanted groups were complete in time",
                            {{"result", "missed"}})),
        whole(metrics.counter("stoneport_texts_whole_total", "Texts completed")) {}
  prometheus::Gauge& running;
  prometheus::Counter& moved;
  prometheus::Counter& ejected;
  prometheus::Counter& held_for_cold;
  prometheus::Counter& deferred;
  prometheus::Counter& met;
  prometheus::Counter& missed;
  prometheus::Counter& whole;
};

}  // namespace stoneport::jobs
