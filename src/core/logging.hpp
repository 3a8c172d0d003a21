/// \file
/// Process-wide logger over spdlog. Lines are written for changes of state
/// only; everything that recurs is a counter.
#pragma once

#include <string>

#include "core/error.hpp"

namespace stoneport::core {

enum class LogFormat { kHuman, kJson };

struct LogSettings {
  std::string level = "info";  ///< trace, debug, info, warn, error, off
  LogFormat format = LogFormat::kHuman;
  std::string component;  ///< program and node, stands in each line
};

/// Installs the default spdlog logger, writing to standard error.
/// \return kInvalidArgument for an unknown level.
Result<void> install_logger(const LogSettings& settings);

/// Changes the level of the installed logger.
Result<void> set_log_level(const std::string& level);

}  // namespace stoneport::core
