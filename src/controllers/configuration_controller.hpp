/// \file
/// Publishes documents and keeps the newest configuration active on this daemon. Owns the
/// configuration state; runs on the control thread.
///
/// A document is accepted once its transaction has committed. Gossip then spreads the
/// revision number. A daemon that sees a higher revision than its own fetches the changes
/// from a peer. It also polls the head row in the store at intervals, in case gossip is
/// partitioned. A received configuration is verified against its hash before it takes
/// effect, and a revision lower than the active one is never applied
/// (docs/design/configuration.md).
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <variant>
#include <vector>

#include "config/configuration_adoption.hpp"
#include "config/publish_plan.hpp"
#include "controllers/configuration_peers.hpp"
#include "controllers/configuration_store.hpp"
#include "controllers/membership.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "ports/table_service.hpp"
#include "runtime/snapshot.hpp"

namespace stoneport::controllers {

struct ConfigurationOptions {
  core::Duration exchange_timeout = std::chrono::seconds(2);  ///< per request to a peer
  core::Duration push_timeout = std::chrono::milliseconds(500);
  core::Duration peer_poll_interval = std::chrono::seconds(1);  ///< between checks of the members
  core::Duration min_store_poll_interval = std::chrono::seconds(5);
  core::Duration initial_store_poll_interval = std::chrono::seconds(1);  ///< until ready
  double fleet_store_polls_per_second = 2;
  std::uint64_t seed = 1;
};

struct PublishAccepted {
  config::DocumentKey key;
  core::Revision revision;   ///< of the configuration that contains the document
  bool unchanged = false;    ///< the same document had already been published
  std::uint32_t copies = 0;  ///< daemons in other zones that activated it before the response
};

using PublishOutcome =
    std::variant<PublishAccepted, config::PublishConflict, config::PublishInvalid>;

/// Number of members that have a revision in force, and those that do not.
struct InForceCounts {
  std::uint32_t in_force = 0;
  std::uint32_t total = 0;
  std::vector<core::NodeId> missing;
};

class ConfigurationController {
 public:
  ConfigurationController(boost::asio::any_io_executor executor, ports::TableService& table,
                          Membership& membership, http::Client& client,
                          const core::TimeSource& time, core::Metrics& metrics,
                          ConfigurationOptions options);

  /// Starts the background loops. Destroy the controller only after its executor has
  /// stopped.
  void start();
  /// Ends the background loops; a request in progress is allowed to finish.
  void stop();

  /// Publishes one document.
  /// \return the outcome; kUnavailable or kRateLimited when the document was certainly not
  /// accepted; kOutcomeUnknown when that could not be determined
  boost::asio::awaitable<core::Result<PublishOutcome>> publish(config::PublishRequest request);

  ConfigurationStore& store() { return store_; }
  /// \return the configuration in force on this daemon, with its authors
  const config::ConfigurationRecord& record() const { return adoption_.record(); }
  runtime::SnapshotPublisher<config::Configuration>& snapshots() { return snapshots_; }
  /// \return whether this daemon knows enough to serve; never reverts to false
  bool ready() const { return adoption_.ready(); }
  /// Registers \p listener, which is called after each new configuration and when ready()
  /// becomes true.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  /// \return the changes after \p since, for a peer that has that revision
  PeerConfiguration offer_since(core::Revision since) const;
  /// Applies a configuration pushed by a peer if it is newer and valid.
  /// \return the verdict
  config::AdoptionVerdict accept_offer(const PeerConfiguration& offer);
  InForceCounts count_in_force(core::Revision revision) const;

  const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  enum class FetchScope { kDelta, kFull };  ///< how much of a configuration to request

  boost::asio::awaitable<void> run_peer_loop();
  boost::asio::awaitable<void> run_store_loop();
  boost::asio::awaitable<void> sync_with_peers();
  boost::asio::awaitable<core::Result<void>> fetch_from_peer(wire::Member peer);
  boost::asio::awaitable<core::Result<ConfigurationHead>> sync_with_store(
      ports::TablePriority priority);
  boost::asio::awaitable<core::Result<void>> read_newer(ConfigurationHead head, FetchScope scope,
                                                        ports::TablePriority priority);
  boost::asio::awaitable<core::Result<PublishOutcome>> try_publish(config::PublishRequest request);
  boost::asio::awaitable<core::Result<PublishOutcome>> commit_plan(config::PublishCommit commit,
                                                                   ConfigurationHead head);
  boost::asio::awaitable<std::uint32_t> push_to_zones(core::Revision since);

  config::AdoptionVerdict adopt(const config::ConfigurationDelta& delta);
  void activate(config::Configuration configuration);
  void update_known_head(const ConfigurationHead& head);
  void check_ready();
  void notify_listeners();
  void count(const char* what, config::AdoptionVerdict verdict);
  void count(const char* what, const std::string& outcome);
  std::vector<wire::Member> other_members() const;
  std::vector<config::ConfigurationPeer> peers() const;
  std::vector<wire::Member> one_member_of_each_other_zone();
  core::Duration jittered(core::Duration length);

  boost::asio::any_io_executor executor_;
  Membership& membership_;
  const core::TimeSource& time_;
  core::Metrics& metrics_;
  wire::Member self_;
  ConfigurationOptions options_;
  core::RandomSource random_;
  ConfigurationStore store_;
  ConfigurationPeers peer_client_;
  config::ConfigurationAdoption adoption_;
  ConfigurationHead known_head_;  ///< newest head read or written
  runtime::SnapshotPublisher<config::Configuration> snapshots_;
  std::vector<std::function<void()>> listeners_;
  boost::asio::steady_timer peer_timer_;
  boost::asio::steady_timer store_timer_;
  bool stopping_ = false;
  bool members_changed_ = false;
  /// Scope of the next fetch; kFull after a delta that did not match its hash.
  FetchScope next_peer_fetch_ = FetchScope::kDelta;
  prometheus::Gauge& revision_gauge_;
};

}  // namespace stoneport::controllers
