/// \file
/// Shares requests that are suspected of crashing replicas with the other processes. Updates are
/// broadcast to every live member at once, subject to a rate limit. A member that joins has missed
/// the earlier broadcasts and is sent the full state by a few processes. While there are suspects,
/// each process also sends its full state periodically to one random member, so that a process that
/// missed an update because a datagram was lost receives it within seconds. Use it on the node's
/// thread only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <set>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "core/token_bucket.hpp"
#include "ingress/crash_guard.hpp"

namespace stoneport::node {

struct SuspectExchangeSettings {
  /// Time for which updates are collected into one report. All connections to a crashed replica
  /// break within a millisecond.
  core::Duration batch_delay = std::chrono::milliseconds(2);
  /// Interval at which the full state is sent to one random member. On average each member also
  /// receives it once per interval; after 3 s one in 400 has not received it yet.
  core::Duration refresh_interval = std::chrono::milliseconds(500);
  /// Rate limit for broadcasts, in packets per member. Updates above it reach the members by the
  /// periodic refresh.
  core::TokenBucketSettings broadcasts{.tokens_per_second = 5, .burst = 20};
  /// The same for packets that report runs alone. Connections break much more often than replicas
  /// crash, and must not use up the limit of reports of crashes.
  core::TokenBucketSettings run_broadcasts{.tokens_per_second = 5, .burst = 20};
  /// Number of processes that send their full state to a member that joins. Any other process sends
  /// what it has observed itself, which those few may not have received yet.
  std::size_t introducers = 3;
  /// Rate limit for packets to members that join; the rest is left to the periodic refresh. The
  /// burst covers the common start of 300 processes that share a few suspects.
  core::TokenBucketSettings introductions{.tokens_per_second = 100, .burst = 300};
  std::size_t max_packet_bytes = 1200;
};

class SuspectExchange {
 public:
  /// All references must outlive the exchange.
  SuspectExchange(boost::asio::any_io_executor executor, controllers::GossipController& gossip,
                  ingress::CrashGuard& guard, core::NodeId self, std::uint64_t seed,
                  const core::TimeSource& time, core::Metrics& metrics,
                  SuspectExchangeSettings settings = {});

  void start();
  /// Applies a received SuspectReport; ignores other messages.
  void on_message(const controllers::ReceivedMessage& message);

 private:
  using Reports = std::vector<wire::SuspectReport>;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> send_pending();
  void schedule_send();
  wire::SuspectNotice notice_of(const quarantine::Suspect& suspect) const;
  /// \return \p notices and \p runs, split into reports that each fit into a packet.
  Reports pack_reports(const std::vector<wire::SuspectNotice>& notices,
                       const std::vector<wire::SuspectRunNotice>& runs) const;
  void refresh_random_member();
  void broadcast(const Reports& reports);
  /// Sends \p member what it missed before it joined.
  void introduce_to(const wire::Member& member);
  /// \return whether this process sends its full state to \p member.
  bool is_introducer_of(const wire::Member& member) const;
  void forget_observed();

  boost::asio::any_io_executor executor_;
  controllers::GossipController& gossip_;
  ingress::CrashGuard& guard_;
  core::NodeId self_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  SuspectExchangeSettings settings_;
  core::TokenBucket broadcasts_;
  core::TokenBucket run_broadcasts_;
  core::TokenBucket introductions_;
  prometheus::Counter& sent_;
  prometheus::Counter& deferred_;
  prometheus::Counter& introduced_;
  std::set<core::RequestFingerprint> observed_;  ///< suspects observed by this process
  std::map<core::RequestFingerprint, wire::SuspectNotice> pending_notices_;
  std::map<core::RequestFingerprint, wire::SuspectRunNotice> pending_runs_;
  bool is_sending_ = false;
};

}  // namespace stoneport::node
