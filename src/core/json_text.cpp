#include "core/json_text.hpp"

namespace stoneport::core {

std::optional<nlohmann::json> parse_json(std::string_view text, int deepest) {
  bool too_deep = false;
  const auto within_depth = [&too_deep, deepest](int depth, nlohmann::json::parse_event_t event,
                                                 nlohmann::json&) {
    const bool opens = event == nlohmann::json::parse_event_t::object_start ||
                       event == nlohmann::json::parse_event_t::array_start;
    too_deep = too_deep || (opens && depth >= deepest);
    return !too_deep;
  };
  nlohmann::json value = nlohmann::json::parse(text, within_depth, false);
  if (too_deep || value.is_discarded()) {
    return std::nullopt;
  }
  return std::optional<nlohmann::json>(std::in_place, std::move(value));
}

std::string write_json(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace stoneport::core
