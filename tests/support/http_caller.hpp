/// \file
/// A blocking HTTP client for system tests. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/metrics.hpp"
#include "http/client.hpp"

namespace stoneport::tests {

/// What came of one exchange; status 0 when it failed.
struct HttpAnswer {
  unsigned status = 0;
  http::HeaderMap headers;
  std::string body;
  std::string failure;
  bool ok() const { return status >= 200 && status < 300; }
  /// \return the body as JSON; discarded when it is none.
  nlohmann::json document() const { return nlohmann::json::parse(body, nullptr, false); }
};

struct HttpCall {
  core::Address address;
  http::Request request;
};

class HttpCaller {
 public:
  HttpCaller() : client_(context_.get_executor(), "test", metrics_) {}

  /// How long a call waits for its answer; 30 s unless told.
  void set_call_limit(core::Duration limit) { call_limit_ = limit; }

  HttpAnswer get(const core::Address& address, const std::string& target);
  HttpAnswer send(const core::Address& address, const std::string& method,
                  const std::string& target, const nlohmann::json& body);
  /// Sends all calls at once, each on a connection of its own. Calls \p on_sent
  /// shortly after, then waits for every answer.
  std::vector<HttpAnswer> send_all(const std::vector<HttpCall>& calls,
                                   const std::function<void()>& on_sent);

 private:
  core::Duration call_limit_ = std::chrono::seconds(30);
  core::Metrics metrics_;
  boost::asio::io_context context_{1};
  http::Client client_;
};

}  // namespace stoneport::tests
