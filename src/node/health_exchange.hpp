/// \file
/// Shares findings about silent and failing replicas with the other processes. A finding is sent to
/// every live member in one datagram, subject to a rate limit, unless enough other processes have
/// reported it in the meantime. There are no retransmissions: a finding is valid for seconds only,
/// and a process that still observes it reports it again. Use it on the node's thread only.
#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <vector>

#include "controllers/gossip_controller.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "core/token_bucket.hpp"
#include "ingress/shared_health.hpp"

namespace stoneport::node {

struct HealthExchangeSettings {
  /// Minimum time for which findings are collected into one report.
  core::Duration batch_delay = std::chrono::milliseconds(2);
  /// Range of the random send delay per member. When many processes make the same finding at once,
  /// most of them receive it from another one before their own delay ends. A datagram between
  /// regions takes about 12 ms, in which about a dozen others start to send, regardless of the
  /// number of members.
  core::Duration jitter_per_member = std::chrono::milliseconds(1);
  /// Upper limit of the range, so that all processes know a finding within a second.
  core::Duration max_jitter = std::chrono::milliseconds(500);
  /// Rate limit for datagrams, each of about 150 bytes: 15 kB per second in the long run, which is
  /// less than membership gossip uses, with a burst that reaches 1,000 members. Above the limit a
  /// report is sent to a random subset of the members.
  core::TokenBucketSettings packets{.tokens_per_second = 100, .burst = 1000};
  std::size_t max_packet_bytes = 1200;
  /// Interval between two removals of expired findings.
  core::Duration expiry_interval = std::chrono::milliseconds(500);
};

class HealthExchange {
 public:
  /// All references must outlive the exchange.
  HealthExchange(boost::asio::any_io_executor executor, controllers::GossipController& gossip,
                 ingress::SharedHealth& health, core::NodeId self, std::uint64_t seed,
                 const core::TimeSource& time, core::Metrics& metrics,
                 HealthExchangeSettings settings = {});
  ~HealthExchange();

  /// Starts the exchange. Before that, nothing is sent and received reports are dropped.
  void start();
  /// Applies a received HealthReport; ignores other messages.
  void on_message(const controllers::ReceivedMessage& message);

 private:
  struct Meters;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> send_pending();
  void enqueue(const ingress::HealthFinding& finding);
  core::Duration random_delay();
  /// Removes all pending findings.
  /// \return those that other processes still need, split into reports that each fit into a packet.
  std::vector<wire::HealthReport> drain_pending();
  void broadcast(const wire::HealthReport& report);
  /// \return a random selection of members, as many as the rate limit admits now.
  std::vector<core::Address> choose_receivers();

  boost::asio::any_io_executor executor_;
  controllers::GossipController& gossip_;
  ingress::SharedHealth& health_;
  core::NodeId self_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  HealthExchangeSettings settings_;
  core::TokenBucket packets_;
  std::unique_ptr<Meters> meters_;
  std::map<core::ReplicaId, ingress::HealthFinding> pending_;
  bool is_started_ = false;
  bool is_sending_ = false;
};

}  // namespace stoneport::node
