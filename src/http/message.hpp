/// \file
/// HTTP/1.1 messages as plain values. No Beast type leaves src/http.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stoneport::http {

class BodyReservation;

/// Header fields in order of arrival; names compare without regard to case.
class HeaderMap {
 public:
  using Field = std::pair<std::string, std::string>;

  void add(std::string name, std::string value);
  /// Replaces every field of that name by one.
  void set(std::string_view name, std::string value);
  void erase(std::string_view name);
  /// \return the first value of that name.
  std::optional<std::string_view> find(std::string_view name) const;
  /// \return every value of that name, in order.
  std::vector<std::string_view> find_all(std::string_view name) const;
  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

/// Removes the fields that concern one connection alone: Connection and those
/// that it names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*.
/// For whoever passes a message on to another connection.
void remove_hop_by_hop(HeaderMap& headers);

struct RequestHead {
  std::string method = "GET";
  std::string target = "/";  ///< origin form, with the query as it came
  HeaderMap headers;
};

/// Range of the statuses of responses. A recipient treats a response with another one as a failure
/// of the server (RFC 9110, section 15).
inline constexpr unsigned kMinStatus = 100;
inline constexpr unsigned kMaxStatus = 599;

struct ResponseHead {
  unsigned status = 200;
  HeaderMap headers;
};

/// Whole small messages, for JSON interfaces.
struct Request {
  RequestHead head;
  std::string body;
};
struct Response {
  ResponseHead head;
  std::string body;
  /// Memory that \a body takes, if it is accounted for.
  std::shared_ptr<const BodyReservation> reservation = nullptr;
};

/// \return \p target up to, not including, its query.
std::string_view path_of(std::string_view target);
/// \return the percent-decoded value of one query parameter of \p target.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);
/// \return \p text with everything but unreserved characters percent-encoded.
std::string percent_encode(std::string_view text);
/// \return the percent-decoded segments of the path of \p target, split at '/'.
std::vector<std::string> path_segments(std::string_view target);

}  // namespace stoneport::http
