/// \file
/// Warms up scheduled events. During an event's warm-up period it monitors weights and
/// configuration and opens connections from the step client to the engines.
/// rollout::decide_warm_up makes the decisions. Owned by the control thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "config/configuration.hpp"
#include "controllers/membership.hpp"
#include "controllers/policy_versions.hpp"
#include "core/metrics.hpp"
#include "core/random.hpp"
#include "rollout/event_warm_up.hpp"
#include "routing/routing_table.hpp"

namespace stoneport::controllers {

/// Sources of the controller's inputs, and its access to engines.
struct EventWarmUpInputs {
  std::function<std::shared_ptr<const config::Configuration>()> configuration;
  std::function<std::shared_ptr<const routing::RoutingTable>()> routing;
  /// Connects to an engine through the step client; resumes on the control thread with
  /// whether the engine answered. Empty on a daemon without steps.
  std::function<boost::asio::awaitable<bool>(const core::Address&)> reach;
};

class EventWarmUpController {
 public:
  EventWarmUpController(boost::asio::any_io_executor executor, EventWarmUpInputs inputs,
                        Membership& membership, PolicyVersions& versions,
                        const core::TimeSource& time, core::Metrics& metrics);
  ~EventWarmUpController();
  EventWarmUpController(const EventWarmUpController&) = delete;
  EventWarmUpController& operator=(const EventWarmUpController&) = delete;

  void start();
  void stop() { alive_.reset(); }
  /// Checks every event once; start() calls this periodically.
  void run_round();
  /// \return the decision of the last round about \p event; none before the first round
  std::optional<rollout::WarmUpDecision> find(const core::EventName& event) const;

 private:
  struct Meters;

  boost::asio::awaitable<void> run(std::weak_ptr<bool> alive);
  rollout::WarmUpDecision decide(const config::Configuration& configuration,
                                 const config::Configuration::Event& event) const;
  std::vector<rollout::EngineReadiness> engines_of(const core::ModelName& model) const;
  std::size_t daemons_behind(core::Revision revision) const;
  void update_state(const core::EventName& event, const rollout::WarmUpDecision& decision);
  void connect(const std::vector<core::Address>& engines, core::Duration left);
  boost::asio::awaitable<void> connect_to(std::weak_ptr<bool> alive, core::Address address,
                                          core::Duration pause);

  boost::asio::any_io_executor executor_;
  EventWarmUpInputs inputs_;
  Membership& membership_;
  PolicyVersions& versions_;
  const core::TimeSource& time_;
  std::unique_ptr<Meters> meters_;
  core::RandomSource random_;
  std::map<core::EventName, rollout::WarmUpDecision> decisions_;
  std::map<core::Address, core::MonotonicTime> connected_at_;
  std::set<core::Address> connecting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace stoneport::controllers
