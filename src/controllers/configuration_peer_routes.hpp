/// \file
/// HTTP routes on which daemons exchange configurations. Handlers run on the control
/// thread, regardless of the listener's thread.
#pragma once

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Adds `GET` and `POST /peer/configuration`. \p controller must outlive \p router.
void register_configuration_peer_routes(http::Router& router, ConfigurationController& controller);

}  // namespace stoneport::controllers
