/// \file
/// Loopback scaffolding of the HTTP contract tests: raw peers on both sides and
/// a handler made of a function. Everything runs on the test's own thread.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/metrics.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "http/server_sent_events.hpp"

namespace stoneport::http_test {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Never reached by a test that passes; ends one that hangs.
inline constexpr core::Duration kPatience = std::chrono::seconds(30);

inline core::MonotonicTime soon(core::Duration from_now = kPatience) {
  return core::SystemTimeSource().now() + from_now;
}

/// Runs \p task on \p context to its end; what it started otherwise may go on.
template <class Value>
Value run(asio::io_context& context, asio::awaitable<Value> task) {
  std::optional<Value> value;
  std::exception_ptr failure;
  asio::co_spawn(context, std::move(task), [&](std::exception_ptr thrown, Value result) {
    failure = thrown;
    value = std::move(result);
  });
  context.restart();
  while (!value) {
    CPPUNIT_ASSERT_MESSAGE("the test hangs", context.run_one_for(kPatience) > 0);
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(*value);
}

inline void run(asio::io_context& context, asio::awaitable<void> task) {
  auto wrapped = [](asio::awaitable<void> inner) -> asio::awaitable<bool> {
    co_await std::move(inner);
    co_return true;
  };
  run<bool>(context, wrapped(std::move(task)));
}

/// Lets \p context work until \p condition holds.
template <class Condition>
void run_until(asio::io_context& context, Condition condition) {
  context.restart();
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("the condition is not reached", context.run_one_for(kPatience) > 0);
  }
}

inline void reset(tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

/// What a raw socket has read.
struct RawText {
  std::string text;
  bool was_reset = false;
};

/// Reads until the other side closes.
inline asio::awaitable<RawText> read_to_end(tcp::socket& socket) {
  RawText read;
  std::array<char, 65536> buffer;
  while (true) {
    auto [error, size] = co_await socket.async_read_some(asio::buffer(buffer), kTuple);
    read.text.append(buffer.data(), size);
    if (error) {
      read.was_reset = error != asio::error::eof;
      co_return read;
    }
  }
}

/// Reads until \p text holds \p mark; false when the other side closes first.
inline asio::awaitable<bool> read_until(tcp::socket& socket, std::string& text, std::string mark) {
  std::array<char, 65536> buffer;
  while (text.find(mark) == std::string::npos) {
    auto [error, size] = co_await socket.async_read_some(asio::buffer(buffer), kTuple);
    text.append(buffer.data(), size);
    if (error) {
      co_return false;
    }
  }
  co_return true;
}

inline asio::awaitable<void> write_raw(tcp::socket& socket, std::string text) {
  co_await asio::async_write(socket, asio::buffer(text), kTuple);
}

/// A handler made of a function.
class FunctionHandler : public http::RequestHandler {
 public:
  using Function = std::function<asio::awaitable<void>(const http::RequestHead&, http::BodySource&,
                                                       http::ResponseWriter&)>;
  explicit FunctionHandler(Function function) : function_(std::move(function)) {}
  asio::awaitable<void> handle(const http::RequestHead& request, http::BodySource& body,
                               http::ResponseWriter& response) override {
    return function_(request, body, response);
  }

 private:
  Function function_;
};

/// Answers with the method, the target and the whole body; 4xx when it breaks.
inline asio::awaitable<void> echo(const http::RequestHead& request, http::BodySource& body,
                                  http::ResponseWriter& response) {
  core::Result<std::string> text = co_await http::read_whole(body, 1 << 20);
  if (!text) {
    http::Response refusal =
        http::error_response(http::status_for(text.error().code), text.error());
    co_await http::respond(response, std::move(refusal));
    co_return;
  }
  http::Response message;
  message.body = request.method + " " + request.target + " [" + *text + "]";
  co_await http::respond(response, std::move(message));
}

/// One server on a free port with the given handler.
struct ServerFixture {
  explicit ServerFixture(FunctionHandler::Function function = echo, http::ServerLimits limits = {})
      : handler(std::move(function)),
        server(context.get_executor(), "test", limits, handler, metrics) {
    server.listen({"127.0.0.1", 0}).value();
  }

  tcp::socket connect() {
    tcp::socket socket(context);
    const core::Address address = server.local_address();
    socket.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    socket.set_option(tcp::no_delay(true));
    return socket;
  }

  /// Sends \p text on a connection of its own and reads until the server closes.
  RawText exchange(const std::string& text, bool end_of_input = false) {
    tcp::socket socket = connect();
    return run(context, send_and_read(socket, text, end_of_input));
  }

  static asio::awaitable<RawText> send_and_read(tcp::socket& socket, std::string text,
                                                bool end_of_input) {
    co_await write_raw(socket, std::move(text));
    if (end_of_input) {
      boost::system::error_code ignored;
      socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    co_return co_await read_to_end(socket);
  }

  double counter(const std::string& name, const std::string& reason = "") {
    core::Labels labels = {{"server", "test"}};
    if (!reason.empty()) {
      labels["reason"] = reason;
    }
    return metrics.counter("stoneport_http_server_" + name, "", labels).Value();
  }

  double gauge(const std::string& name) {
    return metrics.gauge("stoneport_http_server_" + name, "", {{"server", "test"}}).Value();
  }

  core::Metrics metrics;  // what is left on the context counts its end
  asio::io_context context;
  FunctionHandler handler;
  http::Server server;
};

}  // namespace stoneport::http_test
