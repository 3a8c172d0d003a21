#include "http/beast_conversion.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace stoneport::http {
namespace beast = boost::beast;
namespace {

constexpr std::size_t kLongestField = std::numeric_limits<std::uint16_t>::max() - 2;
constexpr std::size_t kUsualHeadBytes = 512;
constexpr std::string_view kLineEnd = "\r\n";

bool is_framing(beast::http::field name) {
  switch (name) {
    case beast::http::field::connection:
    case beast::http::field::content_length:
    case beast::http::field::keep_alive:
    case beast::http::field::proxy_connection:
    case beast::http::field::transfer_encoding:
      return true;
    default:
      return false;
  }
}

bool is_field_value(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return character == '\r' || character == '\n' || character == '\0';
  });
}

}  // namespace

bool is_token(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x80 && std::isalnum(byte) != 0) || kMarks.find(character) != kMarks.npos;
  });
}

HeaderMap to_header_map(const BeastFields& fields) {
  HeaderMap headers;
  for (const auto& field : fields) {
    headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  return headers;
}

HeadText::HeadText(std::string_view start_line) {
  text_.reserve(kUsualHeadBytes);
  text_.append(start_line).append(kLineEnd);
}

void HeadText::add(std::string_view name, std::string_view value) {
  text_.append(name).append(": ").append(value).append(kLineEnd);
}

core::Result<void> HeadText::add_all(const HeaderMap& headers,
                                     std::optional<beast::http::field> left_out) {
  for (const auto& [name, value] : headers.fields()) {
    const bool is_short = name.size() < kLongestField && value.size() < kLongestField;
    if (!is_short || !is_token(name) || !is_field_value(value)) {
      return core::make_error(core::ErrorCode::kInvalidArgument,
                              "not a valid header field: " + name.substr(0, 64));
    }
    const beast::http::field known = beast::http::string_to_field(name);
    if (!is_framing(known) && known != left_out) {
      add(name, value);
    }
  }
  return {};
}

std::string HeadText::finish() {
  text_.append(kLineEnd);
  return std::move(text_);
}

std::string status_line(unsigned version, unsigned status) {
  const auto reason = beast::http::obsolete_reason(beast::http::int_to_status(status));
  std::string line = version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  line.append(std::to_string(status)).append(" ");
  return line.append(reason.data(), reason.size());
}

core::Error parse_error(const boost::system::error_code& error) {
  using beast::http::error::body_limit;
  using beast::http::error::buffer_overflow;
  using beast::http::error::end_of_stream;
  using beast::http::error::header_limit;
  using beast::http::error::partial_message;
  if (error == body_limit || error == header_limit || error == buffer_overflow) {
    return core::make_error(core::ErrorCode::kTooLarge, error.message());
  }
  if (error == partial_message || error == end_of_stream || !is_malformed(error)) {
    return core::make_error(core::ErrorCode::kTruncated,
                            "connection ended within a message: " + error.message());
  }
  return core::make_error(core::ErrorCode::kProtocol, "malformed message: " + error.message());
}

bool is_malformed(const boost::system::error_code& error) {
  return error.category() ==
         beast::http::make_error_code(beast::http::error::body_limit).category();
}

}  // namespace stoneport::http
