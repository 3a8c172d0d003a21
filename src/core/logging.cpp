#include "core/logging.hpp"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace stoneport::core {
namespace {

constexpr std::array<std::string_view, 6> kLevels = {"trace", "debug", "info",
                                                     "warn",  "error", "off"};

/// Formats the message as a quoted JSON string, because spdlog's "%v" does not escape it.
class JsonMessageFlag : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&,
              spdlog::memory_buf_t& out) override {
    const std::string text(message.payload.data(), message.payload.size());
    const std::string quoted =
        nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.append(quoted.data(), quoted.data() + quoted.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<JsonMessageFlag>();
  }
};

}  // namespace

Result<void> set_log_level(const std::string& level) {
  if (std::find(kLevels.begin(), kLevels.end(), level) == kLevels.end()) {
    return make_error(ErrorCode::kInvalidArgument, "unknown log level: " + level);
  }
  spdlog::set_level(spdlog::level::from_str(level));
  return {};
}

Result<void> install_logger(const LogSettings& settings) {
  auto logger = spdlog::stderr_color_mt(settings.component);
  if (settings.format == LogFormat::kJson) {
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<JsonMessageFlag>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","component":"%n","message":%*})");
    logger->set_formatter(std::move(formatter));
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ %n: %v");
  }
  spdlog::set_default_logger(std::move(logger));
  return set_log_level(settings.level);
}

}  // namespace stoneport::core
