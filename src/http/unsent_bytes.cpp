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
  const bool any_is_stalled = std::any_of(
      responses_.begin(), responses_.end(),
      [&](const auto& entry) { return entry.second.left > 0 && is_stalled(entry.second, now); });
  const auto counts = [&](const Response& response) {
    return response.left > 0 && (!any_is_stalled || is_stalled(response, now));
  };
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
