#include "http/unsent_bytes.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::http {

void UnsentBytes::begin(ConnectionId connection, const std::string& caller, std::uint64_t bytes,
                        core::MonotonicTime now) {
  end(connection);
  responses_[connection] = {caller, bytes, now};
  total_ += bytes;
}

void UnsentBytes::taken(ConnectionId connection, std::uint64_t bytes, core::MonotonicTime now) {
  const auto found = responses_.find(connection);
  if (found == responses_.end() || bytes == 0) {
    return;
  }
  const std::uint64_t taken = std::min(bytes, found->second.left);
  found->second.left -= taken;
  found->second.last_progress = now;
  total_ -= taken;
}

void UnsentBytes::note_send_queue(ConnectionId connection, std::uint64_t bytes,
                                  core::MonotonicTime now) {
  const auto found = responses_.find(connection);
  if (found == responses_.end()) {
    return;
  }
  if (bytes < found->second.send_queue) {
    found->second.last_progress = now;
  }
  found->second.send_queue = bytes;
}

std::uint64_t UnsentBytes::kept_bytes(ConnectionId connection) const {
  const auto found = responses_.find(connection);
  return found == responses_.end() ? 0 : found->second.left;
}

void UnsentBytes::end(ConnectionId connection) {
  const auto found = responses_.find(connection);
  if (found == responses_.end()) {
    return;
  }
  total_ -= found->second.left;
  responses_.erase(found);
}

bool UnsentBytes::is_stalled(const Response& response, core::MonotonicTime now) const {
  return now - response.last_progress >= limits_.stalled_after;
}

std::optional<UnsentBytes::ConnectionId> UnsentBytes::connection_to_cut(
    core::MonotonicTime now) const {
  if (limits_.most_bytes == 0 || total_ <= limits_.most_bytes) {
    return std::nullopt;
  }
  const std::optional<ConnectionId> stalled = stalled_connection(now);
  return stalled ? stalled : largest([](const Response& response) { return response.left > 0; });
}

std::optional<UnsentBytes::ConnectionId> UnsentBytes::stalled_connection(
    core::MonotonicTime now) const {
  return largest(
      [&](const Response& response) { return response.left > 0 && is_stalled(response, now); });
}

std::optional<UnsentBytes::ConnectionId> UnsentBytes::largest(const Filter& counts) const {
  std::unordered_map<std::string, std::uint64_t> of_caller;
  for (const auto& [connection, response] : responses_) {
    of_caller[response.caller] += counts(response) ? response.left : 0;
  }
  std::optional<ConnectionId> chosen;
  std::tuple<std::uint64_t, std::uint64_t, ConnectionId> most;
  for (const auto& [connection, response] : responses_) {
    const std::tuple size{of_caller.at(response.caller), response.left, connection};
    if (counts(response) && (!chosen || size > most)) {
      chosen = connection;
      most = size;
    }
  }
  return chosen;
}

}  // namespace stoneport::http
