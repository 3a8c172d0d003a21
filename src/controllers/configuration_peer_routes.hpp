/// \file
/// Routes by which daemons ask one another for the configuration. Handlers run
/// on the control thread, whichever thread the listener has.
#pragma once

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Adds `GET` and `POST /peer/configuration`. \p controller must outlive \p router.
void register_configuration_peer_routes(http::Router& router, ConfigurationController& controller);

}  // namespace stoneport::controllers
