/// \file
/// Distributes replica reports from the watchers to the daemons that route to those
/// replicas. A daemon subscribes with a replica's first watcher. While the first watcher is
/// silent or reports the replica as unreachable, it also subscribes with the second. State
/// machines without clock or socket; docs/design/watchers.md compares the alternatives.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "controllers/byte_budget.hpp"
#include "controllers/replica_reports.hpp"
#include "wire/member.hpp"

namespace stoneport::controllers {

/// Number of daemons that poll each replica.
inline constexpr std::size_t kWatchersPerReplica = 2;
/// A subscription expires after this time unless it is renewed.
inline constexpr core::Duration kSubscriptionLifetime = std::chrono::seconds(15);
inline constexpr core::Duration kSubscriptionRenewal = std::chrono::seconds(5);
/// An unchanged report is resent after this time as a heartbeat.
inline constexpr core::Duration kReportRefresh = std::chrono::seconds(4);
/// Minimum time between two transmissions of a replica's prefixes, which are large and
/// change constantly.
inline constexpr core::Duration kPrefixInterval = std::chrono::seconds(5);

/// \return the members that watch \p replica; subscribe with the first one
std::vector<wire::Member> watchers_of(const core::ReplicaId& replica,
                                      const std::vector<wire::Member>& members);

/// Watcher side: sends reports to subscribers.
class DigestPublisher {
 public:
  DigestPublisher(double bytes_per_second, std::size_t packet_bytes);

  void subscribe(const core::NodeId& subscriber, const core::Address& address,
                 const std::vector<core::ReplicaId>& replicas, core::MonotonicTime now);

  struct Push {
    core::Address to;
    wire::DigestPush message;
  };
  /// \param watched reports that this daemon read itself
  /// \return the messages to send now. Subscribers skipped because the budget ran out are
  /// served first in the next call.
  std::vector<Push> due(const std::map<core::ReplicaId, TimedReport>& watched,
                        core::MonotonicTime now);
  std::size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct Subscription {
    core::MonotonicTime ends{};
    core::MonotonicTime sent_at{};
    core::MonotonicTime prefixes_sent_at{};
    wire::ReplicaReport sent;
    std::vector<std::uint64_t> sent_prefixes;
    bool any_sent = false;
  };
  struct Subscriber {
    core::Address address;
    std::map<core::ReplicaId, Subscription> subscriptions;
  };
  void expire(core::MonotonicTime now);
  bool is_due(const Subscription& subscription, const TimedReport& report,
              core::MonotonicTime now) const;
  wire::ReplicaReport report_to_send(const Subscription& subscription, const TimedReport& report,
                                     core::MonotonicTime now) const;
  void push_to(Subscriber& subscriber, const std::map<core::ReplicaId, TimedReport>& watched,
               core::MonotonicTime now, std::vector<Push>& pushes);

  ByteBudget budget_;
  std::size_t packet_bytes_;
  std::map<core::NodeId, Subscriber> subscribers_;
  core::NodeId resume_after_;  ///< last subscriber served before the budget ran out
};

/// Subscriber side: decides which subscriptions to send.
class DigestSubscriber {
 public:
  explicit DigestSubscriber(core::NodeId self) : self_(std::move(self)) {}

  struct Request {
    core::Address to;
    wire::DigestSubscription message;
  };
  /// Call about once per second.
  std::vector<Request> due(const std::vector<core::ReplicaId>& wanted,
                           const std::vector<wire::Member>& members, const ReplicaReports& reports,
                           core::MonotonicTime now);

 private:
  bool first_watcher_suffices(const core::ReplicaId& replica, const wire::Member& first,
                              const ReplicaReports& reports, core::MonotonicTime now) const;
  core::NodeId self_;
  /// Time at which each subscription was last sent, by watcher and replica.
  std::map<std::pair<core::NodeId, core::ReplicaId>, core::MonotonicTime> sent_;
};

}  // namespace stoneport::controllers
