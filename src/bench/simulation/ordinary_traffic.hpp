/// \file
/// Ordinary callers: requests to services and completions on engines, each sent
/// by the daemon beside its caller with the real choice, limit and retry code.
#pragma once

#include <memory>
#include <unordered_set>
#include <vector>

#include "bench/simulation/engine_fleet.hpp"
#include "bench/simulation/run_metrics.hpp"
#include "bench/simulation/simulated_service.hpp"
#include "bench/simulation/variant.hpp"
#include "bench/simulation/workload.hpp"
#include "routing/replica_choice.hpp"
#include "routing/retry_budget.hpp"

namespace stoneport::bench {

/// Makes the chooser that a variant uses.
std::unique_ptr<routing::ReplicaChooser> make_chooser(const Variant& variant,
                                                      const core::ZoneName& zone,
                                                      std::uint64_t seed);

class OrdinaryTraffic {
 public:
  OrdinaryTraffic(EventQueue& events, const Scenario& scenario, const Variant& variant,
                  std::uint64_t seed, EngineFleet& engines, RunMetrics& metrics);

  /// Arrivals go on until \p end.
  void start(core::MonotonicTime end);
  std::size_t service_count() const { return services_.size(); }
  void crash_service(std::size_t index) { services_[index]->crash(); }
  void restart_service(std::size_t index);
  const std::string& zone_of_service(std::size_t index) const;
  /// Counts what the replicas ran; call once, at the end.
  void account();

 private:
  /// The daemon beside some callers.
  struct Node {
    core::ZoneName zone;
    std::unique_ptr<routing::ReplicaChooser> service_chooser;
    std::unique_ptr<routing::ReplicaChooser> engine_chooser;
    routing::ReplicaLoads service_loads;
    routing::ReplicaLoads engine_loads;
    routing::RetryBudget retry_budget;
    std::vector<std::size_t> engine_subset;
  };
  struct PendingService {
    ServiceRequest request;
    core::MonotonicTime arrived;
    std::uint32_t attempts = 0;
    std::vector<core::ReplicaId> tried;
  };
  struct PendingCompletion {
    CompletionRequest request;
    core::MonotonicTime arrived;
    std::uint32_t attempts = 0;
    core::ReplicaId engine;
  };

  void make_nodes(std::uint64_t seed);
  void arrive_service();
  void arrive_completion();
  void send_service(std::shared_ptr<PendingService> pending);
  void service_answered(std::shared_ptr<PendingService> pending, const core::ReplicaId& replica,
                        ServiceAnswer answer);
  void end_service(const PendingService& pending, ServiceAnswer answer);
  void send_completion(StreamKey key);
  void submit_completion(StreamKey key, std::size_t engine);
  void completion_ended(StreamKey key, bool complete);
  core::Duration latency(const core::ZoneName& from, const core::ZoneName& to) const;
  std::vector<routing::Candidate> engine_candidates(Node& node);

  EventQueue& events_;
  const Scenario& scenario_;
  const Variant& variant_;
  EngineFleet& engines_;
  RunMetrics& metrics_;
  core::MonotonicTime end_{};
  ServiceArrivals service_arrivals_;
  CompletionArrivals completion_arrivals_;
  std::vector<std::unique_ptr<SimulatedService>> services_;
  std::vector<routing::Replica> service_replicas_;
  std::vector<Node> nodes_;
  std::unordered_map<StreamKey, PendingCompletion> completions_;
  std::unordered_set<std::uint64_t> not_run_keys_;
};

}  // namespace stoneport::bench
