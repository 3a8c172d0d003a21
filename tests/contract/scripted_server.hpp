/// \file
/// A server of the HTTP client's tests that runs one script a connection.
#pragma once

#include "contract/http_fixture.hpp"

namespace stoneport::http_test {

using Script = std::function<asio::awaitable<void>(tcp::socket)>;

struct ScriptedServer {
  explicit ScriptedServer(Script connection_script)
      : script(std::move(connection_script)),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(context, accept(), asio::detached);
  }
  asio::awaitable<void> accept() {
    while (true) {
      auto [error, socket] = co_await acceptor.async_accept(kTuple);
      if (error) {
        co_return;
      }
      ++connections;
      asio::co_spawn(context, script(std::move(socket)), asio::detached);
    }
  }
  core::Address address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

  http::ClientResult<http::Response> fetch(http::Request request = {},
                                           http::SendOptions options = {soon()}) {
    return run(context, client.fetch(address(), std::move(request), options));
  }
  double counter(const std::string& name) {
    return metrics.counter("stoneport_http_client_" + name, "", {{"client", "test"}}).Value();
  }

  core::Metrics metrics;  // what is left on the context counts its end
  asio::io_context context;
  http::Client client{context.get_executor(), "test", metrics};
  Script script;
  tcp::acceptor acceptor;
  int connections = 0;
};

}  // namespace stoneport::http_test
