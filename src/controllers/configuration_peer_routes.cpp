#include "controllers/configuration_peer_routes.hpp"

#include <charconv>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

std::optional<core::Revision> parse_since(const std::string& target) {
  const std::string text = http::query_parameter(target, "since").value_or("0");
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole ? std::optional<core::Revision>(core::Revision(value)) : std::nullopt;
}

asio::awaitable<http::Response> answer_fetch(ConfigurationController& controller,
                                             http::RoutedRequest request) {
  const std::optional<core::Revision> since = parse_since(request.head.target);
  if (!since) {
    const core::Error error =
        core::make_error(core::ErrorCode::kInvalidArgument, "since is not a whole number");
    co_return http::error_response(kBadRequest, error);
  }
  co_return http::json_response(kOk, to_json_value(controller.offer_since(*since)).dump());
}

asio::awaitable<http::Response> answer_push(ConfigurationController& controller,
                                            http::RoutedRequest request) {
  const core::Result<PeerConfiguration> offer = peer_configuration_from_json(request.body);
  if (offer.has_error()) {
    co_return http::error_response(kBadRequest, offer.error());
  }
  const config::AdoptionVerdict verdict = controller.take(*offer);
  if (controller.record().revision < offer->delta.changed.revision) {
    const core::Error error = core::make_error(
        core::ErrorCode::kConflict, "refused: " + std::string(config::to_string(verdict)));
    co_return http::error_response(http::status_for(error.code), error);
  }
  const nlohmann::json body = {{"revision", controller.record().revision.value()}};
  co_return http::json_response(kOk, body.dump());
}

}  // namespace

void register_configuration_peer_routes(http::Router& router, ConfigurationController& controller) {
  router.add("GET", "/peer/configuration", [&controller](http::RoutedRequest request) {
    return runtime::run_on(controller.executor(), answer_fetch(controller, std::move(request)));
  });
  router.add("POST", "/peer/configuration", [&controller](http::RoutedRequest request) {
    return runtime::run_on(controller.executor(), answer_push(controller, std::move(request)));
  });
}

}  // namespace stoneport::controllers
