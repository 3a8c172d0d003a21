// ItemDispatcher: moves texts away from silent and slow replicas.
#include <fmt/format.h>

#include "jobs/item_dispatcher.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr double kMillisecondsPerSecond = 1000;
/// Two replicas in a row may be silent. A text that is moved more often may just take long, for
/// example to process its prompt, and is allowed twice the silence with each further move.
constexpr std::uint32_t kMovesBeforeDoubling = 1;
constexpr std::uint32_t kMostDoublings = 8;

std::int64_t silence_factor(const ItemProgress& item) {
  const std::uint32_t doublings =
      item.silent_moves - std::min(item.silent_moves, kMovesBeforeDoubling);
  return std::int64_t{1} << std::min(doublings, kMostDoublings);
}
}  // namespace

core::Duration ItemDispatcher::median_gap(core::MonotonicTime now) const {
  std::vector<ReplicaLoad> all;
  for (const auto& [id, work] : work_) {
    ReplicaLoad load;
    load.event_gap = speeds_.event_gap(id, {}, now);
    all.push_back(load);
  }
  return median_event_gap(all);
}

std::map<OpenJob*, ItemDispatcher::JobView> ItemDispatcher::views_of_runs(core::MonotonicTime now) {
  std::map<OpenJob*, JobView> views;
  for (const RunPointer& run : runs_) {
    const bool is_known = run->job->is_closed || views.contains(run->job.get());
    if (!is_known) {
      views.emplace(run->job.get(), view_of(run->job, now));
    }
  }
  return views;
}

/// \return a replica of \p view with a free slot other than that of \p run.
std::optional<std::size_t> ItemDispatcher::place_elsewhere(const Run& run, const JobView& view,
                                                           const PlacementSettings& settings) {
  std::vector<ReplicaLoad> elsewhere = view.loads;
  for (ReplicaLoad& load : elsewhere) {
    load.closed |= load.id == run.replica->record.id;
  }
  TextToPlace text;
  text.is_long = run.is_long;
  text.excluded = run.job->items[run.item].failed_at;
  return place_item(elsewhere, view.median, text, settings);
}

bool ItemDispatcher::is_silent(Run& run, core::MonotonicTime now, core::Duration usual_gap) {
  const core::ReplicaId& id = run.replica->record.id;
  const core::Duration in_gaps =
      core::from_seconds(core::to_seconds(usual_gap) * settings_.silence_gap_factor);
  core::Duration allowed_silence = std::max(settings_.min_silence, in_gaps);
  if (inputs_.is_loading(id, run.job->job.model)) {
    allowed_silence = std::max(allowed_silence, settings_.loading_silence);
  }
  if (is_cold(*run.replica, now)) {
    allowed_silence = std::max(allowed_silence, settings_.cold_silence);
  }
  if (now - run.last_event <= allowed_silence * silence_factor(run.job->items[run.item])) {
    return false;
  }
  run.replica->suspect(now, settings_.suspicion);
  run.fell_silent = true;
  return true;
}

/// Moves a silent text only if another replica has a free slot, so that it does not wait in the
/// queue.
void ItemDispatcher::move_from_silent_replicas(core::MonotonicTime now) {
  const core::Duration usual_gap = median_gap(now);
  const std::list<RunPointer> runs = runs_;
  for (const RunPointer& run : runs) {
    const bool may_move = run->move_reason.empty() && !run->job->is_closed;
    if (!may_move || !is_silent(*run, now, usual_gap)) {
      continue;
    }
    const JobView view = view_of(run->job, now);
    if (place_elsewhere(*run, view, settings_.placement)) {
      ++run->job->items[run->item].silent_moves;
      move(*run, fmt::format("silent for {:.0f} ms",
                             core::to_seconds(now - run->last_event) * kMillisecondsPerSecond));
    }
  }
}

std::optional<ItemDispatcher::Move> ItemDispatcher::best_move(const RunPointer& run,
                                                              const JobView& view,
                                                              core::MonotonicTime now) {
  const ItemProgress& item = run->job->items[run->item];
  const bool may_move = run->move_reason.empty() &&
                        run->events_made >= settings_.moves.fewest_events &&
                        item.speed_moves < settings_.moves.max_moves_per_text;
  const ingress::ReplicaRecord& replica = run->replica->record;
  const auto work = work_.find(replica.id);
  if (!may_move || work == work_.end()) {
    return std::nullopt;
  }
  Move move;
  move.run = run;
  move.here = speeds_.event_gap(replica.id, {work->second.running, replica.slots}, now);
  const core::Duration fastest = fastest_gap_with_room(view.loads);
  const LengthEstimator& estimator = length_estimator_of(*run->job);
  if (fastest >= move.here || !estimator.is_known()) {
    return std::nullopt;  // most texts end here; what follows is more expensive
  }
  const double rest = estimator.median_remaining(run->job->evidence_of(run->item));
  if (!gain_of_move(rest, move.here, fastest, settings_.moves)) {
    return std::nullopt;
  }
  const std::optional<std::size_t> place = place_elsewhere(*run, view, settings_.placement);
  if (!place) {
    return std::nullopt;
  }
  move.there = view.loads[*place].event_gap;
  const std::optional<core::Duration> gain =
      gain_of_move(rest, move.here, move.there, settings_.moves);
  if (!gain) {
    return std::nullopt;
  }
  move.gain = *gain;
  return move;
}

void ItemDispatcher::move_to_faster_replicas(core::MonotonicTime now) {
  std::map<OpenJob*, JobView> views = views_of_runs(now);
  for (std::uint32_t moved = 0; moved < settings_.moves.most_at_once; ++moved) {
    std::optional<Move> best;
    for (const RunPointer& run : runs_) {
      const auto view = views.find(run->job.get());
      if (view == views.end()) {
        continue;
      }
      std::optional<Move> next = best_move(run, view->second, now);
      if (next && (!best || next->gain > best->gain)) {
        best = std::move(next);
      }
    }
    if (!best) {
      return;
    }
    const std::size_t place =
        *place_elsewhere(*best->run, views.at(best->run->job.get()), settings_.placement);
    const core::ReplicaId there = views.at(best->run->job.get()).loads[place].id;
    for (auto& [job, view] : views) {
      count_text(view, there, best->run->is_long, now);
    }
    ++best->run->job->items[best->run->item].speed_moves;
    move(*best->run, fmt::format("slower: {:.0f} ms an event against {:.0f}",
                                 core::to_seconds(best->here) * kMillisecondsPerSecond,
                                 core::to_seconds(best->there) * kMillisecondsPerSecond));
  }
}

void ItemDispatcher::move_stragglers() {
  const core::MonotonicTime now = inputs_.time.now();
  if (!move_pacer_.is_due(now)) {
    return;
  }
  move_from_silent_replicas(now);
  move_to_faster_replicas(now);
  move_pacer_.note(now, inputs_.time.now());
}

}  // namespace stoneport::jobs
