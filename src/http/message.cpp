#include "http/message.hpp"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>

namespace stoneport::http {
namespace {

/// Room for what a message usually carries, taken in one go.
constexpr std::size_t kUsualFields = 12;

bool names_equal(std::string_view left, std::string_view right) {
  // Of ASCII alone. The comparisons of Boost.Algorithm make a std::locale a call.
  return boost::beast::iequals(left, right);
}

int hexadecimal_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

/// A '%' that no two hexadecimal digits follow stays as it is.
std::string percent_decode(std::string_view text, bool plus_is_space) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (character == '%' && index + 2 < text.size()) {
      const int high = hexadecimal_value(text[index + 1]);
      const int low = hexadecimal_value(text[index + 2]);
      if (high >= 0 && low >= 0) {
        decoded.push_back(static_cast<char>(high * 16 + low));
        index += 2;
        continue;
      }
    }
    decoded.push_back(plus_is_space && character == '+' ? ' ' : character);
  }
  return decoded;
}

bool is_unreserved(unsigned char character) {
  const bool is_letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool is_digit = character >= '0' && character <= '9';
  return is_letter || is_digit || character == '-' || character == '.' || character == '_' ||
         character == '~';
}

/// Calls \p use with each part of \p text between separators.
template <class Use>
void for_each_part(std::string_view text, char separator, Use use) {
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find(separator, start);
    use(text.substr(start, end == std::string_view::npos ? end : end - start));
    if (end == std::string_view::npos) {
      return;
    }
    start = end + 1;
  }
}

constexpr std::string_view kHopByHopNames[] = {
    "Connection",
    "Keep-Alive",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
};

}  // namespace

void HeaderMap::add(std::string name, std::string value) {
  if (fields_.capacity() == 0) {
    fields_.reserve(kUsualFields);
  }
  fields_.emplace_back(std::move(name), std::move(value));
}

void HeaderMap::set(std::string_view name, std::string value) {
  std::string owned_name(name);
  erase(owned_name);
  fields_.emplace_back(std::move(owned_name), std::move(value));
}

void HeaderMap::erase(std::string_view name) {
  std::erase_if(fields_, [name](const Field& field) { return names_equal(field.first, name); });
}

std::optional<std::string_view> HeaderMap::find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (names_equal(field.first, name)) {
      return field.second;
    }
  }
  return std::nullopt;
}

std::vector<std::string_view> HeaderMap::find_all(std::string_view name) const {
  std::vector<std::string_view> values;
  for (const Field& field : fields_) {
    if (names_equal(field.first, name)) {
      values.emplace_back(field.second);
    }
  }
  return values;
}

void remove_hop_by_hop(HeaderMap& headers) {
  std::vector<std::string> names;
  for (const HeaderMap::Field& field : headers.fields()) {
    if (!names_equal(field.first, "Connection")) {
      continue;
    }
    for_each_part(field.second, ',', [&names](std::string_view part) {
      names.push_back(boost::algorithm::trim_copy(std::string(part)));
    });
  }
  for (const std::string& name : names) {
    headers.erase(name);
  }
  for (const std::string_view name : kHopByHopNames) {
    headers.erase(name);
  }
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
  const std::size_t question_mark = target.find('?');
  if (question_mark == std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<std::string> found;
  for_each_part(target.substr(question_mark + 1), '&', [&](std::string_view pair) {
    const std::size_t equals = pair.find('=');
    if (found || percent_decode(pair.substr(0, equals), true) != name) {
      return;
    }
    const bool has_value = equals != std::string_view::npos;
    found = has_value ? percent_decode(pair.substr(equals + 1), true) : std::string();
  });
  return found;
}

std::string percent_encode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (is_unreserved(byte)) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[byte / 16]);
    encoded.push_back(kDigits[byte % 16]);
  }
  return encoded;
}

std::vector<std::string> path_segments(std::string_view target) {
  std::string_view path = path_of(target);
  if (path.starts_with('/')) {
    path.remove_prefix(1);
  }
  std::vector<std::string> segments;
  if (path.empty()) {
    return segments;
  }
  for_each_part(path, '/', [&segments](std::string_view part) {
    segments.push_back(percent_decode(part, false));
  });
  return segments;
}

}  // namespace stoneport::http
