#include "ctl/operator_client.hpp"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <optional>

#include "config/value_codec.hpp"
#include "core/json_text.hpp"

namespace stoneport::ctl {
namespace {

constexpr unsigned kFirstErrorStatus = 300;
constexpr unsigned kInvalidDocumentStatus = 422;

/// Only a change may have taken effect without an answer.
bool changes_something(const http::Request& request) {
  return request.head.method != "GET";
}

http::Request make_request(std::string method, const std::string& target,
                           const nlohmann::json& body) {
  http::Request request;
  request.head.method = std::move(method);
  request.head.target = target;
  request.head.headers.set("Content-Type", "application/json");
  request.body = core::write_json(body);
  return request;
}

}  // namespace

OperatorClient::OperatorClient(core::Address server, core::Duration timeout)
    : server_(std::move(server)),
      timeout_(timeout),
      client_(context_.get_executor(), "operator", metrics_) {}

CallResult<Answer> OperatorClient::get(const std::string& target) {
  http::Request request;
  request.head.target = target;
  return call(std::move(request));
}

CallResult<Answer> OperatorClient::post(const std::string& target, const nlohmann::json& body) {
  return call(make_request("POST", target, body));
}

CallResult<Answer> OperatorClient::put(const std::string& target, const nlohmann::json& body) {
  return call(make_request("PUT", target, body));
}

CallResult<Answer> OperatorClient::call(http::Request request) {
  const bool changes = changes_something(request);
  http::ClientResult<http::Response> response = exchange(std::move(request));
  if (response.has_value()) {
    return interpret(response->head.status, response->body);
  }
  const http::ClientError error = response.error();
  const bool unknown = changes && error.progress == http::RequestProgress::kMaybeSent;
  const ExitCode exit_code = unknown ? ExitCode::kUnknownOutcome : ExitCode::kUnreachable;
  const std::string what = unknown ? "no answer came, the outcome is unknown" : "cannot be reached";
  return CallFailure{
      exit_code,
      fmt::format("{}: {}: {}", config::format_address(server_), what, error.error.message),
      nullptr};
}

http::ClientResult<http::Response> OperatorClient::exchange(http::Request request) {
  http::SendOptions options;
  options.deadline = time_.now() + timeout_;
  std::optional<http::ClientResult<http::Response>> result;
  boost::asio::co_spawn(
      context_, client_.fetch(server_, std::move(request), options),
      [&result](const std::exception_ptr& failure, http::ClientResult<http::Response> response) {
        if (failure) {
          std::rethrow_exception(failure);
        }
        result.emplace(std::move(response));
      });
  context_.restart();
  while (!result && context_.run_one() > 0) {
  }
  return std::move(result.value());
}

CallResult<Answer> interpret(unsigned status, const std::string& body) {
  nlohmann::json object = core::parse_json(body).value_or(nlohmann::json());
  if (status < kFirstErrorStatus) {
    return Answer{std::move(object)};
  }
  const bool described = object.is_object();
  const std::string code = described ? object.value("code", "") : "";
  std::string message = described ? object.value("message", "") : "";
  if (message.empty()) {
    message = fmt::format("the daemon answered {}", status);
  }
  ExitCode exit_code = ExitCode::kRefused;
  if (status == kInvalidDocumentStatus) {
    exit_code = ExitCode::kInvalidDocument;
  }
  if (code == "outcome_unknown") {
    exit_code = ExitCode::kUnknownOutcome;
  }
  return CallFailure{exit_code, std::move(message), std::move(object)};
}

}  // namespace stoneport::ctl
