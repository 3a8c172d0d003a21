/// \file
/// How reports of replicas get from their watchers to the daemons that route to
/// them: a daemon subscribes with a replica's first watcher, and with the second
/// as well while the first is silent or says the replica is gone. Plain state
/// machines without clock or socket; docs/design/watchers.md weighs the ways.
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

/// Daemons that poll one replica.
inline constexpr std::size_t kWatchersPerReplica = 2;
/// A subscription that is not renewed ends after this time.
inline constexpr core::Duration kSubscriptionLength = std::chrono::seconds(15);
inline constexpr core::Duration kSubscriptionRenewal = std::chrono::seconds(5);
/// A report without news is sent again after this time, as a sign of life.
inline constexpr core::Duration kReportRefresh = std::chrono::seconds(4);
/// Prefixes change all the time and are long: sent this often at most.
inline constexpr core::Duration kPrefixInterval = std::chrono::seconds(5);

/// \return the members that watch \p replica, first the one to subscribe with.
std::vector<wire::Member> watchers_of(const core::ReplicaId& replica,
                                      const std::vector<wire::Member>& members);

/// The watcher's side.
class DigestPublisher {
 public:
  DigestPublisher(double bytes_per_second, std::size_t packet_bytes);

  void subscribe(const core::NodeId& subscriber, const core::Address& address,
                 const std::vector<core::ReplicaId>& replicas, core::MonotonicTime now);

  struct Push {
    core::Address to;
    wire::DigestPush message;
  };
  /// \param watched what this daemon reads itself
  /// \return what to send now. Whom the budget leaves out comes first next time.
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
  bool due_now(const Subscription& subscription, const TimedReport& report,
               core::MonotonicTime now) const;
  wire::ReplicaReport to_send(const Subscription& subscription, const TimedReport& report,
                              core::MonotonicTime now) const;
  void push_to(Subscriber& subscriber, const std::map<core::ReplicaId, TimedReport>& watched,
               core::MonotonicTime now, std::vector<Push>& pushes);

  ByteBudget budget_;
  std::size_t packet_bytes_;
  std::map<core::NodeId, Subscriber> subscribers_;
  core::NodeId resume_after_;  ///< the last subscriber served before the budget ended
};

/// The subscriber's side: which subscriptions to send now.
class DigestSubscriber {
 public:
  explicit DigestSubscriber(core::NodeId self) : self_(std::move(self)) {}

  struct Request {
    core::Address to;
    wire::DigestSubscription message;
  };
  /// To be called about once a second.
  std::vector<Request> due(const std::vector<core::ReplicaId>& wanted,
                           const std::vector<wire::Member>& members, const ReplicaReports& reports,
                           core::MonotonicTime now);

 private:
  bool first_is_enough(const core::ReplicaId& replica, const wire::Member& first,
                       const ReplicaReports& reports, core::MonotonicTime now) const;
  core::NodeId self_;
  /// When each subscription was last sent, by watcher and replica.
  std::map<std::pair<core::NodeId, core::ReplicaId>, core::MonotonicTime> sent_;
};

}  // namespace stoneport::controllers
