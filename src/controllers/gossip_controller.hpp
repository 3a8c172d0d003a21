/// \file
/// Runs one GossipState on a transport: drives its timer, passes packets in and out,
/// notifies listeners of changes, and exports metrics. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "config/settings.hpp"
#include "controllers/gossip_transport.hpp"
#include "controllers/membership.hpp"
#include "controllers/peer_monitor.hpp"
#include "core/metrics.hpp"

namespace stoneport::controllers {

/// \return gossip settings derived from the daemon's; membership gets three fifths of the
/// byte rate, the watchers' digests get the rest
GossipSettings gossip_settings(const config::DaemonSettings& settings);
/// \return the digests' share of the byte rate
std::uint32_t digest_bytes_per_second(const config::DaemonSettings& settings);
/// \return the record of this process, with the first incarnation of the process run that
/// starts at \p start
wire::Member make_self(const config::DaemonSettings& settings, core::Address gossip_address,
                       core::Address peer_address, core::WallTime start);

class GossipController : public Membership {
 public:
  using Listener = std::function<void()>;
  using JoinListener = std::function<void(const wire::Member&)>;
  using MessageListener = std::function<void(const ReceivedMessage&)>;

  GossipController(boost::asio::any_io_executor executor, GossipTransport& transport,
                   wire::Member self, GossipSettings settings, std::uint64_t random_seed,
                   const core::TimeSource& time, core::Metrics& metrics);
  ~GossipController() override;
  GossipController(const GossipController&) = delete;
  GossipController& operator=(const GossipController&) = delete;

  /// Starts receiving packets and running the timer.
  void start();
  /// Notifies some members that this process is ending, then stops. Call after
  /// announce_leaving().
  void stop();

  wire::Member self() const override { return state_.self(); }
  std::vector<wire::Member> members() const override;
  /// \return the members by node, without a copy; valid until the next packet or tick
  const wire::MemberMap& members_by_node() const { return state_.records().members(); }
  void announce_configuration(core::Revision revision) override;
  void announce_leaving() override;
  void on_change(Listener listener) override;
  /// Registers \p listener, which is called for each member that has become reachable
  /// (GossipState::take_joined()).
  void on_join(JoinListener listener) { join_listeners_.push_back(std::move(listener)); }

  /// Marks another daemon as leaving.
  /// \return whether the node is known
  bool mark_leaving(const core::NodeId& node);
  void set_seeds(std::vector<core::Address> seeds) { state_.set_seeds(std::move(seeds)); }

  void announce_policy_version(const wire::PolicyVersion& version);
  const std::map<core::PolicyName, core::WeightVersion>& policy_versions() const {
    return state_.records().policy_versions();
  }
  void on_policy_change(Listener listener);

  void mark_replica_draining(const wire::ReplicaDrainMark& mark);
  /// \return the highest drained incarnation of each marked replica
  const std::map<core::ReplicaId, core::Incarnation>& drain_marks() const {
    return state_.records().drain_marks();
  }
  void on_drain_mark_change(Listener listener);

  void announce_zone(const wire::ZoneNotice& notice);
  /// \return the latest notice about each zone that was ever evacuated
  const std::map<core::ZoneName, wire::ZoneNotice>& zone_notices() const {
    return state_.records().zone_notices();
  }
  void on_zone_change(Listener listener);

  /// Sends a watcher's message; the caller limits its bytes.
  /// \return the number of bytes sent
  std::size_t send_message(const core::Address& to, wire::GossipMessage message);
  void on_message(MessageListener listener) { message_listener_ = std::move(listener); }

  /// \return whether the records include the changes that happened during the last pause of
  /// this process
  bool current() const { return state_.current(time_.now()); }
  /// \return the time since another member last answered this one
  core::Duration time_since_last_answer() const {
    return state_.time_since_last_answer(time_.now());
  }
  const GossipCounts& counts() const { return state_.counts(); }

 private:
  struct Meters;
  struct Topic {
    std::uint64_t notified_version = 0;
    std::vector<Listener> listeners;
  };
  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  void receive(const core::Address& from, std::string_view bytes);
  void send(const std::vector<OutgoingPacket>& packets);
  /// Calls the listeners for everything that changed since the last call. A listener may
  /// change the state again.
  void notify_listeners();
  static bool notify_if_changed(Topic& topic, std::uint64_t version);
  /// \return whether any member has joined
  bool notify_joined();

  boost::asio::any_io_executor executor_;
  GossipTransport& transport_;
  GossipState state_;
  const core::TimeSource& time_;
  std::unique_ptr<Meters> meters_;
  PeerMonitor peer_monitor_;
  Topic member_topic_;
  Topic policy_topic_;
  Topic drain_mark_topic_;
  Topic zone_topic_;
  std::vector<JoinListener> join_listeners_;
  MessageListener message_listener_;
  bool notifying_ = false;
  std::shared_ptr<bool> alive_;  ///< reset by stop(), which ends run()
};

}  // namespace stoneport::controllers
