/// \file
/// Answers that all the emulator's interfaces share.
#pragma once

#include <nlohmann/json.hpp>

#include "core/error.hpp"
#include "http/message.hpp"
#include "http/router.hpp"

namespace stoneport::emulator {

/// \return a response with that status and document.
http::Response json_answer(unsigned status, const nlohmann::json& document);
/// \return 204 without a body.
http::Response empty_answer();
/// \return {"code","message"} under the status that the code stands for, with
/// Retry-After in seconds (decimals) where the error says when to come back.
http::Response error_answer(const core::Error& error);
/// \return 204, or the error.
http::Response outcome_answer(const core::Result<void>& outcome);

core::Error invalid_argument(std::string message);
/// \return 404 for a thing of the kind \p what.
http::Response not_found_answer(const std::string& what);

/// \return a route of a function that takes the request and answers at once.
template <class Function>
http::Router::WholeRoute at_once(Function function) {
  return [function](http::RoutedRequest request) -> boost::asio::awaitable<http::Response> {
    co_return function(request);
  };
}

/// \return the decimal number in \p text, or \p otherwise.
std::uint64_t number_or(std::optional<std::string> text, std::uint64_t otherwise);

}  // namespace stoneport::emulator
