/// \file
/// Small helpers that the commands share: addresses, and options by cxxopts.
#pragma once

#include <cxxopts.hpp>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::bench {

/// \return the address written as "ip:port", or kInvalidArgument.
core::Result<core::Address> parse_address(const std::string& text);

/// Reports wrong options on standard error with a pointer to --help.
/// \return kExitUsage
int report_usage_error(const std::string& command, const std::string& message);

}  // namespace stoneport::bench
