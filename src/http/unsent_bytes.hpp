/// \file
/// Counts the bytes of responses that clients have not taken yet, and names the connection to cut
/// when they are too many. A client that does not read makes the process keep its whole response;
/// without a bound, a few dozen of them take the memory that all others need. Plain code, owned by
/// one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/time.hpp"

namespace stoneport::http {

struct UnsentLimits {
  /// Of all connections of a server together, in bytes; zero for no limit.
  std::uint64_t most_bytes = 0;
  /// A client that has taken nothing for this long counts as stalled. Well above the round trips
  /// between regions and the pauses of a busy client.
  core::Duration stalled_after = std::chrono::milliseconds(500);
};

class UnsentBytes {
 public:
  using ConnectionId = std::uint64_t;

  explicit UnsentBytes(UnsentLimits limits) : limits_(limits) {}

  /// A response of \p bytes begins to go out on \p connection, which has none at this moment.
  /// \param caller whose connection it is; the connections of one caller count together
  void begin(ConnectionId connection, const std::string& caller, std::uint64_t bytes,
             core::MonotonicTime now);
  /// The client of \p connection took \p bytes more.
  void taken(ConnectionId connection, std::uint64_t bytes, core::MonotonicTime now);
  /// Of what \p connection took, \p bytes are still in the kernel's send queue. A client that reads
  /// slowly makes progress there long before the kernel takes more.
  void note_send_queue(ConnectionId connection, std::uint64_t bytes, core::MonotonicTime now);
  /// Nothing is kept for \p connection any more.
  void end(ConnectionId connection);

  std::uint64_t total() const { return total_; }
  /// \return what to cut so that the total falls below its limit: the largest connection of the
  /// caller for which most is kept, stalled ones first; nothing while the total is within it.
  std::optional<ConnectionId> connection_to_cut(core::MonotonicTime now) const;
  /// \return the largest stalled connection of the caller for which most is kept, if any.
  std::optional<ConnectionId> stalled_connection(core::MonotonicTime now) const;
  /// \return the bytes kept for \p connection.
  std::uint64_t kept_bytes(ConnectionId connection) const;

 private:
  struct Response {
    std::string caller;
    std::uint64_t left = 0;
    core::MonotonicTime last_progress{};
    std::uint64_t send_queue = 0;  ///< as noted last
  };
  using Filter = std::function<bool(const Response&)>;
  /// \return the largest connection that \p counts of the caller for which most is kept.
  std::optional<ConnectionId> largest(const Filter& counts) const;
  bool is_stalled(const Response& response, core::MonotonicTime now) const;

  UnsentLimits limits_;
  std::unordered_map<ConnectionId, Response> responses_;
  std::uint64_t total_ = 0;
};

}  // namespace stoneport::http
