#include "emulator/http_answers.hpp"

#include "core/numbers.hpp"

#include "core/json_text.hpp"

namespace stoneport::emulator {
namespace {

unsigned status_of(core::ErrorCode code) {
  switch (code) {
    case core::ErrorCode::kInvalidArgument:
      return 400;
    case core::ErrorCode::kNotFound:
      return 404;
    case core::ErrorCode::kConflict:
    case core::ErrorCode::kFenced:
      return 409;
    case core::ErrorCode::kRateLimited:
      return 429;
    case core::ErrorCode::kUnavailable:
      return 503;
    default:
      return 500;
  }
}

}  // namespace

http::Response json_answer(unsigned status, const nlohmann::json& document) {
  http::Response response;
  response.head.status = status;
  response.head.headers.set("Content-Type", "application/json");
  response.body = core::write_json(document);
  return response;
}

http::Response empty_answer() {
  http::Response response;
  response.head.status = 204;
  return response;
}

http::Response error_answer(const core::Error& error) {
  const nlohmann::json document = {{"code", core::to_string(error.code)},
                                   {"message", error.message}};
  http::Response response = json_answer(status_of(error.code), document);
  if (error.retry_after) {
    const std::string seconds = std::to_string(core::to_seconds(*error.retry_after));
    response.head.headers.set("Retry-After", seconds);
  }
  return response;
}

http::Response outcome_answer(const core::Result<void>& outcome) {
  return outcome ? empty_answer() : error_answer(outcome.error());
}

core::Error invalid_argument(std::string message) {
  return core::make_error(core::ErrorCode::kInvalidArgument, std::move(message));
}

http::Response not_found_answer(const std::string& what) {
  return error_answer(core::make_error(core::ErrorCode::kNotFound, "no such " + what));
}

std::uint64_t number_or(std::optional<std::string> text, std::uint64_t otherwise) {
  return core::parse_number<std::uint64_t>(text.value_or("")).value_or(otherwise);
}

}  // namespace stoneport::emulator
