#include "core/json_text.hpp"

#include <boost/locale/utf.hpp>

namespace stoneport::core {

std::optional<nlohmann::json> parse_json(std::string_view text, int max_depth) {
  bool too_deep = false;
  const auto within_depth = [&too_deep, max_depth](int depth, nlohmann::json::parse_event_t event,
                                                   nlohmann::json&) {
    const bool opens = event == nlohmann::json::parse_event_t::object_start ||
                       event == nlohmann::json::parse_event_t::array_start;
    too_deep = too_deep || (opens && depth >= max_depth);
    return !too_deep;
  };
  nlohmann::json value = nlohmann::json::parse(text, within_depth, false);
  if (too_deep || value.is_discarded()) {
    return std::nullopt;
  }
  return std::optional<nlohmann::json>(std::in_place, std::move(value));
}

bool is_utf8(std::string_view text) {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  auto position = text.begin();
  while (position != text.end()) {
    if (!boost::locale::utf::is_valid_codepoint(Utf8::decode(position, text.end()))) {
      return false;
    }
  }
  return true;
}

std::string write_json(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace stoneport::core
