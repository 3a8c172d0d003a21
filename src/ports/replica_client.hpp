/// \file
/// Port to replicas of services and models: whole calls, token streams, reports
/// and orders. One client belongs to one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "http/message.hpp"

namespace stoneport::ports {

/// One life of one replica. A call reaches this one or none.
struct ReplicaTarget {
  core::ReplicaId id;
  core::Address address;
};

struct ReplicaCall {
  std::string request_id;
  http::RequestHead head;  ///< as the client sent it, without connection fields and credentials
  std::string body;
  core::Duration time_left{};  ///< the replica stops working after that
  /// The client resumes a stream behind this event.
  std::optional<std::uint64_t> resume_after = std::nullopt;
  /// Never a kept connection: it may turn out closed after the request was written.
  bool fresh_connection = false;
  core::TenantName tenant = {};  ///< whose request it is; empty for nobody's
};

/// How a call without a usable answer ended.
enum class CallFailureKind {
  kNotRun,      ///< the replica said so, or the call never reached it
  kGone,        ///< another replica has the address; not run
  kMayHaveRun,  ///< cut, garbled, or no answer in time
};
struct CallFailure {
  CallFailureKind kind = CallFailureKind::kMayHaveRun;
  std::string reason;
  std::optional<core::Duration> retry_after = std::nullopt;
  bool unreachable = false;  ///< no connection, or silence
  /// A kept connection ended before an answer: it says nothing of the replica's health.
  bool stale_connection = false;
};

[[noreturn]] inline void throw_exception_from_error(const CallFailure& failure,
                                                    const boost::source_location&) {
  throw std::logic_error("value() taken from a failed call: " + failure.reason);
}
template <class T>
using CallResult = boost::system::result<T, CallFailure>;

/// A whole answer of a replica that ran the request.
struct ReplicaAnswer {
  http::Response response;
  std::string signature;  ///< the replica's proof that it ran the request
};

/// One event of a token stream.
struct TokenEvent {
  std::uint64_t number = 0;  ///< rises by one within a text
  std::string data;
  std::string wire_text;                       ///< the event as it came, blank line included
  std::optional<core::WeightVersion> version;  ///< set where the version changed
};

/// A stream whose head has arrived. Destroying it closes its connection unless
/// the end was read.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  virtual const http::ResponseHead& head() const = 0;
  virtual std::optional<core::WeightVersion> version() const = 0;
  /// \return the next event, or nothing at the end of a whole stream.
  virtual boost::asio::awaitable<core::Result<std::optional<TokenEvent>>> next() = 0;
  /// \return whether the framing tells a whole stream from one that was cut.
  virtual bool can_detect_truncation() const = 0;
  virtual void cancel() = 0;
};

struct StreamAnswer {
  std::unique_ptr<TokenStream> stream;     ///< set for a 2xx
  std::optional<ReplicaAnswer> rejection;  ///< any other answer of a replica that ran it
};

struct ReplicaReport {
  std::map<core::ModelName, core::WeightVersion> versions;
  bool busy = false;              ///< an order is under way
  std::uint64_t order_count = 0;  ///< orders taken in this life
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
  kAlreadyLoaded,  ///< the replica has that version already
  kConflict,       ///< another order is under way, or the count differs
  kRefused,        ///< fenced, misdirected or invalid
  kNoAnswer,       ///< may be carried out later
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
  /// \return whether nothing listens at the replica's address: it has ended. False when that
  /// cannot be told, as behind a cut.
  virtual boost::asio::awaitable<bool> refuses_connections(ReplicaTarget target) = 0;
  /// Closes kept connections to a replica that is leaving or gone.
  virtual void forget(const core::Address& address) = 0;
  /// \return whether a call to \p address needs no new connection.
  virtual bool keeps_connection(const core::Address& address) const = 0;
};

}  // namespace stoneport::ports
