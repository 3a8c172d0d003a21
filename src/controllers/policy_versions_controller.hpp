/// \file
/// Implements PolicyVersions with gossip and the table service. Each policy has one
/// publisher, the daemon next to its trainer, and versions only increase, so gossip may be
/// ahead of the store. publish() informs the members at once and succeeds even while the
/// store is down; the row is written when the store has recovered (docs/design/weights.md).
/// Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "controllers/gossip_controller.hpp"
#include "controllers/policy_versions.hpp"
#include "ports/table_service.hpp"

namespace stoneport::controllers {

class PolicyVersionsController : public PolicyVersions {
 public:
  PolicyVersionsController(boost::asio::any_io_executor executor, GossipController& gossip,
                           ports::TableService& table, core::Metrics& metrics);

  /// Starts reading the rows and writing versions that are not stored yet.
  void start();
  void stop() { alive_.reset(); }

  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                     core::WeightVersion version) override;
  core::WeightVersion newest(const core::PolicyName& policy) const override;
  std::map<core::PolicyName, core::WeightVersion> all() const override {
    return gossip_.policy_versions();
  }
  void on_change(std::function<void()> listener) override {
    gossip_.on_policy_change(std::move(listener));
  }
  /// \return versions published here that the store has not confirmed yet
  const std::map<core::PolicyName, core::WeightVersion>& unwritten() const { return unwritten_; }

 private:
  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  boost::asio::awaitable<core::Result<void>> load();
  /// \return whether nothing is left to write
  boost::asio::awaitable<bool> write_unwritten(std::weak_ptr<bool> alive);
  boost::asio::awaitable<core::Result<void>> write(core::PolicyName policy,
                                                   core::WeightVersion version);
  void confirm(const core::PolicyName& policy, core::WeightVersion version);

  boost::asio::any_io_executor executor_;
  GossipController& gossip_;
  ports::TableService& table_;
  core::RandomSource random_;
  prometheus::Counter& write_failures_;
  std::map<core::PolicyName, core::WeightVersion> unwritten_;
  std::shared_ptr<bool> alive_;
};

}  // namespace stoneport::controllers
