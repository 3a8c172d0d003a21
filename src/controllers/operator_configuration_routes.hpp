/// \file
/// Operators' routes for templates and parameters (docs/api/operators.md).
/// Handlers parse, call the controller on the control thread, and answer.
#pragma once

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Adds the routes of documents. \p controller must outlive \p router.
void register_operator_configuration_routes(http::Router& router,
                                            ConfigurationController& controller);

}  // namespace stoneport::controllers
