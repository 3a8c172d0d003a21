/// \file
/// Runs one WeightsRollout for each model that rendezvous hashing assigns to this daemon
/// and whose lease it holds. Progress is judged by the watchers' reports, never by the
/// orders sent. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>

#include "config/configuration.hpp"
#include "controllers/fenced_ownership.hpp"
#include "controllers/membership.hpp"
#include "controllers/policy_versions.hpp"
#include "controllers/replica_reports.hpp"
#include "controllers/weights_rollout.hpp"
#include "core/metrics.hpp"
#include "ports/machine_list.hpp"
#include "ports/weight_store.hpp"

namespace stoneport::controllers {

/// \return the policy that each model serves, taken from the first event, by name, whose
/// template names the model
std::map<core::ModelName, core::PolicyName> policies_of_models(
    const config::Configuration& configuration);

/// \return the name of the lease under which \p model's weights are ordered
std::string weights_lease(const core::ModelName& model);

/// Inputs that the controller reads from other controllers.
struct WeightsInputs {
  std::function<std::shared_ptr<const config::Configuration>()> configuration;
  std::function<std::shared_ptr<const std::vector<ports::Machine>>()> machines;
  const ReplicaReports& reports;
};

class WeightsController {
 public:
  WeightsController(boost::asio::any_io_executor executor, WeightsInputs inputs,
                    Membership& membership, PolicyVersions& versions, FencedOwnership& ownership,
                    ports::WeightStore& store, ports::ModelEngineFactory& engines,
                    RolloutSettings settings, const core::TimeSource& time, core::Metrics& metrics);
  ~WeightsController();
  WeightsController(const WeightsController&) = delete;
  WeightsController& operator=(const WeightsController&) = delete;

  void start();
  void stop() { alive_.reset(); }
  /// Checks all models once; start() calls this periodically.
  void run_round();

  /// \return the replicas of the models assigned to this daemon; used as a selector of the
  /// replica watcher
  std::vector<core::ReplicaId> replicas_of_own_models(
      const std::vector<ports::Machine>& machines) const;
  /// \return the rollout phase of each model assigned to this daemon
  std::map<core::ModelName, RolloutPhase> phases() const;

 private:
  struct Meters;
  struct OwnedModel {
    core::PolicyName policy;
    WeightsRollout rollout;
    core::Epoch epoch;  ///< epoch under which the rollout has run so far
    bool fenced = false;
    bool store_read_pending = false;
  };

  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  void update_owned_models();
  void advance(const core::ModelName& model, const std::shared_ptr<OwnedModel>& own);
  boost::asio::awaitable<void> update_target(std::shared_ptr<OwnedModel> own,
                                             core::WeightVersion version);
  boost::asio::awaitable<void> send(core::ModelName model, std::shared_ptr<OwnedModel> own,
                                    RolloutOrder order);
  std::vector<ReplicaWeights> replicas_of(const core::ModelName& model) const;

  boost::asio::any_io_executor executor_;
  WeightsInputs inputs_;
  Membership& membership_;
  PolicyVersions& versions_;
  FencedOwnership& ownership_;
  ports::WeightStore& store_;
  ports::ModelEngineFactory& engines_;
  RolloutSettings settings_;
  const core::TimeSource& time_;
  std::unique_ptr<Meters> meters_;
  std::map<core::ModelName, std::shared_ptr<OwnedModel>> owned_models_;
  std::shared_ptr<bool> alive_;
};

}  // namespace stoneport::controllers
