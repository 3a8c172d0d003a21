/// \file
/// Checks a whole configuration: that its documents fit together. Plain code.
#pragma once

#include "config/configuration.hpp"
#include "config/problem.hpp"

namespace stoneport::config {

/// \return every problem between documents: missing templates, two templates of
/// one service, two parameters of one tenant for one service. The file of each
/// problem is the document's key, such as "parameters/compounds".
Problems check_configuration(const Configuration& configuration);

}  // namespace stoneport::config
