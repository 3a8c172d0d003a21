#include "filters/back_end_exchange.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include "core/numbers.hpp"
#include "filters/caller_headers.hpp"
#include "routing/deadline.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {

using SendResult = http::ClientResult<std::unique_ptr<http::ClientResponse>>;

http::SendOptions send_options(const RequestContext& request) {
  http::SendOptions options;
  options.deadline = request.deadline;
  options.fresh_connection = !request.repeatable;
  return options;
}

http::ClientError cancelled_exchange() {
  return {core::make_error(core::ErrorCode::kCancelled, "the exchange was cancelled"),
          http::RequestProgress::kMaybeSent};
}

}  // namespace

http::RequestHead forwarded_head(const RequestContext& request, core::MonotonicTime now) {
  http::RequestHead head;
  head.method = request.head->method;
  head.target = request.target;
  head.headers = request.head->headers;
  http::remove_hop_by_hop(head.headers);
  head.headers.set(kDeadlineHeader, routing::remaining_milliseconds(request.deadline, now));
  return head;
}

bool says_not_run(const http::ResponseHead& head) {
  constexpr unsigned kServiceUnavailable = 503;
  return head.status == kServiceUnavailable && head.headers.find(kNotRunHeader) == "true";
}

std::optional<std::uint64_t> body_length(const http::HeaderMap& headers,
                                         std::optional<std::uint64_t> without_length) {
  if (headers.find("Transfer-Encoding")) {
    return std::nullopt;
  }
  const auto length = headers.find("Content-Length");
  return length ? core::parse_number<std::uint64_t>(*length) : without_length;
}

asio::awaitable<SendResult> send_to_back_end(http::Client& client, RequestContext& request,
                                             core::Address address, http::RequestHead head,
                                             http::BodySource& body) {
  const http::SendOptions options = send_options(request);
  if (!request.repeatable) {
    co_return co_await client.send(std::move(address), std::move(head), body,
                                   request.content_length, options);
  }
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::cancellation_signal cancel;
  request.response->when_client_gone([&cancel] { cancel.emit(asio::cancellation_type::terminal); });
  SendResult result = cancelled_exchange();
  try {
    result = co_await asio::co_spawn(
        executor,
        client.send(std::move(address), std::move(head), body, request.content_length, options),
        asio::bind_cancellation_slot(cancel.slot(), asio::use_awaitable));
  } catch (const boost::system::system_error&) {
    // Asio ends a cancelled coroutine by this exception; the result says so already.
  }
  request.response->when_client_gone({});
  co_return result;
}

asio::awaitable<Outcome> relay(RequestContext& request, http::ClientResponse& answer) {
  http::ResponseHead head = answer.head();
  const std::optional<std::uint64_t> length = body_length(head.headers, std::nullopt);
  http::remove_hop_by_hop(head.headers);
  // After the caller left, the answer to a request that must not be repeated is
  // still read to its end, so that its outcome can be recorded.
  bool caller_gone = false;
  std::optional<http::ClientGoneCallback> on_gone;
  if (request.repeatable) {
    on_gone.emplace(*request.response, [&answer] { answer.cancel(); });
  }
  core::Result<void> sent = co_await request.response->start(std::move(head), length);
  while (true) {
    caller_gone = caller_gone || !sent;
    if (caller_gone && request.repeatable) {
      co_return caller_left(OutcomeKind::kCompleted);
    }
    core::Result<std::optional<std::string>> piece = co_await answer.body().next();
    if (!piece) {
      co_return Aborted{piece.error(), caller_gone, OutcomeKind::kUnknown};
    }
    if (!*piece) {
      break;
    }
    sent = co_await request.response->write(**piece);
  }
  sent = co_await request.response->finish();
  if (caller_gone || !sent) {
    co_return caller_left(OutcomeKind::kCompleted);
  }
  co_return Responded{};
}

}  // namespace stoneport::filters
