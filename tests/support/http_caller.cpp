#include "support/http_caller.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;

/// Long enough for a request on loopback to reach its back end.
constexpr std::chrono::milliseconds kSentPause(300);

asio::awaitable<void> exchange(http::Client& client, HttpCall call, HttpAnswer& answer,
                               std::size_t& open, core::Duration limit) {
  const core::SystemTimeSource time;
  http::SendOptions options;
  options.deadline = time.now() + limit;
  options.fresh_connection = true;
  auto response = co_await client.fetch(call.address, std::move(call.request), options);
  if (response) {
    answer.status = response->head.status;
    answer.headers = response->head.headers;
    answer.body = std::move(response->body);
  } else {
    answer.failure = response.error().error.message;
  }
  --open;
}

}  // namespace

HttpAnswer HttpCaller::get(const core::Address& address, const std::string& target) {
  HttpCall call{address, {}};
  call.request.head.target = target;
  return send_all({call}, nullptr).front();
}

HttpAnswer HttpCaller::send(const core::Address& address, const std::string& method,
                            const std::string& target, const nlohmann::json& body) {
  HttpCall call{address, {}};
  call.request.head.method = method;
  call.request.head.target = target;
  call.request.head.headers.set("Content-Type", "application/json");
  call.request.body = body.dump();
  return send_all({call}, nullptr).front();
}

std::vector<HttpAnswer> HttpCaller::send_all(const std::vector<HttpCall>& calls,
                                             const std::function<void()>& on_sent) {
  std::vector<HttpAnswer> answers(calls.size());
  std::size_t open = calls.size();
  for (std::size_t index = 0; index < calls.size(); ++index) {
    asio::co_spawn(context_, exchange(client_, calls[index], answers[index], open, call_limit_),
                   asio::detached);
  }
  context_.restart();
  if (on_sent) {
    context_.run_for(kSentPause);
    on_sent();
    context_.restart();
  }
  while (open > 0 && context_.run_one() > 0) {
  }
  return answers;
}

}  // namespace stoneport::tests
