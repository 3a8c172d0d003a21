#include "config/value_codec.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <ctime>

#include "core/numbers.hpp"

namespace stoneport::config {
namespace {

struct DurationUnit {
  const char* name;
  core::Duration length;
};

/// Longest first, so that formatting takes the largest whole unit.
constexpr std::array<DurationUnit, 5> kDurationUnits = {{{"h", std::chrono::hours(1)},
                                                         {"m", std::chrono::minutes(1)},
                                                         {"s", std::chrono::seconds(1)},
                                                         {"ms", std::chrono::milliseconds(1)},
                                                         {"us", core::Duration(1)}}};
constexpr std::size_t kLongestName = 63;

bool is_ip_number(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(AF_INET, text.c_str(), binary.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), binary.data()) == 1;
}

bool is_wildcard(const std::string& ip) {
  return ip == "0.0.0.0" || ip == "::";
}

bool is_letter_or_digit(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

/// A codec of values that stand in JSON as strings.
template <class T>
ValueCodec<T> text_codec(std::string allowed, std::string placeholder,
                         std::function<std::optional<T>(const std::string&)> parse,
                         std::function<std::string(const T&)> format) {
  ValueCodec<T> codec;
  codec.allowed = std::move(allowed);
  codec.placeholder = std::move(placeholder);
  codec.read = [parse = std::move(parse)](const nlohmann::json& json) -> std::optional<T> {
    if (!json.is_string()) {
      return std::nullopt;
    }
    return parse(json.get<std::string>());
  };
  codec.write = [format = std::move(format)](const T& value) {
    return nlohmann::json(format(value));
  };
  return codec;
}

/// Offset from UTC in seconds of "Z" or "+hh:mm".
std::optional<int> parse_offset(const std::string& text) {
  constexpr int kSecondsPerMinute = 60;
  constexpr int kMinutesPerHour = 60;
  if (text == "Z" || text == "z") {
    return 0;
  }
  const bool shaped = text.size() == 6 && (text[0] == '+' || text[0] == '-') && text[3] == ':';
  if (!shaped) {
    return std::nullopt;
  }
  const auto hours = core::parse_number<int>(std::string_view(text).substr(1, 2));
  const auto minutes = core::parse_number<int>(std::string_view(text).substr(4, 2));
  if (!hours || !minutes || *hours > 23 || *minutes > 59) {
    return std::nullopt;
  }
  const int seconds = (*hours * kMinutesPerHour + *minutes) * kSecondsPerMinute;
  return text[0] == '-' ? -seconds : seconds;
}

/// Milliseconds of an optional ".ddd" that starts at \p position, which moves past it.
std::optional<int> parse_milliseconds(const std::string& text, std::size_t& position) {
  if (position >= text.size() || text[position] != '.') {
    return 0;
  }
  const std::size_t end = text.find_first_not_of("0123456789", ++position);
  std::string digits = text.substr(position, end == std::string::npos ? end : end - position);
  if (digits.empty()) {
    return std::nullopt;
  }
  position += digits.size();
  digits.resize(3, '0');
  return core::parse_number<int>(digits);
}

}  // namespace

const char* const kNameRule =
    "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";

nlohmann::json value_from_text(const std::string& text, TextForm form) {
  if (form == TextForm::kString) {
    return text;
  }
  if (form == TextForm::kLiteral) {
    nlohmann::json literal = nlohmann::json::parse(text, nullptr, false);
    return literal.is_primitive() && !literal.is_discarded() ? literal : nlohmann::json(text);
  }
  if (text.empty()) {
    return nlohmann::json::array();
  }
  std::vector<std::string> items;
  boost::algorithm::split(items, text, [](char character) { return character == ','; });
  return items;
}

std::string format_duration(core::Duration value) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (value % unit.length == core::Duration::zero() && value != core::Duration::zero()) {
      return fmt::format("{}{}", value / unit.length, unit.name);
    }
  }
  return "0s";
}

std::optional<core::Duration> parse_duration(const std::string& text) {
  const std::size_t unit_start = text.find_first_not_of("0123456789");
  if (unit_start == std::string::npos) {
    return std::nullopt;
  }
  const auto count = core::parse_number<std::int64_t>(std::string_view(text).substr(0, unit_start));
  if (!count) {
    return std::nullopt;
  }
  for (const DurationUnit& unit : kDurationUnits) {
    if (text.compare(unit_start, std::string::npos, unit.name) == 0) {
      const bool fits = *count <= core::Duration::max() / unit.length;
      return fits ? std::optional<core::Duration>(*count * unit.length) : std::nullopt;
    }
  }
  return std::nullopt;
}

std::string format_wall_time(core::WallTime time) {
  const auto whole = std::chrono::floor<std::chrono::seconds>(time);
  const auto milliseconds = (time - whole).count();
  const std::time_t seconds = whole.time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return milliseconds == 0 ? fmt::format("{}Z", text.data())
                           : fmt::format("{}.{:03}Z", text.data(), milliseconds);
}

std::optional<core::WallTime> parse_wall_time(const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (end == nullptr) {
    return std::nullopt;
  }
  std::size_t position = static_cast<std::size_t>(end - text.c_str());
  const std::optional<int> milliseconds = parse_milliseconds(text, position);
  if (!milliseconds) {
    return std::nullopt;
  }
  const std::optional<int> offset = parse_offset(text.substr(position));
  if (!offset) {
    return std::nullopt;
  }
  const auto seconds = std::chrono::seconds(timegm(&parts) - *offset);
  return core::WallTime(seconds + std::chrono::milliseconds(*milliseconds));
}

