/// \file
/// Polls the replicas that rendezvous hashing assigns to this daemon, with two daemons per
/// replica, and exchanges the reports with other daemons. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <set>

#include "controllers/digest_exchange.hpp"
#include "controllers/gossip_controller.hpp"
#include "controllers/machine_list_controller.hpp"
#include "controllers/prefix_sample.hpp"
#include "http/client.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::controllers {

struct ReplicaWatcherSettings {
  core::Duration watch_interval = std::chrono::seconds(1);
  std::uint32_t digest_bytes_per_second = 4'000;
};

class ReplicaWatcher {
 public:
  /// Selects the replicas from the machine list whose reports this daemon needs.
  using ReplicaSelector =
      std::function<std::vector<core::ReplicaId>(const std::vector<ports::Machine>&)>;

  ReplicaWatcher(boost::asio::any_io_executor executor, MachineListController& machines,
                 GossipController& gossip, ports::ModelEngineFactory& engines, http::Client& client,
                 ReplicaWatcherSettings settings, const core::TimeSource& time,
                 core::Metrics& metrics);
  ~ReplicaWatcher();

  /// Adds a selector; reports are requested for the union of all selectors.
  void add_replica_selector(ReplicaSelector selector) { selectors_.push_back(std::move(selector)); }
  void start();
  void stop() { alive_.reset(); }

  const ReplicaReports& reports() const { return reports_; }
  /// \return the replicas that this daemon polls itself
  std::vector<core::ReplicaId> watched() const;
  /// Registers \p listener, which is called after each accepted report.
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

 private:
  struct Watch {
    ports::Machine machine;
    PrefixSample prefixes;
    std::uint32_t failures = 0;
    bool polling = false;
  };
  struct Meters;

  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  boost::asio::awaitable<void> poll(std::shared_ptr<Watch> watch, std::weak_ptr<bool> alive);
  boost::asio::awaitable<core::Result<wire::ReplicaReport>> read(std::shared_ptr<Watch> watch);
  boost::asio::awaitable<core::Result<wire::ReplicaReport>> read_engine(
      std::shared_ptr<Watch> watch);
  boost::asio::awaitable<core::Result<wire::ReplicaReport>> read_service(
      std::shared_ptr<Watch> watch);
  void update_watches();
  void finish_poll(Watch& watch, const core::Result<wire::ReplicaReport>& outcome);
  void accept_report(const core::NodeId& watcher, wire::ReplicaReport report,
                     core::MonotonicTime taken_at);
  void receive(const ReceivedMessage& received);
  void push_digests();
  void subscribe();
  std::vector<core::ReplicaId> wanted() const;

  boost::asio::any_io_executor executor_;
  MachineListController& machines_;
  GossipController& gossip_;
  ports::ModelEngineFactory& engines_;
  http::Client& client_;
  ReplicaWatcherSettings settings_;
  const core::TimeSource& time_;
  std::unique_ptr<Meters> meters_;
  std::vector<ReplicaSelector> selectors_;
  std::map<core::ReplicaId, std::shared_ptr<Watch>> watches_;
  std::map<core::ReplicaId, TimedReport> own_reports_;
  ReplicaReports reports_;
  DigestPublisher publisher_;
  DigestSubscriber subscriber_;
  bool watches_are_stale_ = true;
  std::vector<std::function<void()>> listeners_;
  std::shared_ptr<bool> alive_;
};

}  // namespace stoneport::controllers
