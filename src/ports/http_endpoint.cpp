#include "ports/http_endpoint.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "http/retry_after.hpp"

namespace stoneport::ports {
namespace {
using core::ErrorCode;

constexpr std::size_t kLongestErrorMessage = 512;

/// The {"code","message"} document of an error response; empty if the body is not one.
struct ErrorDocument {
  std::string code;
  std::string message;
};

std::string text_or_empty(const nlohmann::json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string()) {
    return {};
  }
  return found->get_ref<const std::string&>().substr(0, kLongestErrorMessage);
}

ErrorDocument error_document(const std::string& body) {
  const std::optional<nlohmann::json> value = core::parse_json(body);
  if (!value || !value->is_object()) {
    return {};
  }
  return {text_or_empty(*value, "code"), text_or_empty(*value, "message")};
}

ErrorCode code_of(unsigned status, const std::string& code, CallKind kind) {
  switch (status) {
    case 400:
    case 422:
      return ErrorCode::kInvalidArgument;
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return code == "fenced" ? ErrorCode::kFenced : ErrorCode::kConflict;
    case 413:
      return ErrorCode::kTooLarge;
    case 429:
      return ErrorCode::kRateLimited;
    case 503:
      return ErrorCode::kUnavailable;
    default:
      break;
  }
  if (status < 500) {
    return ErrorCode::kProtocol;
  }
  return kind == CallKind::kEffect ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable;
}

http::Request plain_request(std::string method, std::string target) {
  http::Request request;
  request.head.method = std::move(method);
  request.head.target = std::move(target);
  return request;
}

}  // namespace

core::Error error_of(const http::ClientError& failure, CallKind kind) {
  core::Error error = failure.error;
  if (kind == CallKind::kEffect) {
    const bool sent = failure.progress == http::RequestProgress::kMaybeSent;
    error.code = sent ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable;
    return error;
  }
  if (error.code == ErrorCode::kTruncated || error.code == ErrorCode::kOutcomeUnknown) {
    error.code = ErrorCode::kUnavailable;  // a read has no effect whose outcome could be unknown
  }
  return error;
}

core::Error error_of(const http::Response& response, CallKind kind) {
  const ErrorDocument document = error_document(response.body);
  core::Error error;
  error.code = code_of(response.head.status, document.code, kind);
  error.message = "status " + std::to_string(response.head.status) + " " + document.code + " " +
                  document.message;
  error.retry_after = http::retry_after_of(response.head.headers);
  return error;
}

http::Request json_request(std::string method, std::string target, std::string body) {
  http::Request request = plain_request(std::move(method), std::move(target));
  request.head.headers.set("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

HttpEndpoint::HttpEndpoint(http::Client& client, core::Address address,
                           const core::TimeSource& time, EndpointSettings settings)
    : client_(&client), address_(std::move(address)), time_(&time), settings_(settings) {}

http::SendOptions HttpEndpoint::options(core::MonotonicTime deadline) const {
  http::SendOptions options;
  options.deadline = deadline;
  options.connect_timeout = settings_.connect_timeout;
  options.max_body_bytes = settings_.max_answer_bytes;
  return options;
}

boost::asio::awaitable<core::Result<std::string>> HttpEndpoint::call(
    http::Request request, CallKind kind, core::MonotonicTime deadline) const {
  const http::SendOptions send_options = options(deadline);
  auto answer = co_await client_->fetch(address_, std::move(request), send_options);
  if (!answer) {
    co_return error_of(answer.error(), kind);
  }
  if (answer->head.status < 200 || answer->head.status >= 300) {
    co_return error_of(*answer, kind);
  }
  co_return std::move(answer->body);
}

boost::asio::awaitable<core::Result<std::string>> HttpEndpoint::get(std::string target) const {
  http::Request request = plain_request("GET", std::move(target));
  co_return co_await call(std::move(request), CallKind::kRead, default_deadline());
}

boost::asio::awaitable<core::Result<std::string>> HttpEndpoint::post(std::string target,
                                                                     std::string body,
                                                                     CallKind kind) const {
  http::Request request = json_request("POST", std::move(target), std::move(body));
  co_return co_await call(std::move(request), kind, default_deadline());
}

boost::asio::awaitable<core::Result<std::string>> HttpEndpoint::put(
    std::string target, std::string body, std::string content_type) const {
  http::Request request = plain_request("PUT", std::move(target));
  request.head.headers.set("Content-Type", std::move(content_type));
  request.body = std::move(body);
  co_return co_await call(std::move(request), CallKind::kEffect, default_deadline());
}

boost::asio::awaitable<core::Result<std::string>> HttpEndpoint::erase(std::string target) const {
  http::Request request = plain_request("DELETE", std::move(target));
  co_return co_await call(std::move(request), CallKind::kEffect, default_deadline());
}

}  // namespace stoneport::ports
