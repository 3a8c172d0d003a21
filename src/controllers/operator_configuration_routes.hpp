/// \file
/// Operator API routes for templates and parameters (docs/api/operators.md). Handlers parse
/// the request, call the controller on the control thread, and respond.
#pragma once

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Adds the document routes. \p controller must outlive \p router.
void register_operator_configuration_routes(http::Router& router,
                                            ConfigurationController& controller);

}  // namespace stoneport::controllers
