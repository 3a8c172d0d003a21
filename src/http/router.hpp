/// \file
/// Maps method and path pattern to a handler, for the JSON interfaces.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/server.hpp"

namespace stoneport::http {

/// Values of the {name} segments of a pattern, percent-decoded.
using PathParameters = std::map<std::string, std::string>;

/// A whole request with its path parameters.
struct RoutedRequest {
  RequestHead head;
  PathParameters parameters;
  std::string body;
};

/// Register every route before the server listens. A pattern is a path whose
/// segments are literal or {name}; a last segment {name...} takes the rest.
/// Unmatched paths get 404 and unmatched methods 405, with a JSON error.
class Router : public RequestHandler {
 public:
  using WholeRoute = std::function<boost::asio::awaitable<Response>(RoutedRequest)>;
  using StreamingRoute = std::function<boost::asio::awaitable<void>(
      const RequestHead&, const PathParameters&, BodySource&, ResponseWriter&)>;

  /// \param body_limit_bytes longest request body of whole routes; longer gets 413
  explicit Router(std::size_t body_limit_bytes = 8u << 20);

  /// A route that reads the whole request and answers with a whole response.
  void add(std::string method, std::string pattern, WholeRoute route);
  /// A route that reads or writes its body piece by piece.
  void add_streaming(std::string method, std::string pattern, StreamingRoute route);

  boost::asio::awaitable<void> handle(const RequestHead& request, BodySource& body,
                                      ResponseWriter& response) override;

 private:
  struct Entry {
    std::string method;
    std::vector<std::string> segments;
    StreamingRoute route;
  };
  std::size_t body_limit_bytes_;
  std::vector<Entry> entries_;
};

/// \return a response with that status and JSON text.
Response json_response(unsigned status, std::string json);

}  // namespace stoneport::http
