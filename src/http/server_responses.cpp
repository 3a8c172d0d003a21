#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "http/router.hpp"
#include "http/server.hpp"

namespace stoneport::http {
namespace asio = boost::asio;

asio::awaitable<core::Result<void>> ResponseWriter::send(Response message) {
  const std::uint64_t length = message.body.size();
  core::Result<void> started = co_await start(std::move(message.head), length);
  if (!started) {
    co_return started;
  }
  if (length > 0) {
    core::Result<void> written = co_await write(message.body);
    if (!written) {
      co_return written;
    }
  }
  co_return co_await finish();
}

asio::awaitable<core::Result<void>> respond(ResponseWriter& response, Response message) {
  co_return co_await response.send(std::move(message));
}

asio::awaitable<core::Result<void>> respond_json(ResponseWriter& response, unsigned status,
                                                 std::string json) {
  Response message = json_response(status, std::move(json));
  co_return co_await response.send(std::move(message));
}

Response json_response(unsigned status, std::string json) {
  Response response;
  response.head.status = status;
  response.head.headers.add("Content-Type", "application/json");
  response.body = std::move(json);
  return response;
}

Response error_response(unsigned status, const core::Error& error) {
  nlohmann::json document;
  document["code"] = core::to_string(error.code);
  document["message"] = error.message;
  document["retry_after_ms"] = nullptr;
  std::optional<std::string> retry_after;
  if (error.retry_after) {
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*error.retry_after);
    document["retry_after_ms"] = milliseconds.count();
    retry_after = std::to_string(std::chrono::ceil<std::chrono::seconds>(milliseconds).count());
  }
  Response response = json_response(status, core::write_json(document));
  if (retry_after) {
    response.head.headers.set("Retry-After", *retry_after);
  }
  return response;
}

unsigned status_for(core::ErrorCode code) {
  switch (code) {
    case core::ErrorCode::kInvalidArgument:
    case core::ErrorCode::kTruncated:
    case core::ErrorCode::kProtocol:
      return 400;
    case core::ErrorCode::kNotFound:
      return 404;
    case core::ErrorCode::kConflict:
    case core::ErrorCode::kFenced:
      return 409;
    case core::ErrorCode::kTooLarge:
      return 413;
    case core::ErrorCode::kRateLimited:
      return 429;
    case core::ErrorCode::kUnavailable:
    case core::ErrorCode::kOverloaded:
      return 503;
    case core::ErrorCode::kOutcomeUnknown:
      return 502;
    case core::ErrorCode::kDeadlineExceeded:
      return 504;
    case core::ErrorCode::kCancelled:
      return 499;
    case core::ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace stoneport::http
