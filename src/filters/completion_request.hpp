/// \file
/// A completion as callers ask for it, in the shape that OpenAI-compatible
/// engines use. Plain code.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::filters {

struct CompletionRequest {
  core::ModelName model;
  std::optional<core::AdapterName> adapter;
  std::string prompt;
  std::uint32_t max_tokens = 256;
  double temperature = 1.0;
  std::uint64_t seed = 0;
  bool stream = false;
};

/// \return kInvalidArgument naming the first member that is missing, of the
/// wrong type or out of range. Members that are not known are ignored, except
/// that "n" and "best_of" above 1 are refused.
core::Result<CompletionRequest> parse_completion_request(const std::string& text);

}  // namespace stoneport::filters
