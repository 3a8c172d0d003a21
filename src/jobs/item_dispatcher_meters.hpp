/// \file
/// What ItemDispatcher counts; for its own files.
#pragma once

#include "jobs/item_dispatcher.hpp"

namespace stoneport::jobs {

struct ItemDispatcher::Meters {
  explicit Meters(core::Metrics& metrics)
      : running(metrics.gauge("stoneport_running_texts", "Texts that replicas make now")),
        moved(metrics.counter("stoneport_texts_moved_total",
                              "Texts taken from a slow or silent replica")),
        ejected(metrics.counter("stoneport_text_replica_ejections_total",
                                "Replicas left out for a while because they failed texts")),
        held_for_cold(metrics.counter(
            "stoneport_texts_held_for_cold_total",
            "Times that texts found no place while replicas took no more as cold ones bear")),
        deferred(metrics.counter(
            "stoneport_steps_put_behind_total",
            "Jobs that were put behind others of their rank as not all can be whole in time")),
        met(metrics.counter("stoneport_steps_ended_total",
                            "Jobs that ended, by whether their wanted groups were whole in time",
                            {{"result", "met"}})),
        missed(metrics.counter("stoneport_steps_ended_total",
                               "Jobs that ended, by whether their wanted groups were whole in time",
                               {{"result", "missed"}})),
        whole(metrics.counter("stoneport_texts_whole_total", "Texts that were made whole")) {}
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
