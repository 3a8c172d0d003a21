#include "steps/trainer_handler.hpp"

#include <nlohmann/json.hpp>

#include "config/value_codec.hpp"
#include "core/json_text.hpp"

namespace stoneport::steps {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kBodyLimitBytes = std::size_t{64} << 20;
constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;

http::Response refusal(const core::Error& error) {
  return http::error_response(http::status_for(error.code), error);
}

http::Response empty_response() {
  http::Response response;
  response.head.status = kNoContent;
  return response;
}

core::Result<StepKey> step_key(const http::PathParameters& parameters) {
  const auto step = parse_step_number(parameters.at("step"));
  if (!step) {
    return step.error();
  }
  return StepKey{core::EventName(parameters.at("event")), *step};
}

}  // namespace

TrainerHandler::TrainerHandler(StepService& service) : service_(service), router_(kBodyLimitBytes) {
  const auto route = [this](auto method) {
    return
        [this, method](http::RoutedRequest request) { return (this->*method)(std::move(request)); };
  };
  router_.add("POST", "/v1/policies/{policy}/versions", route(&TrainerHandler::publish));
  router_.add("POST", "/v1/events/{event}/steps", route(&TrainerHandler::open));
  router_.add("POST", "/v1/events/{event}/steps/{step}/poll", route(&TrainerHandler::poll));
  router_.add("POST", "/v1/events/{event}/steps/{step}/ack", route(&TrainerHandler::acknowledge));
  router_.add("DELETE", "/v1/events/{event}/steps/{step}", route(&TrainerHandler::cancel));
}

asio::awaitable<void> TrainerHandler::handle(const http::RequestHead& request,
                                             http::BodySource& body,
                                             http::ResponseWriter& response) {
  co_await router_.handle(request, body, response);
}

asio::awaitable<http::Response> TrainerHandler::publish(http::RoutedRequest request) {
  const auto message = parse_publish(request.body);
  if (!message) {
    co_return refusal(message.error());
  }
  core::PolicyName policy(request.parameters.at("policy"));
  if (!config::is_valid_name(policy.value())) {
    co_return refusal(core::make_error(core::ErrorCode::kInvalidArgument,
                                       std::string("a policy's name is ") + config::kNameRule));
  }
  const auto published =
      co_await service_.publish(std::move(policy), message->version, message->size_bytes);
  if (!published) {
    co_return refusal(published.error());
  }
  const nlohmann::json answer = {{"policy", request.parameters.at("policy")},
                                 {"version", message->version.value()}};
  co_return http::json_response(kOk, core::write_json(answer));
}

asio::awaitable<http::Response> TrainerHandler::open(http::RoutedRequest request) {
  auto message = parse_open(request.body);
  if (!message) {
    co_return refusal(message.error());
  }
  const StepKey key{core::EventName(request.parameters.at("event")), message->step};
  OpenRequest opening{message->policy_version, std::move(message->content), message->epoch_seen};
  const auto opened = service_.open(key, std::move(opening));
  if (!opened) {
    co_return refusal(opened.error());
  }
  co_return http::json_response(kOk, format_open_answer(*opened));
}

asio::awaitable<http::Response> TrainerHandler::poll(http::RoutedRequest request) {
  const auto key = step_key(request.parameters);
  if (!key) {
    co_return refusal(key.error());
  }
  const auto message = parse_poll(request.body);
  if (!message) {
    co_return refusal(message.error());
  }
  const auto runner = service_.find(*key, message->epoch_seen);
  if (!runner) {
    co_return refusal(runner.error());
  }
  StepRunner& step = **runner;  // kept alive by the result
  const std::size_t slot_count = step.plan().content.shape().slot_count();
  auto held = rollout::SlotBitmap::parse(message->held, slot_count);
  if (!held) {
    co_return refusal(held.error());
  }
  if (message->policy_version) {
    service_.observe_version(*key, *message->policy_version);
  }
  PollRequest poll{std::move(*held), message->epoch_seen, message->wait, message->max_samples};
  const core::Result<PollAnswer> answer = co_await step.poll(std::move(poll));
  if (!answer) {
    co_return refusal(answer.error());
  }
  co_return http::json_response(kOk, format_poll_answer(*answer));
}

asio::awaitable<http::Response> TrainerHandler::acknowledge(http::RoutedRequest request) {
  const auto key = step_key(request.parameters);
  if (!key) {
    co_return refusal(key.error());
  }
  const auto message = parse_acknowledge(request.body);
  if (!message) {
    co_return refusal(message.error());
  }
  const auto runner = service_.find(*key, message->epoch_seen);
  if (!runner) {
    co_return refusal(runner.error());
  }
  const std::size_t slot_count = (*runner)->plan().content.shape().slot_count();
  const auto held = rollout::SlotBitmap::parse(message->held, slot_count);
  if (!held) {
    co_return refusal(held.error());
  }
  const auto acknowledged = (*runner)->acknowledge(*held);
  co_return acknowledged ? empty_response() : refusal(acknowledged.error());
}

asio::awaitable<http::Response> TrainerHandler::cancel(http::RoutedRequest request) {
  const auto key = step_key(request.parameters);
  if (!key) {
    co_return refusal(key.error());
  }
  const auto cancelled = service_.cancel(*key);
  co_return cancelled ? empty_response() : refusal(cancelled.error());
}

}  // namespace stoneport::steps
