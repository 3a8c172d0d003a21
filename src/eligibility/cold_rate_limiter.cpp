#include "eligibility/cold_rate_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace stoneport::eligibility {
namespace {

/// The platform counts over any interval of one second; the rest allows for the delay between the
/// accounting here and the socket.
constexpr core::Duration kWindow = std::chrono::milliseconds(1050);
/// Number of differing membership views (due to a partitioned zone or a member that has just died)
/// for which the shares of all front ends together remain within the bound.
constexpr double kMaxMembershipViews = 3;
/// Share of a cold replica's capacity for the coordinator if both clients' requests and the
/// coordinator's are sent there.
constexpr double kCoordinatorShare = 0.5;
/// Share of the bound for front ends, over all membership views.
constexpr double kFrontEndShare = 1.0 / 3;
/// Share of the coordinator's rate that it may use while its term is unconfirmed, as another
/// process may be coordinating too. Nearly half, because load is highest in the seconds after the
/// term has changed hands.
constexpr double kUnconfirmedShare = 0.475;
/// Factor on the coordinator's request spacing to cold replicas while its term is unconfirmed.
constexpr int kUnconfirmedSpacingFactor = 2;
/// How long a process that has started, and may not know the other members yet, sends no clients'
/// requests to cold replicas; its previous incarnation may have sent some just before.
constexpr core::Duration kFrontEndSettling = std::chrono::seconds(2);

/// \return the maximum number of requests within a second if they are at least \p spacing apart.
double max_per_second(core::Duration spacing) {
  return std::floor(1 / core::to_seconds(spacing)) + 1;
}

std::size_t at_least_one(double count) {
  return static_cast<std::size_t>(std::max(1.0, std::floor(count)));
}

}  // namespace

ColdBudget cold_budget(const ColdStart& start, const ColdBound& bound) {
  ColdBudget budget;
  const double rate = start.requests_per_second;
  if (rate <= 0) {
    return budget;
  }
  const double coordinator_rate = start.takes_clients ? rate * kCoordinatorShare : rate;
  budget.coordinator_spacing = core::from_seconds(1 / coordinator_rate);
  const double coordinator_max_cold = max_per_second(budget.coordinator_spacing);
  budget.coordinator_max_cold = at_least_one(coordinator_max_cold);
  double left = std::floor(rate * bound.overage + bound.slack);
  if (start.takes_clients) {
    const double front_ends =
        std::min(rate - coordinator_rate, left * kFrontEndShare / kMaxMembershipViews);
    budget.front_end_senders = at_least_one(front_ends);
    left -= static_cast<double>(budget.front_end_senders) * kMaxMembershipViews;
  }
  budget.coordinator_max_unconfirmed = at_least_one(left * kUnconfirmedShare);
  budget.coordinator_max =
      at_least_one(left - static_cast<double>(budget.coordinator_max_unconfirmed));
  return budget;
}

bool is_chosen_sender(const std::string& self, const std::vector<std::string>& members,
                      const core::ReplicaId& replica, std::size_t count) {
  const std::uint64_t own = core::rendezvous_weight(replica.value(), self);
  std::size_t higher = 0;
  bool is_member = false;
  for (const std::string& member : members) {
    is_member |= member == self;
    const std::uint64_t weight = core::rendezvous_weight(replica.value(), member);
    higher += weight > own ? 1 : 0;
  }
  return is_member && higher < count;
}

void ColdRateLimiter::replace_members(std::string self, std::vector<std::string> living,
                                      core::MonotonicTime now) {
  if (!has_members_) {
    has_members_ = true;
    front_end_from_ = now + kFrontEndSettling;
  }
  if (living == members_ && self == self_) {
    return;
  }
  if (now >= members_changed_at_ + kWindow) {
    settled_members_ = std::move(members_);
  }
  members_changed_at_ = now;
  self_ = std::move(self);
  members_ = std::move(living);
}

