#include "controllers/operator_events.hpp"

#include <nlohmann/json.hpp>

#include "config/value_codec.hpp"
#include "http/server.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;

Json step_document(const rollout::StepReport& step) {
  Json document = {{"step", step.step.value()},
                   {"epoch", step.epoch.value()},
                   {"samples_expected", step.samples_expected},
                   {"samples_held", step.samples_held},
                   {"samples_ready", step.samples_ready},
                   {"running_attempts", step.running_attempts},
                   {"oldest_staleness", nullptr},
                   {"since", config::format_wall_time(step.since)}};
  if (step.oldest_staleness) {
    document["oldest_staleness"] = *step.oldest_staleness;
  }
  return document;
}

Json warm_up_document(const rollout::WarmUpDecision& warm_up) {
  return {{"engines", warm_up.engines},
          {"engines_without_weights", warm_up.engines_without_weights},
          {"engines_without_connection", warm_up.engines_without_connection},
          {"daemons_behind", warm_up.daemons_behind}};
}

Json event_document(const config::Configuration::Event& event) {
  const config::TenantParameters& parameters = *event.parameters;
  Json document = {{"event", parameters.name},
                   {"tenant", parameters.tenant.value()},
                   {"policy", parameters.policy.value()},
                   {"template", parameters.event_template.value()},
                   {"scheduled_start", nullptr},
                   {"age_bound", parameters.age_bound},
                   {"phase", nullptr},
                   {"warm_up", nullptr},
                   {"steps", Json::array()}};
  if (parameters.scheduled_start) {
    document["scheduled_start"] = config::format_wall_time(*parameters.scheduled_start);
  }
  return document;
}

asio::awaitable<http::Response> answer_events(std::shared_ptr<OperatorEventContext> context) {
  const std::vector<rollout::StepReport> steps = co_await context->steps();
  co_return http::json_response(kOk, events_json(*context, steps));
}

}  // namespace

std::string events_json(const OperatorEventContext& context,
                        const std::vector<rollout::StepReport>& steps) {
  const auto configuration = context.configuration();
  Json documents = Json::array();
  for (const auto& [name, parameters] : configuration->parameters) {
    const core::EventName event(name);
    const auto in_force = configuration->find_event(event);
    if (!in_force) {
      continue;
    }
    Json document = event_document(*in_force);
    if (const auto warm_up = context.warm_up(event)) {
      document["phase"] = rollout::to_string(warm_up->state);
      const bool is_scheduled = warm_up->state != rollout::WarmUpState::kUnscheduled;
      document["warm_up"] = is_scheduled ? warm_up_document(*warm_up) : Json();
    }
    for (const rollout::StepReport& step : steps) {
      if (step.event == event) {
        document["steps"].push_back(step_document(step));
      }
    }
    documents.push_back(std::move(document));
  }
  return Json{{"revision", configuration->revision.value()}, {"events", std::move(documents)}}
      .dump();
}

void register_operator_event_route(http::Router& router,
                                   std::shared_ptr<OperatorEventContext> context) {
  router.add("GET", "/v1/operator/events",
             [context](http::RoutedRequest) -> asio::awaitable<http::Response> {
               asio::awaitable<http::Response> answer = answer_events(context);
               http::Response response =
                   co_await runtime::run_on(context->control, std::move(answer));
               co_return response;
             });
}

}  // namespace stoneport::controllers
