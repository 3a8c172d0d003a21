/// \file
/// Fixtures of the ports' contract suites: a scripted server that gives faulty answers, and checks
/// of the faults that each call of each port must handle.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http_fixture.hpp"
#include "ports/http_endpoint.hpp"

namespace stoneport::platform_test {
namespace asio = boost::asio;
using core::ErrorCode;
using ports::CallKind;

/// Result of a call through a port: its error, or nullopt for success.
using CallEnd = std::optional<core::Error>;

/// \return the result of \p task without its value.
template <class Value>
asio::awaitable<CallEnd> end_of(asio::awaitable<core::Result<Value>> task) {
  const core::Result<Value> result = co_await std::move(task);
  if (result) {
    co_return CallEnd();
  }
  co_return result.error();
}

/// A call of a port, with the name used in messages.
struct PortCall {
  const char* name;
  CallKind kind;
  std::function<asio::awaitable<CallEnd>(ports::HttpEndpoint)> call;
};

inline ports::EndpointSettings test_settings(core::Duration timeout = http_test::kPatience) {
  ports::EndpointSettings settings;
  settings.timeout = timeout;
  settings.max_answer_bytes = 64 * 1024;
  return settings;
}

/// Client that runs on the same event loop as the servers it calls.
struct ClientFixture {
  explicit ClientFixture(asio::io_context& context)
      : client(context.get_executor(), "test", metrics) {}
  ports::HttpEndpoint endpoint(const core::Address& address,
                               core::Duration timeout = http_test::kPatience) {
    return ports::HttpEndpoint(client, address, time, test_settings(timeout));
  }
  core::Metrics metrics;
  core::SystemTimeSource time;
  http::Client client;
};

/// Answer of the scripted server.
struct ScriptedAnswer {
  unsigned status = 200;
  std::string body;
  std::string retry_after;
  enum class Shape { kWhole, kNone, kCut, kNever } shape = Shape::kWhole;
};

/// Sends \p answer, whatever the request.
inline asio::awaitable<void> answer_with(ScriptedAnswer answer, http::BodySource& body,
                                         http::ResponseWriter& response) {
  co_await http::read_whole(body, 1 << 20);
  if (answer.shape == ScriptedAnswer::Shape::kNone) {
    co_return;
  }
  if (answer.shape == ScriptedAnswer::Shape::kNever) {
    while (!response.client_gone()) {
      asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(1));
      co_await timer.async_wait(http_test::kTuple);
    }
    co_return;
  }
  http::ResponseHead head;
  head.status = answer.status;
  if (!answer.retry_after.empty()) {
    head.headers.set("Retry-After", answer.retry_after);
  }
  const bool cut = answer.shape == ScriptedAnswer::Shape::kCut;
  co_await response.start(std::move(head), answer.body.size() + (cut ? 1 : 0));
  if (!answer.body.empty()) {
    co_await response.write(answer.body);
  }
  if (!cut) {
    co_await response.finish();
  }
}

/// Makes \p call once against a server that sends \p answer.
inline CallEnd call_scripted(const PortCall& call, const ScriptedAnswer& answer,
                             core::Duration timeout = http_test::kPatience) {
  http_test::ServerFixture server(
      [&answer](const http::RequestHead&, http::BodySource& body, http::ResponseWriter& response) {
        return answer_with(answer, body, response);
      });
  ClientFixture client(server.context);
  auto endpoint = client.endpoint(server.server.local_address(), timeout);
  return http_test::run(server.context, call.call(std::move(endpoint)));
}

inline std::string describe(const CallEnd& end) {
  return end ? std::string(core::to_string(end->code)) + " (" + end->message + ")" : "success";
}

inline void check_end(const std::string& name, ErrorCode expected, const CallEnd& end) {
  CPPUNIT_ASSERT_MESSAGE(name + ": " + describe(end), end && end->code == expected);
}

/// Checks the faults that give the same error through every port.
inline void check_common_faults(const std::vector<PortCall>& calls) {
  using Shape = ScriptedAnswer::Shape;
  struct Case {
    const char* name;
    ScriptedAnswer answer;
    ErrorCode read_end;
    ErrorCode effect_end;
    std::optional<core::Duration> retry_after;
  };
  const std::string error = R"({"code":"refused","message":"no"})";
  const std::vector<Case> cases = {
      {"429",
       {429, error, "0.25"},
       ErrorCode::kRateLimited,
       ErrorCode::kRateLimited,
       std::chrono::milliseconds(250)},
      {"429 without a time",
       {429, error, ""},
       ErrorCode::kRateLimited,
       ErrorCode::kRateLimited,
       std::nullopt},
      {"503",
       {503, error, "2"},
       ErrorCode::kUnavailable,
       ErrorCode::kUnavailable,
       std::chrono::seconds(2)},
      {"503 with a broken time",
       {503, error, "-1x"},
       ErrorCode::kUnavailable,
       ErrorCode::kUnavailable,
       std::nullopt},
      {"503 without a document",
       {503, "<html>", ""},
       ErrorCode::kUnavailable,
       ErrorCode::kUnavailable,
       std::nullopt},
      {"500", {500, error, ""}, ErrorCode::kUnavailable, ErrorCode::kOutcomeUnknown, std::nullopt},
      {"400",
       {400, error, ""},
       ErrorCode::kInvalidArgument,
       ErrorCode::kInvalidArgument,
       std::nullopt},
      {"418", {418, error, ""}, ErrorCode::kProtocol, ErrorCode::kProtocol, std::nullopt},
      {"closed without an answer",
       {200, "", "", Shape::kNone},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown,
       std::nullopt},
  };
  for (const PortCall& call : calls) {
    for (const Case& test : cases) {
      const std::string name = std::string(call.name) + ", " + test.name;
      const CallEnd end = call_scripted(call, test.answer);
      check_end(name, call.kind == CallKind::kRead ? test.read_end : test.effect_end, end);
      CPPUNIT_ASSERT_MESSAGE(name, end->retry_after == test.retry_after);
    }
    ScriptedAnswer never;
    never.shape = Shape::kNever;
    const CallEnd late = call_scripted(call, never, std::chrono::milliseconds(20));
    check_end(
        std::string(call.name) + ", never answered",
        call.kind == CallKind::kRead ? ErrorCode::kDeadlineExceeded : ErrorCode::kOutcomeUnknown,
        late);
  }
}

/// \return a local address without a listener.
inline core::Address closed_address() {
  http_test::ServerFixture server;
  return server.server.local_address();
}

inline void check_refused_connection(const std::vector<PortCall>& calls) {
  for (const PortCall& call : calls) {
    asio::io_context context;
    ClientFixture client(context);
    const CallEnd end = http_test::run(context, call.call(client.endpoint(closed_address())));
    check_end(std::string(call.name) + ", refused connection", ErrorCode::kUnavailable, end);
  }
}

/// Faulty body of a 200 answer.
struct BadAnswer {
  std::string body;
  ScriptedAnswer::Shape shape = ScriptedAnswer::Shape::kWhole;
};

inline void check_bad_answers(const PortCall& call, ErrorCode expected,
                              const std::vector<BadAnswer>& answers) {
  for (const BadAnswer& bad : answers) {
    const CallEnd end = call_scripted(call, {200, bad.body, "", bad.shape});
    check_end(std::string(call.name) + ", " + bad.body.substr(0, 200), expected, end);
  }
}

/// \return a body larger than the answer limit of test_settings().
inline std::string oversized_body() {
  return std::string(65 * 1024, ' ');
}

}  // namespace stoneport::platform_test
