// ItemDispatcher: decides which jobs can be completed in time.
#include "core/decision_log.hpp"
#include "jobs/item_dispatcher.hpp"
#include "jobs/item_dispatcher_meters.hpp"

namespace stoneport::jobs {
namespace {
constexpr double kMillisecondsPerSecond = 1000;

/// Jobs of one tenant that train one model are attributed to one trainer.
std::string trainer_of(const OpenJob& job) {
  return job.entry.tenant.value() + " " + job.job.host + " " + job.job.model.value();
}
}  // namespace

/// \return the replicas of \p view that can generate texts, with the throughput of each when full.
std::vector<ReplicaRate> ItemDispatcher::rates_of(const JobView& view,
                                                  core::MonotonicTime now) const {
  std::vector<ReplicaRate> rates;
  const bool is_sample = view.replicas.size() >= replicas_compared(*view.job);
  if (is_sample || view.median == core::Duration(0)) {
    return rates;  // enough replicas have free slots, or their speed is unknown
  }
  for (const ReplicaLoad& load : view.loads) {
    // A full replica refuses further texts, but still generates those that it has.
    if (load.closed && load.running == 0) {
      continue;
    }
    const core::Duration known = speeds_.event_gap(load.id, {load.slots, load.slots}, now);
    const core::Duration gap = known > core::Duration(0) ? known : view.median;
    rates.push_back({load.id, load.slots / core::to_seconds(gap)});
  }
  return rates;
}

OpenStep ItemDispatcher::step_of(const JobView& view) {
  const OpenJob& job = *view.job;
  OpenStep step;
  step.job = job.job.id;
  step.trainer = trainer_of(job);
  step.rank = rank_of(job);
  step.due = job.entry.accepted_at + job.route->run_deadline;
  step.work = job.remaining_work(length_estimator_of(job));
  core::Duration fastest = view.median;
  for (const ReplicaLoad& load : view.loads) {
    if (!load.closed && load.event_gap > core::Duration(0)) {
      fastest = std::min(fastest, load.event_gap);
    }
  }
  step.last_end = core::from_seconds(step.work.longest * core::to_seconds(fastest));
  step.late_end = core::from_seconds(step.work.late_longest * core::to_seconds(fastest));
  return step;
}

bool ItemDispatcher::is_decision_due(const std::vector<OpenJobPointer>& jobs,
                                     core::MonotonicTime now) const {
  const bool are_same = jobs.size() == step_places_.size() &&
                        std::all_of(jobs.begin(), jobs.end(), [this](const OpenJobPointer& job) {
                          return step_places_.contains(job->job.id);
                        });
  return !are_same || step_pacer_.is_due(now);
}

void ItemDispatcher::decide_steps(const std::vector<OpenJobPointer>& all, core::MonotonicTime now) {
  std::vector<OpenJobPointer> jobs = all;
  std::erase_if(jobs, [](const OpenJobPointer& job) { return job->route == nullptr; });
  const std::optional<ports::StoreTime> store_now = inputs_.store.now();
  if (!store_now || !is_decision_due(jobs, now)) {
    return;
  }
  std::vector<OpenStep> steps;
  std::vector<std::vector<ReplicaRate>> usable;
  for (const OpenJobPointer& job : jobs) {
    const JobView view = view_of(job, now);
    steps.push_back(step_of(view));
    usable.push_back(length_estimator_of(*job).is_known() ? rates_of(view, now)
                                                          : std::vector<ReplicaRate>());
  }
  StepCapacity room = build_step_capacity(usable);
  for (std::size_t index = 0; index < steps.size(); ++index) {
    steps[index].pools = std::move(room.pools[index]);
  }
  StepDecision decision = step_shares_.decide(steps, room.rates, *store_now);
  for (const OpenJobPointer& job : jobs) {
    const StepPlan plan = decision.places[job->job.id].plan;
    job->set_order(start_order_of(plan));
    // The remaining work of each group changes with every event.
    job->order_is_stale |= plan != StepPlan::kUsual;
  }
  note_decision(decision);
  step_places_ = std::move(decision.places);
  step_pacer_.note(now, inputs_.time.now());
}

void ItemDispatcher::note_decision(const StepDecision& decision) {
  meters_->met.Increment(decision.met);
  meters_->missed.Increment(decision.missed);
  for (const DeferredStep& step : decision.deferred) {
    meters_->deferred.Increment();
    core::log_decision(core::DecisionEvent::kStepPutBehind,
                       {{"job", step.job},
                        {"trainer", step.trainer},
                        {"lost", step.is_lost},
                        {"expected_lateness_ms",
                         core::to_seconds(step.expected_lateness) * kMillisecondsPerSecond}});
  }
}

}  // namespace stoneport::jobs
