/// \file
/// Updates replicas to the weight versions that trainers have announced, by load orders that a
/// single process sends with a fencing token. Runs on the coordinator's thread for one term.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/metrics.hpp"
#include "core/work_pacer.hpp"
#include "ingress/replica_directory.hpp"
#include "ports/replica_client.hpp"
#include "weights/load_plan.hpp"
#include "weights/replica_assignment.hpp"

namespace stoneport::weights {

/// Weight version announced by a trainer.
struct WantedVersion {
  core::WeightVersion version;
  core::WeightVersion oldest_allowed;
  core::ServiceName service;    ///< service whose replicas have the model
  double demand = 0;            ///< tokens of a typical job; zero when unknown
  double peak_concurrency = 0;  ///< maximum concurrent generations; zero when unknown
};
using WantedVersions = std::map<core::ModelName, WantedVersion>;

struct WeightLoaderSettings {
  LoadPlanSettings plan;
  AssignmentSettings assignment;
  std::string holder;
  core::Epoch fence;
  /// Maximum time between the announcement of an order and its sending; a later order is dropped.
  core::Duration max_announcement_age = std::chrono::milliseconds(400);
  core::Duration tick = std::chrono::milliseconds(100);
  /// Limits planning to a share of the thread's time. A plan examines all replicas of all models:
  /// an estimated 3 ms for 3,000 of them. A load that ends too soon after the last plan waits for
  /// the next tick.
  core::WorkPacerSettings plans{.share = 0.05,
                                .shortest_interval = std::chrono::milliseconds(20),
                                .longest_interval = std::chrono::milliseconds(500)};
  /// Limits assignment to a share of the thread's time. It examines all replicas of all models:
  /// 62,216 entries for eight models on 7,777 replicas. The longest interval bounds how long a
  /// loss of most followers goes unrepaired.
  core::WorkPacerSettings assignments{.share = 0.03,
                                      .shortest_interval = std::chrono::milliseconds(300),
                                      .longest_interval = std::chrono::milliseconds(1500)};
  core::Duration expected_load_time = std::chrono::milliseconds(920);
  core::Duration report_interval = std::chrono::milliseconds(120);
  core::Duration load_timeout = std::chrono::seconds(8);
  /// Time during which a replica gets no orders after one has failed.
  core::Duration pause_after_failure = std::chrono::milliseconds(700);
};

/// Plans weight loads, sends the orders and waits for their completion.
class WeightLoader : public std::enable_shared_from_this<WeightLoader> {
 public:
  struct Inputs {
    std::function<WantedVersions()> wanted;
    /// Returns whether orders may be sent now: the term is confirmed and the process was not
    /// suspended.
    std::function<bool()> can_send_orders;
    /// Returns the number of generations that the coordinator runs on a replica.
    std::function<std::uint32_t(const core::ReplicaId&)> running;
    std::function<void()> on_loaded;
    /// Records in the store that an order is about to be sent, for later holders of the term.
    /// \return when the write was sent, once it is confirmed; nothing when it was not, in which
    /// case no order may be sent.
    std::function<boost::asio::awaitable<std::optional<core::MonotonicTime>>(core::ReplicaId)>
        announce;
  };

  WeightLoader(boost::asio::any_io_executor executor, ingress::ReplicaDirectory& directory,
               ports::ReplicaClient& client, Inputs inputs, WeightLoaderSettings settings,
               const core::TimeSource& time, core::Metrics& metrics);
  void start();
  void stop() { stopped_ = true; }
  /// Sends no order to any incarnation of \p replica_name before \p until. An order of a former
  /// holder may be in transit and reaches whichever incarnation has the address.
  void pause_orders(const std::string& replica_name, core::MonotonicTime until);
  /// \return whether \p replica is loading a version of \p model.
  bool is_loading(const core::ReplicaId& replica, const core::ModelName& model) const;

 private:
  static boost::asio::awaitable<void> run(std::shared_ptr<WeightLoader> self);
  static boost::asio::awaitable<void> load(std::shared_ptr<WeightLoader> self,
                                           ingress::ReplicaPointer replica, core::ModelName model,
                                           core::WeightVersion version);
  boost::asio::awaitable<bool> order(ingress::ReplicaPointer replica, core::ModelName model,
                                     core::WeightVersion version);
  boost::asio::awaitable<bool> wait_until_loaded(ingress::ReplicaPointer replica,
                                                 core::ModelName model,
                                                 core::WeightVersion version);
  /// Plans loads and starts them, unless the last plan is too recent relative to its cost.
  void plan_if_due();
  void plan(core::MonotonicTime now);
  /// Recomputes which replicas follow which models.
  void assign(const WantedVersions& wanted, core::MonotonicTime now);
  /// \return one need per model of \p wanted, ordered by model, without replicas.
  std::vector<ModelNeed> empty_needs(const WantedVersions& wanted) const;
  /// \return the needs with all replicas that have the model.
  std::vector<ModelNeed> needs_of_all(const WantedVersions& wanted, core::MonotonicTime now) const;
  /// \return the needs with only the replicas that follow or are loading the model, so that the
  /// cost of a plan does not depend on the size of the fleet.
  std::vector<ModelNeed> needs_of_followers(const WantedVersions& wanted,
                                            core::MonotonicTime now) const;
  /// Adds \p replica to \p need if it has the model and can be reached.
  void add_replica(const ingress::ReplicaState& replica, ModelNeed& need,
                   core::MonotonicTime now) const;
  /// \return the number of replicas of all services in \p wanted.
  std::size_t replicas_of(const WantedVersions& wanted) const;
  /// \return whether orders and reports may go to \p replica: its zone is not evacuated.
  bool may_reach(const ingress::ReplicaState& replica) const;
  void apply_report(const ingress::ReplicaPointer& replica, const ports::ReplicaReport& report);

  boost::asio::any_io_executor executor_;
  ingress::ReplicaDirectory& directory_;
  ports::ReplicaClient& client_;
  Inputs inputs_;
  WeightLoaderSettings settings_;
  const core::TimeSource& time_;
  ReplicaAssignment assignment_;
  core::WorkPacer pacer_;  ///< limits planning
  core::WorkPacer assignment_pacer_;
  std::map<core::ServiceName, double> slots_;  ///< mean per replica, as of the last assignment
  std::unordered_map<core::ReplicaId, core::ModelName> loading_;
  std::map<core::ReplicaId, std::uint64_t> order_counts_;
  std::map<std::string, core::MonotonicTime> paused_until_;  ///< by replica name
  bool stopped_ = false;
  prometheus::Counter& orders_;
  prometheus::Counter& failed_orders_;
  prometheus::Histogram& load_seconds_;
};

}  // namespace stoneport::weights