/// Senders chosen before a membership change may have sent until then, so that a newly chosen
/// process waits until those requests no longer count.
bool ColdRateLimiter::is_chosen(const core::ReplicaId& replica, std::size_t count,
                                core::MonotonicTime now) const {
  const bool has_settled = now >= members_changed_at_ + kWindow;
  return is_chosen_sender(self_, members_, replica, count) &&
         (has_settled || is_chosen_sender(self_, settled_members_, replica, count));
}

void ColdRateLimiter::begin_term(core::MonotonicTime settled_at) {
  settled_at_ = settled_at;
  term_confirmed_until_ = core::MonotonicTime();
}

void ColdRateLimiter::presume_cold(const core::ReplicaId& replica, core::MonotonicTime until) {
  core::MonotonicTime& known = presumed_[replica];
  known = std::max(known, until);
}

ColdStart ColdRateLimiter::start_of(const core::ServiceName& service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? ColdStart() : found->second;
}

bool ColdRateLimiter::is_cold(const RateLimitedReplica& replica, core::MonotonicTime now) const {
  if (now < replica.cold_until) {
    return true;
  }
  const auto presumed = presumed_.find(replica.id);
  return presumed != presumed_.end() && now < presumed->second;
}

bool ColdRateLimiter::may_send(const RateLimitedReplica& replica, Sender sender,
                               core::MonotonicTime now) const {
  const ColdStart start = start_of(replica.service);
  if (start.requests_per_second <= 0) {
    return true;
  }
  const ColdBudget budget = cold_budget(start, bound_);
  return sender == Sender::kCoordinator ? coordinator_may_send(replica, budget, now)
                                        : front_end_may_send(replica, budget, now);
}

bool ColdRateLimiter::coordinator_may_send(const RateLimitedReplica& replica,
                                           const ColdBudget& budget,
                                           core::MonotonicTime now) const {
  const auto found = sent_.find(replica.id);
  if (found == sent_.end() || found->second.empty()) {
    return true;
  }
  const std::deque<core::MonotonicTime>& sent = found->second;
  const auto in_window = static_cast<std::size_t>(std::count_if(
      sent.begin(), sent.end(), [now](core::MonotonicTime at) { return now - at < kWindow; }));
  const bool sure = is_term_confirmed(now);
  const std::size_t most = sure ? budget.coordinator_max : budget.coordinator_max_unconfirmed;
  if (in_window >= most) {
    return false;
  }
  if (!is_cold(replica, now)) {
    return true;
  }
  const core::Duration spacing =
      budget.coordinator_spacing * (sure ? 1 : kUnconfirmedSpacingFactor);
  return in_window < budget.coordinator_max_cold && now - sent.back() >= spacing;
}

bool ColdRateLimiter::front_end_may_send(const RateLimitedReplica& replica,
                                         const ColdBudget& budget, core::MonotonicTime now) const {
  if (!is_cold(replica, now)) {
    return true;
  }
  if (!has_members_ || now < front_end_from_) {
    return false;
  }
  const auto sent = front_end_sent_.find(replica.id);
  if (sent != front_end_sent_.end() && now - sent->second < kWindow) {
    return false;
  }
  return is_chosen(replica.id, budget.front_end_senders, now);
}

void ColdRateLimiter::note_sent(const RateLimitedReplica& replica, Sender sender,
                                core::MonotonicTime now) {
  if (start_of(replica.service).requests_per_second <= 0) {
    return;
  }
  if (sender == Sender::kFrontEnd) {
    front_end_sent_[replica.id] = now;
    return;
  }
  std::deque<core::MonotonicTime>& sent = sent_[replica.id];
  while (!sent.empty() && now - sent.front() >= kWindow) {
    sent.pop_front();
  }
  sent.push_back(now);
}

void ColdRateLimiter::forget(const core::ReplicaId& replica) {
  sent_.erase(replica);
  front_end_sent_.erase(replica);
  presumed_.erase(replica);
}

}  // namespace stoneport::eligibility
