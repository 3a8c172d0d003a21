/// \file
/// Operator API route for events: lists those in force, their warm-up state, and the steps
/// that this daemon processes. The handler runs on the control thread, regardless of the
/// listener's thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.hpp"
#include "http/router.hpp"
#include "rollout/event_warm_up.hpp"
#include "rollout/step_report.hpp"

namespace stoneport::controllers {

/// Data sources of the route; all must outlive the router.
struct OperatorEventContext {
  using StepReports = boost::asio::awaitable<std::vector<rollout::StepReport>>;

  boost::asio::any_io_executor control;
  std::function<std::shared_ptr<const config::Configuration>()> configuration;
  /// Returns the steps of this daemon; called and resumed on the control thread.
  std::function<StepReports()> steps;
  /// Returns the warm-up state of the event; none before the first round.
  std::function<std::optional<rollout::WarmUpDecision>(const core::EventName&)> warm_up;
};

/// \return the body of `GET /v1/operator/events`, ordered by event and step
std::string events_json(const OperatorEventContext& context,
                        const std::vector<rollout::StepReport>& steps);

/// Adds `GET /v1/operator/events`.
void register_operator_event_route(http::Router& router,
                                   std::shared_ptr<OperatorEventContext> context);

}  // namespace stoneport::controllers
