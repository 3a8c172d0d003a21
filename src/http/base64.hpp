/// \file
/// Base64 text (RFC 4648, with padding), by Beast. Plain code.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stoneport::http {

std::string base64_encode(std::string_view bytes);
/// \return nothing when \p text is no base64.
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace stoneport::http
