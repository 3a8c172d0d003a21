/// \file
/// One exchange with a back end: what goes out, and how its answer is passed on.
#pragma once

#include "filters/filter.hpp"
#include "http/client.hpp"

namespace stoneport::filters {

/// \return the head that a back end gets: all that the caller sent but the
/// fields of its own connection, with the rest of the deadline.
http::RequestHead forwarded_head(const RequestContext& request, core::MonotonicTime now);

/// \return whether a back end's answer says that it did not run the request.
bool says_not_run(const http::ResponseHead& head);
/// \return the length of a body by its head: Content-Length, nothing for a
/// chunked one. \a without_length is what a head with neither means.
std::optional<std::uint64_t> body_length(const http::HeaderMap& headers,
                                         std::optional<std::uint64_t> without_length);

/// Sends the request. When it is repeatable, a caller that leaves ends the
/// exchange, with kCancelled.
boost::asio::awaitable<http::ClientResult<std::unique_ptr<http::ClientResponse>>> send_to_back_end(
    http::Client& client, RequestContext& request, core::Address address, http::RequestHead head,
    http::BodySource& body);

/// Passes the whole answer on to the caller, a piece at a time.
boost::asio::awaitable<Outcome> relay(RequestContext& request, http::ClientResponse& answer);

}  // namespace stoneport::filters
