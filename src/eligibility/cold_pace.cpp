#include "eligibility/cold_pace.hpp"

#include <algorithm>
#include <cmath>

#include "core/hash.hpp"

namespace stoneport::eligibility {
namespace {

/// The platform counts over any second; the rest is for what passes between the note here and
/// the socket.
constexpr core::Duration kWindow = std::chrono::milliseconds(1050);
/// Differing views of who lives (a cut zone, a member that has just died) for which the shares
/// of front ends add up to no more than the bound.
constexpr double kViews = 3;
/// Of what a cold replica bears, where clients' requests and the coordinator's both go there.
constexpr double kCoordinatorShare = 0.5;
/// Of the bound: for front ends, over all views.
constexpr double kFrontEndShare = 1.0 / 3;
/// Of what the coordinator may send in a second: the most while it is not sure of its term, as
/// another process may coordinate at the same time. Nearly half, as the busiest seconds are
/// those after the term changed hands.
constexpr double kUnsureShare = 0.475;
/// How much slower the coordinator sends to cold replicas while it is not sure of its term.
constexpr int kUnsureSpacing = 2;
/// For this long a process that has started, and may not yet know the others, sends nothing to
/// cold replicas for clients; its former life may have, just before.
constexpr core::Duration kFrontEndSettling = std::chrono::seconds(2);

/// \return the most requests in a second that are at least \p spacing apart.
double most_in_a_second(core::Duration spacing) {
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
  const double cold_most = most_in_a_second(budget.coordinator_spacing);
  budget.cold_most = at_least_one(cold_most);
  double left = std::floor(rate * bound.overage + bound.slack);
  if (start.takes_clients) {
    const double front_ends = std::min(rate - coordinator_rate, left * kFrontEndShare / kViews);
    budget.front_end_senders = at_least_one(front_ends);
    left -= static_cast<double>(budget.front_end_senders) * kViews;
  }
  budget.coordinator_most_unsure = at_least_one(left * kUnsureShare);
  budget.coordinator_most =
      at_least_one(left - static_cast<double>(budget.coordinator_most_unsure));
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

void ColdPace::replace_members(std::string self, std::vector<std::string> living,
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

/// Whoever was chosen before a change may have sent until then, so that a newly chosen process
/// waits until that counts no more.
bool ColdPace::is_chosen(const core::ReplicaId& replica, std::size_t count,
                         core::MonotonicTime now) const {
  const bool has_settled = now >= members_changed_at_ + kWindow;
  return is_chosen_sender(self_, members_, replica, count) &&
         (has_settled || is_chosen_sender(self_, settled_members_, replica, count));
}

void ColdPace::begin_term(core::MonotonicTime settled_at) {
  settled_at_ = settled_at;
  sure_until_ = core::MonotonicTime();
}

void ColdPace::presume_cold(const core::ReplicaId& replica, core::MonotonicTime until) {
  core::MonotonicTime& known = presumed_[replica];
  known = std::max(known, until);
}

ColdStart ColdPace::start_of(const core::ServiceName& service) const {
  const auto found = limits_.find(service);
  return found == limits_.end() ? ColdStart() : found->second;
}

bool ColdPace::is_cold(const PacedReplica& replica, core::MonotonicTime now) const {
  if (now < replica.cold_until) {
    return true;
  }
  const auto presumed = presumed_.find(replica.id);
  return presumed != presumed_.end() && now < presumed->second;
}

bool ColdPace::may_send(const PacedReplica& replica, Sender sender, core::MonotonicTime now) const {
  const ColdStart start = start_of(replica.service);
  if (start.requests_per_second <= 0) {
    return true;
  }
  const ColdBudget budget = cold_budget(start, bound_);
  return sender == Sender::kCoordinator ? coordinator_may_send(replica, budget, now)
                                        : front_end_may_send(replica, budget, now);
}

bool ColdPace::coordinator_may_send(const PacedReplica& replica, const ColdBudget& budget,
                                    core::MonotonicTime now) const {
  const auto found = sent_.find(replica.id);
  if (found == sent_.end() || found->second.empty()) {
    return true;
  }
  const std::deque<core::MonotonicTime>& sent = found->second;
  const auto in_window = static_cast<std::size_t>(std::count_if(
      sent.begin(), sent.end(), [now](core::MonotonicTime at) { return now - at < kWindow; }));
  const bool sure = is_sure(now);
  const std::size_t most = sure ? budget.coordinator_most : budget.coordinator_most_unsure;
  if (in_window >= most) {
    return false;
  }
  if (!is_cold(replica, now)) {
    return true;
  }
  const core::Duration spacing = budget.coordinator_spacing * (sure ? 1 : kUnsureSpacing);
  return in_window < budget.cold_most && now - sent.back() >= spacing;
}

bool ColdPace::front_end_may_send(const PacedReplica& replica, const ColdBudget& budget,
                                  core::MonotonicTime now) const {
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

void ColdPace::note_sent(const PacedReplica& replica, Sender sender, core::MonotonicTime now) {
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

void ColdPace::forget(const core::ReplicaId& replica) {
  sent_.erase(replica);
  front_end_sent_.erase(replica);
  presumed_.erase(replica);
}

}  // namespace stoneport::eligibility
