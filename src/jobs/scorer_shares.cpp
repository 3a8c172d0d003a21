// Scorer: computes how many places rating calls may take, and which text starts next.
#include <algorithm>

#include "core/decision_log.hpp"
#include "jobs/scorer_parts.hpp"

namespace stoneport::jobs {

bool Scorer::takes_calls(const ingress::ReplicaState& replica) const {
  return replica.accepts_work() && directory_.gate().is_open(replica.record.zone);
}

bool Scorer::is_crowded_at(const ingress::Route& route) const {
  const core::MonotonicTime now = time_.now();
  return std::any_of(
      route.targets.begin(), route.targets.end(), [&](const ingress::RouteTarget& target) {
        const ingress::LoadStatistics& load_statistics = forwarder_.load_statistics();
        return is_crowded(load_statistics.recent_of(target.service, now), settings_.rating_share);
      });
}

std::optional<std::uint32_t> Scorer::share_of(const ingress::Route& route) const {
  const auto demand = demands_.find(route.name);
  return demand == demands_.end() ? std::nullopt : demand->second.share;
}

std::uint32_t Scorer::places_of(const ingress::Route& route) const {
  std::uint32_t places = 0;
  for (const ingress::RouteTarget& target : route.targets) {
    for (const ingress::ReplicaPointer& replica : directory_.of_service(target.service)) {
      places += takes_calls(*replica) ? replica->record.slots : 0;
    }
  }
  return places;
}

void Scorer::refresh_share(const ScoringCall& call) {
  const RouteInForce in_force = route_of(call);
  const core::MonotonicTime now = time_.now();
  if (!settings_.shares_by_due_time || in_force.route == nullptr) {
    return;
  }
  const ingress::Route& route = *in_force.route;
  const auto found = demands_.find(route.name);
  if (found == demands_.end() || now < found->second.share_until) {
    return;
  }
  Demand& demand = found->second;
  demand.share_until = now + settings_.share_interval;
  const bool was_crowded = demand.share.has_value();
  const bool is_crowded = !demand.due.empty() && is_crowded_at(route);
  demand.share = is_crowded ? std::optional(share_for(route, demand)) : std::nullopt;
  meters_->share.Set(demand.share.value_or(0));
  if (is_crowded != was_crowded) {
    core::log_decision(core::DecisionEvent::kRatingShare, {{"route", route.name},
                                                           {"crowded", is_crowded},
                                                           {"places", places_of(route)},
                                                           {"share", demand.share.value_or(0)},
                                                           {"texts", demand.due.size()}});
  }
}

std::uint32_t Scorer::share_for(const ingress::Route& route, const Demand& demand) {
  const core::MonotonicTime now = time_.now();
  std::vector<core::Duration> time_left;
  time_left.reserve(demand.due.size());
  for (const core::MonotonicTime due : demand.due) {
    time_left.push_back(due - now);
  }
  const routing::CallBounds bounds{route.timeout, route.target_latency};
  const std::uint32_t places = places_of(route);
  const RatingService service{places, usual_share(places), known(route).times.usual(bounds)};
  return rating_quota(service, time_left, settings_.rating_share);
}

bool Scorer::is_its_turn(const Text& text) const {
  const RouteInForce in_force = route_of(text.call);
  if (!text.priority || in_force.route == nullptr || !share_of(*in_force.route)) {
    return true;
  }
  const std::multiset<RatingPriority>& waiting = demands_.at(in_force.route->name).waiting;
  return waiting.empty() || may_start_before(*text.priority, *waiting.begin(), settings_.same_step);
}

std::uint32_t Scorer::usual_share(std::uint32_t places) const {
  return static_cast<std::uint32_t>(places * settings_.slot_share);
}

std::uint32_t Scorer::most_at_once(const ScoringCall& call) const {
  const RouteInForce in_force = route_of(call);
  const std::uint32_t places = in_force.route == nullptr ? 0 : places_of(*in_force.route);
  if (places == 0) {
    return 0;  // a call that waits for a replica would have less time for its answer
  }
  const std::optional<std::uint32_t> share = share_of(*in_force.route);
  if (share) {
    return std::clamp(*share, std::min(settings_.fewest_at_once, places), places);
  }
  const std::uint32_t usual = usual_share(places);
  const auto most = static_cast<std::uint32_t>(places * settings_.slot_share_under_pressure);
  return std::max(waiting_ > usual ? most : usual, settings_.fewest_at_once);
}

Scorer::Demand* Scorer::demand_of(const Text& text) {
  const RouteInForce in_force = route_of(text.call);
  return text.priority && in_force.route != nullptr ? &demands_[in_force.route->name] : nullptr;
}

}  // namespace stoneport::jobs
