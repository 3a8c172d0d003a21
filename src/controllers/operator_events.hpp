/// \file
/// The operators' route on events: those in force, how far each is from its
/// start, and the steps that this daemon works on. The handler runs on the
/// control thread, whichever thread the listener has.
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

/// What the route reads; all of it outlives the router.
struct OperatorEventContext {
  using StepReports = boost::asio::awaitable<std::vector<rollout::StepReport>>;

  boost::asio::any_io_executor control;
  std::function<std::shared_ptr<const config::Configuration>()> configuration;
  /// The steps of this daemon; called and resumed on the control thread.
  std::function<StepReports()> steps;
  /// \return how far the event is from its start; nothing before the first look.
  std::function<std::optional<rollout::WarmUpDecision>(const core::EventName&)> warm_up;
};

/// \return the document of `GET /v1/operator/events`, in order of event and step.
std::string events_json(const OperatorEventContext& context,
                        const std::vector<rollout::StepReport>& steps);

/// Adds `GET /v1/operator/events`.
void register_operator_event_route(http::Router& router,
                                   std::shared_ptr<OperatorEventContext> context);

}  // namespace stoneport::controllers
