/// \file
/// HTTP client of a scoring service (docs/EMULATOR.md).
#pragma once

#include "ports/http_endpoint.hpp"
#include "ports/scoring_service.hpp"

namespace stoneport::ports {

class HttpScoringService : public ScoringService {
 public:
  explicit HttpScoringService(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<double>> score(core::ServiceName scorer,
                                                     ScoringRequest request,
                                                     core::MonotonicTime deadline) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
