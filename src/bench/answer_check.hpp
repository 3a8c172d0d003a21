/// \file
/// Whether a response body is the whole answer to the request it came back for.
#pragma once

#include <string>

#include "bench/load_plan.hpp"

namespace stoneport::bench {

/// \return an empty text when \p body is the whole answer to \p request, and
/// otherwise what differs. For responses of status 200 alone.
std::string describe_wrong_answer(const LoadRequest& request, const std::string& body);

}  // namespace stoneport::bench
