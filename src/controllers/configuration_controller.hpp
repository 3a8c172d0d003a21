/// \file
/// Publishes documents and keeps the newest configuration in force on this
/// daemon. Owns the configuration's state; lives on the control thread.
///
/// A document is accepted once its transaction has committed. The revision then
/// rides in gossip; a daemon that hears of a higher one fetches what it lacks
/// from a peer, and reads the store's head now and then in case gossip is cut.
/// What arrives is verified against its hash before it is in force, and a lower
/// revision than the one in force is never taken (docs/design/configuration.md).
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
  core::Duration exchange_timeout = std::chrono::seconds(2);  ///< with a peer
  core::Duration push_timeout = std::chrono::milliseconds(500);
  core::Duration peer_interval = std::chrono::seconds(1);  ///< between looks at the members
  core::Duration shortest_store_poll = std::chrono::seconds(5);
  core::Duration starting_store_poll = std::chrono::seconds(1);  ///< until ready
  double fleet_store_polls_per_second = 2;
  std::uint64_t seed = 1;
};

struct PublishAccepted {
  config::DocumentKey key;
  core::Revision revision;   ///< of the configuration that holds the document
  bool unchanged = false;    ///< the same document was published already
  std::uint32_t copies = 0;  ///< daemons of other zones that had it in force at once
};

using PublishOutcome =
    std::variant<PublishAccepted, config::PublishConflict, config::PublishInvalid>;

/// How far a revision has spread over the members.
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

  /// Starts looking for a configuration. Destroy the controller only once its
  /// executor runs no more.
  void start();
  /// Ends the loops; an exchange that is on its way is let run out.
  void stop();

  /// Publishes one document.
  /// \return what it came to; kUnavailable or kRateLimited when it was surely
  /// not accepted; kOutcomeUnknown when that could not be settled.
  boost::asio::awaitable<core::Result<PublishOutcome>> publish(config::PublishRequest request);

  ConfigurationStore& store() { return store_; }
  /// \return what is in force here, with its authors.
  const config::ConfigurationRecord& record() const { return adoption_.record(); }
  runtime::SnapshotPublisher<config::Configuration>& snapshots() { return snapshots_; }
  /// \return whether enough is known to serve; once true, always true.
  bool ready() const { return adoption_.ready(); }
  /// Calls \p listener after each new configuration and when ready() turns true.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

  /// \return what a peer at \p since lacks.
  PeerConfiguration offer_since(core::Revision since) const;
  /// Takes what a peer handed us.
  /// \return what became of it.
  config::AdoptionVerdict take(const PeerConfiguration& offer);
  InForceCounts count_in_force(core::Revision revision) const;

  const boost::asio::any_io_executor& executor() const { return executor_; }

 private:
  enum class Reach { kNewer, kWhole };  ///< how much of a configuration to ask for

  boost::asio::awaitable<void> run_peer_loop();
  boost::asio::awaitable<void> run_store_loop();
  boost::asio::awaitable<void> look_at_peers();
  boost::asio::awaitable<core::Result<void>> ask_peer(wire::Member peer);
  boost::asio::awaitable<core::Result<ConfigurationHead>> ask_store(ports::TablePriority priority);
  boost::asio::awaitable<core::Result<void>> read_newer(ConfigurationHead head, Reach reach,
                                                        ports::TablePriority priority);
  boost::asio::awaitable<core::Result<PublishOutcome>> try_publish(config::PublishRequest request);
  boost::asio::awaitable<core::Result<PublishOutcome>> carry_out(config::PublishCommit commit,
                                                                 ConfigurationHead head);
  boost::asio::awaitable<std::uint32_t> push_to_zones(core::Revision since);

  config::AdoptionVerdict adopt(const config::ConfigurationDelta& delta);
  void put_in_force(config::Configuration configuration);
  void remember(const ConfigurationHead& head);
  void check_ready();
  void tell_listeners();
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
  ConfigurationHead known_head_;  ///< the newest head that was read or written
  runtime::SnapshotPublisher<config::Configuration> snapshots_;
  std::vector<std::function<void()>> listeners_;
  boost::asio::steady_timer peer_timer_;
  boost::asio::steady_timer store_timer_;
  bool stopping_ = false;
  bool members_changed_ = false;
  Reach peer_reach_ = Reach::kNewer;  ///< whole after a difference that did not fit
  prometheus::Gauge& revision_gauge_;
};

}  // namespace stoneport::controllers
