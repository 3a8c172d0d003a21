#include "controllers/digest_exchange.hpp"

#include <algorithm>

#include "controllers/membership.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {
namespace {

/// Bytes of a packet besides its reports: sender record, list headers and UDP header.
constexpr std::size_t kPacketOverheadBytes = 130;
/// Limits a request so that it fits into one packet even with long replica names.
constexpr std::size_t kReplicasPerRequest = 8;
/// The first watcher counts as silent when it has not reported for this long.
constexpr core::Duration kWatcherTimeout = std::chrono::seconds(7);
constexpr double kBurstSeconds = 1;
/// Prefixes are omitted while fewer bytes than this remain in the budget.
constexpr std::size_t kPrefixReserveBytes = 1'500;

/// \return whether the reports differ in anything but age and prefixes
bool differs(const wire::ReplicaReport& left, const wire::ReplicaReport& right) {
  wire::ReplicaReport first = left;
  wire::ReplicaReport second = right;
  first.age_ms = second.age_ms;
  first.cached_prefixes = second.cached_prefixes;
  return first != second;
}

}  // namespace

std::vector<wire::Member> watchers_of(const core::ReplicaId& replica,
                                      const std::vector<wire::Member>& members) {
  return ranked_members(members, "watch/" + replica.value(), kWatchersPerReplica);
}

DigestPublisher::DigestPublisher(double bytes_per_second, std::size_t packet_bytes)
    : budget_(bytes_per_second, bytes_per_second * kBurstSeconds), packet_bytes_(packet_bytes) {}

void DigestPublisher::subscribe(const core::NodeId& subscriber, const core::Address& address,
                                const std::vector<core::ReplicaId>& replicas,
                                core::MonotonicTime now) {
  Subscriber& entry = subscribers_[subscriber];
  entry.address = address;
  for (const core::ReplicaId& replica : replicas) {
    entry.subscriptions[replica].ends = now + kSubscriptionLifetime;
  }
}

void DigestPublisher::expire(core::MonotonicTime now) {
  for (auto& [node, subscriber] : subscribers_) {
    std::erase_if(subscriber.subscriptions,
                  [&](const auto& entry) { return entry.second.ends <= now; });
  }
  std::erase_if(subscribers_, [](const auto& entry) { return entry.second.subscriptions.empty(); });
}

bool DigestPublisher::is_due(const Subscription& subscription, const TimedReport& report,
                             core::MonotonicTime now) const {
  return !subscription.any_sent || differs(subscription.sent, report.report) ||
         now - subscription.sent_at >= kReportRefresh;
}

wire::ReplicaReport DigestPublisher::report_to_send(const Subscription& subscription,
                                                    const TimedReport& report,
                                                    core::MonotonicTime now) const {
  wire::ReplicaReport copy = report.report;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.taken_at);
  copy.age_ms += static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
  const bool changed = copy.cached_prefixes && *copy.cached_prefixes != subscription.sent_prefixes;
  const bool waited =
      !subscription.any_sent || now - subscription.prefixes_sent_at >= kPrefixInterval;
  if (!changed || !waited || budget_.available() < kPrefixReserveBytes) {
    copy.cached_prefixes = std::nullopt;
  }
  return copy;
}

void DigestPublisher::push_to(Subscriber& subscriber,
                              const std::map<core::ReplicaId, TimedReport>& watched,
                              core::MonotonicTime now, std::vector<Push>& pushes) {
  Push push{subscriber.address, {}};
  std::size_t bytes = kPacketOverheadBytes;
  const auto finish = [&] {
    if (!push.message.reports.empty()) {
      budget_.spend(bytes);
      pushes.push_back(std::move(push));
    }
    push = Push{subscriber.address, {}};
    bytes = kPacketOverheadBytes;
  };
  for (auto& [replica, subscription] : subscriber.subscriptions) {
    const auto report = watched.find(replica);
    if (report == watched.end() || !is_due(subscription, report->second, now)) {
      continue;
    }
    wire::ReplicaReport copy = report_to_send(subscription, report->second, now);
    const std::size_t size = wire::encoded_size(copy);
    if (bytes + size > packet_bytes_) {
      finish();
    }
    bytes += size;
    subscription.sent = copy;
    subscription.sent_at = now;
    subscription.any_sent = true;
    if (copy.cached_prefixes) {
      subscription.sent_prefixes = *copy.cached_prefixes;
      subscription.prefixes_sent_at = now;
    }
    push.message.reports.push_back(std::move(copy));
  }
  finish();
}

std::vector<DigestPublisher::Push> DigestPublisher::due(
    const std::map<core::ReplicaId, TimedReport>& watched, core::MonotonicTime now) {
  budget_.refill(now);
  expire(now);
  std::vector<Push> pushes;
  auto next = subscribers_.upper_bound(resume_after_);
  for (std::size_t count = 0; count < subscribers_.size(); ++count) {
    if (next == subscribers_.end()) {
      next = subscribers_.begin();
    }
    if (budget_.available() < kPacketOverheadBytes) {
      break;
    }
    push_to(next->second, watched, now, pushes);
    resume_after_ = next->first;
    ++next;
  }
  return pushes;
}

bool DigestSubscriber::first_watcher_suffices(const core::ReplicaId& replica,
                                              const wire::Member& first,
                                              const ReplicaReports& reports,
                                              core::MonotonicTime now) const {
  const auto last_report = reports.last_report_time(replica, first.node);
  if (!last_report || now - *last_report > kWatcherTimeout) {
    return false;
  }
  const TimedReport* best = reports.best(replica, now);
  return best != nullptr && best->report.reachable;
}

std::vector<DigestSubscriber::Request> DigestSubscriber::due(
    const std::vector<core::ReplicaId>& wanted, const std::vector<wire::Member>& members,
    const ReplicaReports& reports, core::MonotonicTime now) {
  std::erase_if(sent_,
                [&](const auto& entry) { return now - entry.second >= kSubscriptionRenewal; });
  std::map<core::Address, std::vector<core::ReplicaId>> by_watcher;
  for (const core::ReplicaId& replica : wanted) {
    std::vector<wire::Member> watchers = watchers_of(replica, members);
    if (!watchers.empty() && first_watcher_suffices(replica, watchers.front(), reports, now)) {
      watchers.resize(1);
    }
    for (const wire::Member& watcher : watchers) {
      const bool due =
          watcher.node != self_ && sent_.try_emplace({watcher.node, replica}, now).second;
      if (due) {
        by_watcher[watcher.gossip_address].push_back(replica);
      }
    }
  }
  std::vector<Request> requests;
  for (const auto& [address, replicas] : by_watcher) {
    for (std::size_t start = 0; start < replicas.size(); start += kReplicasPerRequest) {
      const std::size_t end = std::min(start + kReplicasPerRequest, replicas.size());
      const auto first = replicas.begin() + static_cast<std::ptrdiff_t>(start);
      const auto last = replicas.begin() + static_cast<std::ptrdiff_t>(end);
      requests.push_back({address, wire::DigestSubscription{{first, last}}});
    }
  }
  return requests;
}

}  // namespace stoneport::controllers
