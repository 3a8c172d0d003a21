#include "routing/adaptive_throttle.hpp"

#include <algorithm>

namespace stoneport::routing {
namespace {

/// Step by which the counting window slides.
constexpr core::Duration kBucketLength = std::chrono::milliseconds(100);

std::int64_t period_of(core::MonotonicTime now) {
  return now.time_since_epoch() / kBucketLength;
}

/// \return the level at which the values of \p asked, capped there, sum up to \p budget (max-min
/// fairness).
double fair_level(std::vector<double> asked, double budget) {
  std::sort(asked.begin(), asked.end());
  double level = 0;
  for (std::size_t place = 0; place < asked.size(); ++place) {
    level = budget / static_cast<double>(asked.size() - place);
    if (asked[place] >= level) {
      return level;
    }
    budget -= asked[place];
  }
  return asked.empty() ? budget : asked.back();
}

}  // namespace

AdaptiveThrottle::Bucket& AdaptiveThrottle::current_bucket(core::MonotonicTime now) {
  const std::int64_t period = period_of(now);
  const std::int64_t oldest = period - settings_.longest_window / kBucketLength;
  while (!buckets_.empty() && buckets_.front().period <= oldest) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().period < period) {
    Bucket bucket;
    bucket.period = period;
    buckets_.push_back(std::move(bucket));
  }
  return buckets_.back();
}

void AdaptiveThrottle::add(const Bucket& bucket, double weight, Window& window) const {
  window.asked_count += weight * bucket.asked_count;
  window.ended += weight * bucket.ended;
  window.answered += weight * bucket.answered;
  window.good += weight * bucket.good;
  window.has_shared_entry |= bucket.asked.size() >= settings_.max_tenants;
  for (const Asked& asked : bucket.asked) {
    const auto is_same = [&asked](const Asked& other) {
      return other.rank == asked.rank && other.tenant == asked.tenant;
    };
    auto same = std::find_if(window.asked.begin(), window.asked.end(), is_same);
    if (same == window.asked.end()) {
      same = window.asked.insert(same, {asked.rank, asked.tenant, 0});
    }
    same->count += weight * asked.count;
  }
}

AdaptiveThrottle::Window AdaptiveThrottle::window_at(core::MonotonicTime now) const {
  const std::int64_t period = period_of(now);
  const std::int64_t certain = period - settings_.shortest_window / kBucketLength;
  const std::int64_t oldest = period - settings_.longest_window / kBucketLength;
  Window window;
  window.length = settings_.shortest_window;
  for (auto bucket = buckets_.rbegin(); bucket != buckets_.rend(); ++bucket) {
    double weight = 1;
    if (bucket->period <= certain) {
      // Only as much as is missing: an old load spike would outweigh what came since.
      const double missing = settings_.min_sent - window.ended;
      weight = std::min(1.0, missing / std::max(1.0, bucket->ended));
    }
    if (bucket->period <= oldest || weight <= 0) {
      break;
    }
    window.length = std::max(window.length, (period - bucket->period + 1) * kBucketLength);
    add(*bucket, weight, window);
  }
  return window;
}

bool AdaptiveThrottle::has_room(core::MonotonicTime now) const {
  return was_quick_ && now - last_refusal_ > settings_.refusal_memory;
}

double AdaptiveThrottle::budget_of(const Window& window, core::MonotonicTime now) const {
  const double growth = has_room(now) ? settings_.growth_with_room : settings_.growth;
  return growth * window.good + 1;
}

AdaptiveThrottle::RankShare AdaptiveThrottle::share_of_rank(const Window& window,
                                                            std::uint32_t rank,
                                                            core::MonotonicTime now) const {
  const double budget = budget_of(window, now);
  double higher = 0;
  double lower = 0;
  for (const Asked& asked : window.asked) {
    higher += asked.rank < rank ? asked.count : 0;
    lower += asked.rank > rank ? asked.count : 0;
  }
  RankShare share;
  share.answered = window.answered - higher;
  share.budget = std::max(budget - higher, settings_.rank_floor * budget);
  if (lower > 0) {
    // While queues are long, most answers are late. Lower ranks are throttled until queues are
    // short again; this rank fits into the service's throughput.
    share.budget = std::max(share.budget, share.answered);
  }
  return share;
}

