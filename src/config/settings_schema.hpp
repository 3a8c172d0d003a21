/// \file
/// The table of stoneportd's settings. A new setting is one row here.
#pragma once

#include "config/schema.hpp"
#include "config/settings.hpp"

namespace stoneport::config {

const Schema<DaemonSettings>& settings_schema();

/// Checks what concerns more than one setting.
Problems check_settings(const DaemonSettings& settings, const SourceDocument& source);

}  // namespace stoneport::config
