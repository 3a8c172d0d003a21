/// \file
/// Tells the other processes of requests under which replicas ended, and hears of theirs. What is
/// new goes to every live member at once, within a rate; and while anything is under suspicion
/// each process tells all that it knows to one member drawn at random, so that one that missed it
/// (a lost datagram, a cut, a start) knows within seconds. Belongs to the node's thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "core/token_bucket.hpp"
#include "ingress/crash_guard.hpp"

namespace stoneport::node {

struct SuspectExchangeSettings {
  /// News of one moment goes out together: the connections of a replica that ends break
  /// within a millisecond.
  core::Duration batch_delay = std::chrono::milliseconds(2);
  /// Between two times that everything is told to one member. A member is told about as often, so
  /// that one in 400 has heard nothing after 3 s.
  core::Duration refresh_interval = std::chrono::milliseconds(500);
  /// News to all members, in packets to each. Above that, members learn it by the
  /// refresh_interval.
  core::TokenBucketSettings broadcasts{.tokens_per_second = 5, .burst = 20};
  std::size_t max_packet_bytes = 1200;
};

class SuspectExchange {
 public:
  /// All outlive the exchange.
  SuspectExchange(boost::asio::any_io_executor executor, controllers::GossipController& gossip,
                  ingress::CrashGuard& guard, core::NodeId self, std::uint64_t seed,
                  const core::TimeSource& time, core::Metrics& metrics,
                  SuspectExchangeSettings settings = {});

  void start();
  void on_message(const controllers::ReceivedMessage& message);

 private:
  using Reports = std::vector<wire::SuspectReport>;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> send_news();
  void wake();
  wire::SuspectNotice notice_of(const quarantine::Suspect& suspect) const;
  /// \return \p notices and \p runs in as many reports as fit into packets.
  Reports packed(const std::vector<wire::SuspectNotice>& notices,
                 const std::vector<wire::SuspectRunNotice>& runs) const;
  void tell_one();
  void tell_all(const Reports& reports);

  boost::asio::any_io_executor executor_;
  controllers::GossipController& gossip_;
  ingress::CrashGuard& guard_;
  core::NodeId self_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  SuspectExchangeSettings settings_;
  core::TokenBucket broadcasts_;
  prometheus::Counter& sent_;
  prometheus::Counter& left_to_refresh_;
  std::map<core::RequestFingerprint, wire::SuspectNotice> new_notices_;
  std::map<core::RequestFingerprint, wire::SuspectRunNotice> new_runs_;
  bool is_sending_ = false;
};

}  // namespace stoneport::node
