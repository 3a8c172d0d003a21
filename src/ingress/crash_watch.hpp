/// \file
/// Watches replicas that broke a call and still accept connections until it is known whether they
/// crashed: the listening socket of a crashed process may close later than its connections, since
/// the order in which they close is not defined. Not thread-safe. docs/design/crashing-requests.md
#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/backoff.hpp"
#include "core/metrics.hpp"
#include "ingress/replica_directory.hpp"
#include "ports/replica_client.hpp"

namespace stoneport::ingress {

/// A call whose connection broke while the replica may have been running its request.
struct BrokenCall {
  core::RequestFingerprint content;
  std::string request_id;  ///< for the log
  ReplicaPointer replica;
  core::MonotonicTime broke_at{};
  std::uint64_t position = 0;  ///< events of the text by then; zero for other requests
};

enum class CrashVerdict {
  kCrashed,  ///< nothing listens at the replica's address any more
  kAlive,    ///< the replica has answered a call since
  kUnknown,  ///< neither within the time of the watch, or the replica is leaving
};
std::string_view to_string(CrashVerdict verdict);

struct CrashWatchSettings {
  /// Delay before the first check of a replica and between later ones, which doubles.
  core::BackoffSettings check_delay = {std::chrono::milliseconds(60),
                                       std::chrono::milliseconds(480)};
  /// Number of checks after the latest broken call: the last one is 900 ms later. Each costs a
  /// connection.
  std::uint32_t max_checks = 4;
};

class CrashWatch {
 public:
  using Listener = std::function<void(const BrokenCall&, CrashVerdict)>;

  /// References must outlive the watch.
  /// \param listener called once for each watched request and replica
  CrashWatch(ports::ReplicaClient& client, core::Metrics& metrics, CrashWatchSettings settings,
             Listener listener);

  /// Checks the replica of \p call on \p executor until there is a verdict.
  void watch(const boost::asio::any_io_executor& executor, BrokenCall call);
  /// \return whether it is unknown at the moment if \p replica has crashed.
  bool is_watched(const core::ReplicaId& replica) const { return watched_.contains(replica); }

 private:
  struct Watched {
    ReplicaPointer replica;
    std::vector<BrokenCall> calls;  ///< the latest of each content
    std::uint32_t checks = 0;       ///< since the latest broken call
  };

  boost::asio::awaitable<void> run(ReplicaPointer replica);
  /// Checks the replica once, and reports the calls for which that gives a verdict.
  boost::asio::awaitable<void> check(Watched& watched);
  void report_answered(Watched& watched);
  void report_all(Watched& watched, CrashVerdict verdict);
  void report(const BrokenCall& call, CrashVerdict verdict);

  static constexpr std::size_t kVerdicts = 3;

  ports::ReplicaClient& client_;
  CrashWatchSettings settings_;
  Listener listener_;
  std::array<prometheus::Counter*, kVerdicts> verdicts_{};
  std::map<core::ReplicaId, Watched> watched_;
};

}  // namespace stoneport::ingress
