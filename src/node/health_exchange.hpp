/// \file
/// Tells the other processes which replicas this one found silent or failing, and hears of theirs.
/// A finding goes to every live member in one datagram, within a rate, unless enough others have
/// told the same meanwhile. Nothing is sent again: a finding holds for seconds, and who finds the
/// replica so still tells it anew. Belongs to the node's thread.
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
  /// Findings of one moment go out together.
  core::Duration batch_delay = std::chrono::milliseconds(2);
  /// Each process waits a time drawn from this much for each member, so that most of those that
  /// find the same at once hear of it before their turn: a datagram takes some 12 ms between
  /// regions, in which a dozen others begin, however many there are.
  core::Duration jitter_per_member = std::chrono::milliseconds(1);
  /// All are to know within a second of the first finding.
  core::Duration max_jitter = std::chrono::milliseconds(500);
  /// Datagrams, of some 150 bytes: 15 kB a second in the long run, less than the membership's
  /// share, and at once as many as reach 1,000 members. Above it a part of the members, drawn at
  /// random, is told.
  core::TokenBucketSettings packets{.tokens_per_second = 100, .burst = 1000};
  std::size_t max_packet_bytes = 1200;
  /// Between two looks at what has expired.
  core::Duration expiry_interval = std::chrono::milliseconds(500);
};

class HealthExchange {
 public:
  /// All outlive the exchange.
  HealthExchange(boost::asio::any_io_executor executor, controllers::GossipController& gossip,
                 ingress::SharedHealth& health, core::NodeId self, std::uint64_t seed,
                 const core::TimeSource& time, core::Metrics& metrics,
                 HealthExchangeSettings settings = {});
  ~HealthExchange();

  /// Takes part from now on; before, nothing is told and what is heard is dropped.
  void start();
  void on_message(const controllers::ReceivedMessage& message);

 private:
  struct Meters;

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> send_news();
  void note(const ingress::HealthFinding& finding);
  core::Duration draw_wait();
  /// \return those of the new findings that others need, in as many reports as fit into packets.
  std::vector<wire::HealthReport> take_reports();
  void tell(const wire::HealthReport& report);
  /// \return the members that the rate allows to be told now.
  std::vector<core::Address> draw_receivers();

  boost::asio::any_io_executor executor_;
  controllers::GossipController& gossip_;
  ingress::SharedHealth& health_;
  core::NodeId self_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  HealthExchangeSettings settings_;
  core::TokenBucket packets_;
  std::unique_ptr<Meters> meters_;
  std::map<core::ReplicaId, ingress::HealthFinding> news_;
  bool is_started_ = false;
  bool is_sending_ = false;
};

}  // namespace stoneport::node
