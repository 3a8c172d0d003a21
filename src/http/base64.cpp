#include "http/base64.hpp"

#include <boost/beast/core/detail/base64.hpp>

namespace stoneport::http {
namespace base64 = boost::beast::detail::base64;

std::string base64_encode(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  const auto [written, read] = base64::decode(bytes.data(), text.data(), text.size());
  // Beast stops at the first sign that is none of the alphabet, padding included.
  const std::string_view rest = text.substr(read);
  const bool is_padding = rest.empty() || rest == "=" || rest == "==";
  if (!is_padding || text.size() % 4 != 0) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

}  // namespace stoneport::http
