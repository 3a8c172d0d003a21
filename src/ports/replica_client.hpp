/// \file
/// Port to replicas of services and models: unary calls, token streams, reports and weight orders.
/// Clients are not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "http/body.hpp"
#include "http/message.hpp"

namespace stoneport::ports {

/// Addresses one incarnation of a replica. A call never reaches another one at the same address.
struct ReplicaTarget {
  core::ReplicaId id;
  core::Address address;
};

struct ReplicaCall {
  std::string request_id;
  http::RequestHead head;  ///< as the client sent it, without connection fields and credentials
  http::SharedText body;
  core::Duration time_left{};  ///< timeout after which the replica stops working on the call
  /// Number of the last event that the client received, if it resumes a stream.
  std::optional<std::uint64_t> resume_after = std::nullopt;
  /// Whether to open a new connection. A pooled one may turn out to be closed only after the
  /// request was written.
  bool fresh_connection = false;
  core::TenantName tenant = {};  ///< tenant of the request; empty if none
  /// Longest time until the answer is complete, if this process has no memory for it at first.
  /// Waiting for memory does not count against \a time_left; it is no sign of a slow replica.
  core::Duration longest_wait{};
  /// Called when the answer has begun and waits for memory of this process.
  std::function<void()> on_memory_wait = {};
};

/// Kind of failure of a call without a usable answer.
enum class CallFailureKind {
  kNotRun,      ///< the replica reported so, or the call never reached it
  kGone,        ///< another replica now has the address; the call was not run
  kMayHaveRun,  ///< the answer was truncated, malformed or timed out
};
struct CallFailure {
  CallFailureKind kind = CallFailureKind::kMayHaveRun;
  std::string reason;
  std::optional<core::Duration> retry_after = std::nullopt;
  bool unreachable = false;  ///< no connection, or no answer in time
  /// Whether a pooled connection was closed before an answer; no evidence of bad health.
  bool stale_connection = false;
  /// The replica answered, but this process had no memory for the answer; says nothing about the
  /// replica.
  bool answer_dropped = false;
};

/// \return whether the connection broke while the replica may have been running the call.
inline bool is_broken_connection(const CallFailure& failure) {
  return failure.kind == CallFailureKind::kMayHaveRun && !failure.unreachable &&
         !failure.answer_dropped;
}

[[noreturn]] inline void throw_exception_from_error(const CallFailure& failure,
                                                    const boost::source_location&) {
  throw std::logic_error("value() called on a failed call: " + failure.reason);
}
template <class T>
using CallResult = boost::system::result<T, CallFailure>;

/// Complete answer of a replica that ran the request.
struct ReplicaAnswer {
  http::Response response;
  std::string signature;               ///< proof by the replica that it ran the request
  core::Duration waited_for_memory{};  ///< after its first byte, for memory of this process
};

/// One event of a token stream.
struct TokenEvent {
  std::uint64_t number = 0;  ///< consecutive within a stream
  std::string data;
  std::string wire_text;                       ///< the event as received, with its blank line
  std::optional<core::WeightVersion> version;  ///< set if the version changed with this event
};

/// Token stream whose response head has been received. Destroying it closes the connection unless
/// the end of the stream was read.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  virtual const http::ResponseHead& head() const = 0;
  virtual std::optional<core::WeightVersion> version() const = 0;
  /// \return the next event; nullopt at the regular end of the stream.
  virtual boost::asio::awaitable<core::Result<std::optional<TokenEvent>>> next() = 0;
  /// \return whether the framing distinguishes a complete stream from a truncated one.
  virtual bool can_detect_truncation() const = 0;
  virtual void cancel() = 0;
};

struct StreamAnswer {
  std::unique_ptr<TokenStream> stream;     ///< set for a 2xx answer
  std::optional<ReplicaAnswer> rejection;  ///< any other answer of a replica that ran the request
};

struct ReplicaReport {
  std::map<core::ModelName, core::WeightVersion> versions;
  bool busy = false;              ///< whether an order is in progress
  std::uint64_t order_count = 0;  ///< orders accepted since the replica started
};

struct WeightOrder {
  core::ModelName model;
  core::WeightVersion version;
  std::string holder;
  core::Epoch fence;
  std::uint64_t expected_order_count = 0;
};
enum class OrderOutcome {
  kAccepted,
  kAlreadyLoaded,  ///< the replica already has that version
  kConflict,       ///< another order is in progress, or the order count differs
  kRefused,        ///< fenced, sent to the wrong replica or invalid
  kNoAnswer,       ///< outcome unknown; the order may be executed later
};

class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;
  virtual boost::asio::awaitable<CallResult<ReplicaAnswer>> call(ReplicaTarget target,
                                                                 ReplicaCall call) = 0;
  virtual boost::asio::awaitable<CallResult<StreamAnswer>> open_stream(ReplicaTarget target,
                                                                       ReplicaCall call) = 0;
  virtual boost::asio::awaitable<core::Result<ReplicaReport>> report(ReplicaTarget target) = 0;
  virtual boost::asio::awaitable<OrderOutcome> order(ReplicaTarget target, WeightOrder order) = 0;
  /// \return whether connections to the replica's address are refused, which means that the replica
  /// has ended. False if this is unknown, for example in a network partition.
  virtual boost::asio::awaitable<bool> refuses_connections(ReplicaTarget target) = 0;
  /// Closes pooled connections to a replica that is leaving or has ended.
  virtual void forget(const core::Address& address) = 0;
  /// \return whether the pool has a connection to \p address.
  virtual bool keeps_connection(const core::Address& address) const = 0;
};

}  // namespace stoneport::ports
