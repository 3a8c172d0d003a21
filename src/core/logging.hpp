/// \file
/// Process-wide logger based on spdlog. Only state changes are logged; recurring events are
/// counted as metrics instead.
#pragma once

#include <string>

#include "core/error.hpp"

namespace stoneport::core {

enum class LogFormat { kHuman, kJson };

struct LogSettings {
  std::string level = "info";  ///< trace, debug, info, warn, error, off
  LogFormat format = LogFormat::kHuman;
  std::string component;  ///< program and node, written in each line
};

/// Installs the default spdlog logger, which writes to standard error.
/// \return kInvalidArgument if the level is unknown.
Result<void> install_logger(const LogSettings& settings);

/// Changes the level of the installed logger.
Result<void> set_log_level(const std::string& level);

}  // namespace stoneport::core
