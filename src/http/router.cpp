#include "http/router.hpp"

#include <algorithm>

namespace stoneport::http {
namespace asio = boost::asio;
namespace {

bool is_parameter(std::string_view segment) {
  return segment.starts_with('{') && segment.ends_with('}');
}

bool takes_the_rest(std::string_view segment) {
  return is_parameter(segment) && segment.ends_with("...}");
}

std::string parameter_name(std::string_view segment) {
  const std::size_t suffix = takes_the_rest(segment) ? 4 : 1;
  return std::string(segment.substr(1, segment.size() - 1 - suffix));
}

std::string join_from(const std::vector<std::string>& segments, std::size_t first) {
  std::string joined;
  for (std::size_t index = first; index < segments.size(); ++index) {
    if (index > first) {
      joined += '/';
    }
    joined += segments[index];
  }
  return joined;
}

std::optional<PathParameters> match(const std::vector<std::string>& pattern,
                                    const std::vector<std::string>& segments) {
  PathParameters parameters;
  for (std::size_t index = 0; index < pattern.size(); ++index) {
    if (takes_the_rest(pattern[index])) {
      parameters[parameter_name(pattern[index])] = join_from(segments, index);
      return parameters;
    }
    if (index >= segments.size()) {
      return std::nullopt;
    }
    if (is_parameter(pattern[index])) {
      parameters[parameter_name(pattern[index])] = segments[index];
    } else if (pattern[index] != segments[index]) {
      return std::nullopt;
    }
  }
  if (segments.size() != pattern.size()) {
    return std::nullopt;
  }
  return parameters;
}

Response method_not_allowed(const std::string& allowed) {
  Response response = error_response(
      405, core::make_error(core::ErrorCode::kInvalidArgument, "method not allowed here"));
  response.head.headers.set("Allow", allowed);
  return response;
}

}  // namespace

Router::Router(std::size_t body_limit_bytes) : body_limit_bytes_(body_limit_bytes) {}

void Router::add(std::string method, std::string pattern, WholeRoute route) {
  StreamingRoute streaming = [limit = body_limit_bytes_, route = std::move(route)](
                                 const RequestHead& request, const PathParameters& parameters,
                                 BodySource& body,
                                 ResponseWriter& writer) -> asio::awaitable<void> {
    core::Result<std::string> text = co_await read_whole(body, limit);
    if (!text) {
      Response refusal = error_response(status_for(text.error().code), text.error());
      co_await respond(writer, std::move(refusal));
      co_return;
    }
    RoutedRequest routed;
    routed.head = request;
    routed.parameters = parameters;
    routed.body = std::move(*text);
    Response response = co_await route(std::move(routed));
    co_await respond(writer, std::move(response));
  };
  add_streaming(std::move(method), std::move(pattern), std::move(streaming));
}

void Router::add_streaming(std::string method, std::string pattern, StreamingRoute route) {
  Entry entry;
  entry.method = std::move(method);
  entry.segments = path_segments(pattern);
  entry.route = std::move(route);
  entries_.push_back(std::move(entry));
}

asio::awaitable<void> Router::handle(const RequestHead& request, BodySource& body,
                                     ResponseWriter& response) {
  const std::vector<std::string> segments = path_segments(request.target);
  std::string allowed;
  for (const Entry& entry : entries_) {
    std::optional<PathParameters> parameters = match(entry.segments, segments);
    if (!parameters) {
      continue;
    }
    if (entry.method == request.method) {
      co_await entry.route(request, *parameters, body, response);
      co_return;
    }
    allowed += allowed.empty() ? entry.method : ", " + entry.method;
  }
  Response refusal;
  if (allowed.empty()) {
    refusal =
        error_response(404, core::make_error(core::ErrorCode::kNotFound, "no route of that path"));
  } else {
    refusal = method_not_allowed(allowed);
  }
  co_await respond(response, std::move(refusal));
}

}  // namespace stoneport::http