double AdaptiveThrottle::chance_of_refusal(const Window& window, const ThrottleRequest& request,
                                           core::MonotonicTime now) const {
  std::vector<double> asked_by_tenants;
  double asked_by_rank = 0;
  double asked_by_own = 0;
  double asked_in_shared_place = 0;
  for (const Asked& asked : window.asked) {
    if (asked.rank != request.rank) {
      continue;
    }
    asked_by_tenants.push_back(asked.count);
    asked_by_rank += asked.count;
    asked_by_own += asked.tenant == request.tenant ? asked.count : 0;
    asked_in_shared_place += asked.tenant.empty() ? asked.count : 0;
  }
  if (window.has_shared_entry && asked_by_own <= 0) {
    asked_by_own = asked_in_shared_place;
  }
  const RankShare share = share_of_rank(window, request.rank, now);
  if (asked_by_rank <= share.budget || asked_by_own <= 0) {
    return 0;
  }
  // As with ranks: tenants above the fair level of all answers are throttled first.
  const double usual_level = fair_level(asked_by_tenants, share.answered);
  double asked_by_modest = 0;
  std::vector<double> asked_by_greedy;
  for (const double asked : asked_by_tenants) {
    if (asked > usual_level) {
      asked_by_greedy.push_back(asked);
    } else {
      asked_by_modest += asked;
    }
  }
  const bool is_modest = asked_by_own <= usual_level;
  if (is_modest && !asked_by_greedy.empty()) {
    return 0;
  }
  const double left = std::max(share.budget - asked_by_modest, settings_.rank_floor * share.budget);
  const double level = asked_by_greedy.empty()
                           ? fair_level(std::move(asked_by_tenants), share.budget)
                           : fair_level(std::move(asked_by_greedy), left);
  const double excess = std::max(0.0, asked_by_own - level) / asked_by_own;
  return excess * asked_by_rank / (asked_by_rank + 1);
}

void AdaptiveThrottle::count_asked(const ThrottleRequest& request, core::MonotonicTime now) {
  Bucket& bucket = current_bucket(now);
  ++bucket.asked_count;
  for (Asked& asked : bucket.asked) {
    if (asked.rank == request.rank && asked.tenant == request.tenant) {
      ++asked.count;
      return;
    }
  }
  if (bucket.asked.size() < settings_.max_tenants) {
    bucket.asked.push_back({request.rank, request.tenant, 1});
    return;
  }
  for (Asked& asked : bucket.asked) {
    if (asked.rank == request.rank && asked.tenant.empty()) {
      ++asked.count;
      return;
    }
  }
  bucket.asked.push_back({request.rank, core::TenantName(), 1});
}

void AdaptiveThrottle::evict_oldest_caller() {
  if (time_left_.size() < settings_.max_callers) {
    return;
  }
  const auto stalest = std::min_element(
      time_left_.begin(), time_left_.end(),
      [](const auto& one, const auto& two) { return one.second.seen_at < two.second.seen_at; });
  time_left_.erase(stalest);
}

bool AdaptiveThrottle::is_client_retry(const ThrottleRequest& request, core::MonotonicTime now) {
  const std::pair key(std::string(request.route), request.tenant);
  auto known = time_left_.find(key);
  if (known == time_left_.end()) {
    evict_oldest_caller();
    known = time_left_.emplace(key, TimeLeft{}).first;
  }
  TimeLeft& left = known->second;
  const double least = settings_.retry_below * core::to_seconds(left.most);
  const bool is_forgotten = now - left.seen_at > settings_.time_left_memory;
  if (core::to_seconds(request.time_left) < least && !is_forgotten) {
    return true;
  }
  left.most = is_forgotten ? request.time_left : std::max(left.most, request.time_left);
  left.seen_at = now;
  return false;
}

core::Duration AdaptiveThrottle::hold_left(std::uint32_t rank, core::MonotonicTime now) const {
  const auto refused = first_comer_refused_.find(rank);
  if (refused == first_comer_refused_.end()) {
    return core::Duration(0);
  }
  return std::max(core::Duration(0), refused->second + settings_.retry_hold - now);
}

