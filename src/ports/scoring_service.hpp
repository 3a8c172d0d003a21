/// \file
/// Port to a scoring service, which scores a finished sample. Scoring is deterministic, so calls
/// may be repeated.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ports {

struct ScoringRequest {
  std::string prompt;
  std::string completion;
};

class ScoringService {
 public:
  virtual ~ScoringService() = default;
  virtual boost::asio::awaitable<core::Result<double>> score(core::ServiceName scorer,
                                                             ScoringRequest request,
                                                             core::MonotonicTime deadline) = 0;
};

}  // namespace stoneport::ports
