#include "http/retry_after.hpp"

#include <charconv>
#include <cmath>

namespace stoneport::http {

std::optional<core::Duration> retry_after_of(const HeaderMap& headers) {
  const auto field = headers.find("Retry-After");
  if (!field) {
    return std::nullopt;
  }
  double seconds = 0;
  const auto parsed = std::from_chars(field->data(), field->data() + field->size(), seconds);
  const bool is_whole_field = parsed.ptr == field->data() + field->size();
  const bool is_number = parsed.ec == std::errc() && is_whole_field && std::isfinite(seconds);
  if (!is_number || seconds < 0) {
    return std::nullopt;
  }
  return std::min(core::from_seconds(seconds), kLongestRetryAfter);
}

}  // namespace stoneport::http
