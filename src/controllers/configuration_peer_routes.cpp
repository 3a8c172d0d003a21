#include "controllers/configuration_peer_routes.hpp"

#include "config/value_codec.hpp"
#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

asio::awaitable<http::Response> answer_fetch(ConfigurationController& controller,
                                             http::RoutedRequest request) {
  const std::optional<core::Revision> since =
      config::parse_revision(http::query_parameter(request.head.target, "since").value_or("0"));
  if (!since) {
    const core::Error error = core::make_error(
        core::ErrorCode::kInvalidArgument, "query parameter 'since' is not an unsigned integer");
    co_return http::error_response(kBadRequest, error);
  }
  co_return http::json_response(kOk,
                                core::write_json(to_json_value(controller.offer_since(*since))));
}

asio::awaitable<http::Response> answer_push(ConfigurationController& controller,
                                            http::RoutedRequest request) {
  const core::Result<PeerConfiguration> offer = peer_configuration_from_json(request.body);
  if (offer.has_error()) {
    co_return http::error_response(kBadRequest, offer.error());
  }
  const config::AdoptionVerdict verdict = controller.accept_offer(*offer);
  if (controller.record().revision < offer->delta.changed.revision) {
    const core::Error error = core::make_error(
        core::ErrorCode::kConflict, "refused: " + std::string(config::to_string(verdict)));
    co_return http::error_response(http::status_for(error.code), error);
  }
  const nlohmann::json body = {{"revision", controller.record().revision.value()}};
  co_return http::json_response(kOk, core::write_json(body));
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
