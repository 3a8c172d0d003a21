// ItemDispatcher: places queued items.
#include <tuple>

#include "jobs/item_dispatcher.hpp"
#include "jobs/item_dispatcher_meters.hpp"

namespace stoneport::jobs {

bool ItemDispatcher::has_work(const OpenJob& job, core::MonotonicTime now) {
  return std::any_of(job.items.begin(), job.items.end(), [now](const ItemProgress& item) {
    return item.state == ItemState::kQueued && now >= item.not_before;
  });
}

void ItemDispatcher::dispatch(std::vector<OpenJobPointer> jobs) {
  const core::MonotonicTime now = inputs_.time.now();
  std::map<std::uint32_t, std::vector<OpenJobPointer>> by_rank;
  for (const OpenJobPointer& job : jobs) {
    if (job->route != nullptr && has_work(*job, now)) {
      by_rank[rank_of(*job)].push_back(job);
    }
  }
  if (settings_.fair_steps) {
    decide_steps(jobs, now);
  }
  for (const auto& [rank, equals] : by_rank) {
    std::vector<JobView> views;
    for (const OpenJobPointer& job : equals) {
      views.push_back(view_of(job, now));
    }
    place_queued(std::move(views), now);
  }
  meters_->running.Set(static_cast<double>(runs_.size()));
}

ItemDispatcher::JobView ItemDispatcher::view_of(const OpenJobPointer& job,
                                                core::MonotonicTime now) {
  JobView view;
  view.job = job;
  view.replicas = usable_replicas(*job, now);
  view.loads = loads(view.replicas, *job, now);
  view.median = median_event_gap(view.loads);
  const auto place = step_places_.find(job->job.id);
  view.position = place == step_places_.end() ? 0 : place->second.position;
  return view;
}

void ItemDispatcher::place_queued(std::vector<JobView> views, core::MonotonicTime now) {
  for (JobView& view : views) {
    if (view.job->order_is_stale) {
      view.job->make_start_order(length_estimator_of(*view.job));
    }
  }
  std::erase_if(views, [&](JobView& view) { return !advance(view, now); });
  while (!views.empty()) {
    const auto first =
        std::min_element(views.begin(), views.end(), [](const JobView& left, const JobView& right) {
          return std::tie(left.position, left.latest_start) <
                 std::tie(right.position, right.latest_start);
        });
    const bool has_room = place_next(*first, views, now);
    ++first->next;
    if (!has_room || !advance(*first, now)) {
      views.erase(first);
    }
  }
}

bool ItemDispatcher::advance(JobView& view, core::MonotonicTime now) {
  const OpenJob& job = *view.job;
  while (view.next < job.start_order.size()) {
    const std::size_t index = job.start_order[view.next];
    const ItemProgress& item = job.items[index];
    if (item.state == ItemState::kQueued && now >= item.not_before) {
      view.latest_start = job.latest_start(index, length_estimator_of(job), view.median);
      return true;
    }
    ++view.next;
  }
  return false;
}

bool ItemDispatcher::place_next(JobView& view, std::vector<JobView>& views,
                                core::MonotonicTime now) {
  const std::size_t index = view.job->start_order[view.next];
  const ItemProgress& item = view.job->items[index];
  const std::string& group = view.job->job.items[index].group;
  TextToPlace text;
  text.is_long = is_long(view, index);
  text.excluded = item.failed_at;
  const auto known_home = view.job->homes.find(group);
  if (known_home != view.job->homes.end()) {
    text.preferred = known_home->second;
  }
  const std::optional<std::size_t> chosen =
      place_item(view.loads, view.median, text, settings_.placement);
  if (!chosen) {
    const bool is_held = std::any_of(
        view.replicas.begin(), view.replicas.end(), [&](const ingress::ReplicaPointer& replica) {
          return block_reason(*view.job, *replica, now) == eligibility::BlockReason::kColdRateLimit;
        });
    if (is_held) {
      meters_->held_for_cold.Increment();
    }
    // Replicas that have not failed it may have free slots for the others.
    return !item.failed_at.empty();
  }
  const core::ReplicaId replica = view.loads[*chosen].id;
  begin_run(view.job, index, view.replicas[*chosen], text.is_long);
  note_placed(view, views, replica, text.is_long, now);
  return true;
}

void ItemDispatcher::note_placed(const JobView& view, std::vector<JobView>& views,
                                 const core::ReplicaId& replica, bool is_long,
                                 core::MonotonicTime now) const {
  const std::size_t index = view.job->start_order[view.next];
  view.job->homes[view.job->job.items[index].group] = replica;
  for (JobView& other : views) {
    count_text(other, replica, is_long, now);
  }
}

bool ItemDispatcher::is_long(const JobView& view, std::size_t item) {
  const LengthEstimator& estimator = length_estimator_of(*view.job);
  if (!estimator.is_known()) {
    return false;
  }
  const double rest = estimator.median_remaining(view.job->evidence_of(item));
  const double allowed = core::to_seconds(view.job->route->run_deadline);
  return rest * core::to_seconds(view.median) >= settings_.placement.long_share * allowed;
}

/// Counts one more text on \p replica.
void ItemDispatcher::count_text(JobView& view, const core::ReplicaId& replica, bool is_long,
                                core::MonotonicTime now) const {
  for (std::size_t index = 0; index < view.loads.size(); ++index) {
    ReplicaLoad& load = view.loads[index];
    if (load.id == replica) {
      ++load.running;
      load.long_running += is_long ? 1 : 0;
      load.event_gap = speeds_.event_gap(load.id, {load.running + 1, load.slots}, now);
      load.closed |= block_reason(*view.job, *view.replicas[index], now).has_value();
    }
  }
}

}  // namespace stoneport::jobs
