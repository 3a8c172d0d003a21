#include "ports/http_scoring_service.hpp"

#include "ports/json_fields.hpp"

namespace stoneport::ports {

boost::asio::awaitable<core::Result<double>> HttpScoringService::score(
    core::ServiceName scorer, ScoringRequest request, core::MonotonicTime deadline) {
  auto encoded = encode_json({{"prompt", request.prompt}, {"completion", request.completion}});
  if (!encoded) {
    co_return encoded.error();
  }
  std::string target = "/v1/scorers/" + http::percent_encode(scorer.value()) + "/score";
  http::Request message = json_request("POST", std::move(target), std::move(*encoded));
  auto body = co_await endpoint_.call(std::move(message), CallKind::kRead, deadline);
  if (!body) {
    co_return body.error();
  }
  co_return decode_json(*body, [](const JsonFields& fields) { return fields.number("score"); });
}

}  // namespace stoneport::ports