core::Duration AdaptiveThrottle::retry_after(const Window& window, const ThrottleRequest& request,
                                             core::MonotonicTime now) {
  const double excess = std::max(0.0, window.asked_count - budget_of(window, now));
  const double rate = std::max(1.0, window.good) / core::to_seconds(window.length);
  const core::Duration usual =
      std::clamp(core::from_seconds(excess / rate), settings_.shortest_retry_after,
                 settings_.longest_retry_after);
  const core::Duration drained =
      std::max(settings_.shortest_retry_after,
               core::from_seconds(core::to_seconds(usual) * (0.5 + random_.fraction())));

  // With a shorter Retry-After the caller would be refused again as a retry.
  const auto known = time_left_.find(std::pair(std::string(request.route), request.tenant));
  const core::Duration most = known == time_left_.end() ? request.time_left : known->second.most;
  const double left_then = core::to_seconds(request.time_left - drained);
  if (left_then >= settings_.retry_below * core::to_seconds(most)) {
    return drained;
  }
  const double hold = core::to_seconds(hold_left(request.rank, now));
  return std::max(drained, core::from_seconds(hold * (1 + 0.5 * random_.fraction())));
}

ThrottleDecision AdaptiveThrottle::admit(core::MonotonicTime now) {
  ++counts_.admitted;
  last_admitted_ = now;
  second_sends_.first_attempt(now);
  return {};
}

ThrottleDecision AdaptiveThrottle::decide(const ThrottleRequest& request, core::MonotonicTime now) {
  const bool returned = is_client_retry(request, now);
  if (!is_armed(now)) {
    return admit(now);
  }
  const Window window = window_at(now);
  const bool is_probe = now - last_admitted_ > settings_.probe_interval;
  if (!is_probe && returned && hold_left(request.rank, now) > core::Duration(0)) {
    // Not counted as asked, so that it does not reduce the share of new requests.
    ++counts_.returned;
    return {ThrottleVerdict::kRetried, retry_after(window, request, now)};
  }
  if (is_probe || !random_.chance(chance_of_refusal(window, request, now))) {
    return admit(now);
  }
  count_asked(request, now);
  ++counts_.over_share;
  first_comer_refused_[request.rank] = now;
  return {ThrottleVerdict::kOverShare, retry_after(window, request, now)};
}

void AdaptiveThrottle::note_end(const ThrottleRequest& request, std::optional<core::Duration> took,
                                core::Duration target, core::MonotonicTime now) {
  count_asked(request, now);
  Bucket& bucket = current_bucket(now);
  ++bucket.ended;
  bucket.answered += took ? 1 : 0;
  const auto is_within = [&](double target_latencies) {
    const double limit = core::to_seconds(target) * target_latencies;
    return took && (target == core::Duration(0) || core::to_seconds(*took) <= limit);
  };
  bucket.good += is_within(settings_.good_in_target_latencies) ? 1 : 0;
  was_quick_ = is_within(settings_.quick_in_target_latencies);
}

void AdaptiveThrottle::note_refuser(const ReplicaRefusal& refusal, core::MonotonicTime now) {
  if (refusal.replica != last_refuser_) {
    other_refusal_ = last_refusal_;
    last_refuser_ = refusal.replica;
  }
  last_refusal_ = now;
  const core::MonotonicTime shared_since = refusal.is_only ? now : other_refusal_;
  const bool was_armed = is_armed(now);
  armed_until_ = std::max(armed_until_, shared_since + settings_.armed_for);
  if (!was_armed && is_armed(now)) {
    armed_since_ = now;
  }
}

bool AdaptiveThrottle::note_refusal(const ThrottleRequest& request, const ReplicaRefusal& refusal,
                                    core::MonotonicTime now) {
  note_refuser(refusal, now);
  const bool came_before = !is_armed(now) || refusal.admitted_at <= armed_since_;
  if (came_before) {
    return true;
  }
  if (refusal.refusals > settings_.max_second_sends) {
    return false;
  }
  // Requests within their share are resent without using the budget, which the others exhaust.
  const bool is_within_share = chance_of_refusal(window_at(now), request, now) <= 0;
  return is_within_share || second_sends_.try_retry(now);
}

core::Duration AdaptiveThrottle::refuse(const ThrottleRequest& request, core::MonotonicTime now) {
  first_comer_refused_[request.rank] = now;
  return retry_after(window_at(now), request, now);
}

}  // namespace stoneport::routing