std::string format_address(const core::Address& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  return is_ipv6 ? fmt::format("[{}]:{}", address.ip, address.port) : core::to_string(address);
}

std::optional<core::Address> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto port = core::parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  core::Address address;
  address.port = *port;
  address.ip = text.substr(0, colon);
  const bool bracketed = address.ip.size() > 2 && address.ip.front() == '[';
  if (bracketed && address.ip.back() == ']') {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
  }
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  if (is_ipv6 != bracketed || !is_ip_number(address.ip)) {
    return std::nullopt;
  }
  return address;
}

std::optional<core::Revision> parse_revision(std::string_view text) {
  const auto value = core::parse_number<std::uint64_t>(text);
  return value ? std::optional<core::Revision>(core::Revision(*value)) : std::nullopt;
}

bool is_valid_name(const std::string& text) {
  const auto allowed = [](char character) {
    return is_letter_or_digit(character) || character == '.' || character == '_' ||
           character == '-';
  };
  return !text.empty() && text.size() <= kLongestName && is_letter_or_digit(text.front()) &&
         std::all_of(text.begin(), text.end(), allowed);
}

ValueCodec<std::string> name_text_codec() {
  const auto parse = [](const std::string& text) {
    return is_valid_name(text) ? std::optional<std::string>(text) : std::nullopt;
  };
  return text_codec<std::string>(kNameRule, "NAME", parse,
                                 [](const std::string& text) { return text; });
}

ValueCodec<std::string> choice_codec(std::vector<std::string> choices) {
  const std::string allowed = "one of " + boost::algorithm::join(choices, ", ");
  const std::string placeholder = boost::algorithm::join(choices, "|");
  const auto parse = [choices](const std::string& text) {
    const bool known = std::find(choices.begin(), choices.end(), text) != choices.end();
    return known ? std::optional<std::string>(text) : std::nullopt;
  };
  return text_codec<std::string>(allowed, placeholder, parse,
                                 [](const std::string& text) { return text; });
}

ValueCodec<bool> boolean_codec() {
  ValueCodec<bool> codec;
  codec.allowed = "true or false";
  codec.placeholder = "true|false";
  codec.form = TextForm::kLiteral;
  codec.read = [](const nlohmann::json& json) {
    return json.is_boolean() ? std::optional<bool>(json.get<bool>()) : std::nullopt;
  };
  codec.write = [](const bool& value) { return nlohmann::json(value); };
  return codec;
}

ValueCodec<double> real_codec(double lowest, double highest) {
  ValueCodec<double> codec;
  codec.allowed = fmt::format("a number from {} to {}", lowest, highest);
  codec.placeholder = "NUMBER";
  codec.form = TextForm::kLiteral;
  codec.read = [lowest, highest](const nlohmann::json& json) -> std::optional<double> {
    const double value = json.is_number() ? json.get<double>() : lowest - 1;
    const bool within = value >= lowest && value <= highest;
    return within ? std::optional<double>(value) : std::nullopt;
  };
  codec.write = [](const double& value) { return nlohmann::json(value); };
  return codec;
}

ValueCodec<std::int64_t> integer_codec(std::int64_t lowest, std::int64_t highest) {
  ValueCodec<std::int64_t> codec;
  codec.allowed = fmt::format("a whole number from {} to {}", lowest, highest);
  codec.placeholder = "NUMBER";
  codec.form = TextForm::kLiteral;
  codec.read = [lowest, highest](const nlohmann::json& json) -> std::optional<std::int64_t> {
    const bool too_large = json.is_number_unsigned() &&
                           json.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
    if (!json.is_number_integer() || too_large) {
      return std::nullopt;
    }
    const std::int64_t value = json.get<std::int64_t>();
    const bool within = value >= lowest && value <= highest;
    return within ? std::optional<std::int64_t>(value) : std::nullopt;
  };
  codec.write = [](const std::int64_t& value) { return nlohmann::json(value); };
  return codec;
}

ValueCodec<core::Duration> duration_codec(core::Duration lowest, core::Duration highest) {
  const std::string allowed =
      fmt::format("a duration from {} to {}, a whole number with us, ms, s, m or h",
                  format_duration(lowest), format_duration(highest));
  const auto parse = [lowest, highest](const std::string& text) {
    const std::optional<core::Duration> value = parse_duration(text);
    return value && *value >= lowest && *value <= highest ? value : std::nullopt;
  };
  return text_codec<core::Duration>(allowed, "DURATION", parse, format_duration);
}

ValueCodec<core::WallTime> wall_time_codec() {
  return text_codec<core::WallTime>("a time such as 2026-12-02T08:00:00Z", "TIME", parse_wall_time,
                                    format_wall_time);
}

ValueCodec<core::Address> address_codec(AddressUse use) {
  std::string allowed = "an IP number and a port such as 127.0.0.1:7070 or [::1]:7070";
  if (use != AddressUse::kListener) {
    allowed += ", not a wildcard";
  }
  if (use == AddressUse::kRemote) {
    allowed += ", not port 0";
  }
  const auto parse = [use](const std::string& text) {
    std::optional<core::Address> address = parse_address(text);
    const bool wildcard = address && is_wildcard(address->ip) && use != AddressUse::kListener;
    const bool no_port = address && address->port == 0 && use == AddressUse::kRemote;
    return wildcard || no_port ? std::nullopt : address;
  };
  return text_codec<core::Address>(allowed, "IP:PORT", parse, format_address);
}

}  // namespace stoneport::config
