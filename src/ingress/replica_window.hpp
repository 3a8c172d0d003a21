/// \file
/// Selects the replicas of a service that are compared for one request. A service may have
/// thousands, and comparing all of them for each request would cost in proportion to the fleet, for
/// example 212 rating calls per second over 2,222 replicas. The best of a few dozen is about as
/// good as the best of all. As each caller has a fixed window with a different start, callers
/// spread over the service and reuse their connections.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {

/// \return the start of the window of \p owner among \p count replicas sorted by id. Adding or
/// removing a replica moves it by at most one position.
std::size_t window_start(std::string_view owner, std::size_t count);

/// Walks around \p replicas, which are sorted by id, until enough are found.
/// \param start first position
/// \param enough number of replicas with capacity to find; if there are fewer, all are visited
/// \param usable whether a replica may get the request at all
/// \param has_room whether it has capacity now; replicas without are returned too, but extend the
/// window
template <class Usable, class HasRoom>
std::vector<ReplicaPointer> replicas_in_window(const std::vector<ReplicaPointer>& replicas,
                                               std::size_t start, std::size_t enough,
                                               const Usable& usable, const HasRoom& has_room) {
  // Keep all of them sorted by id.
  const bool is_small = replicas.size() <= enough;
  const std::size_t first = is_small ? 0 : start;
  std::vector<ReplicaPointer> found;
  std::size_t with_room = 0;
  for (std::size_t step = 0; step < replicas.size() && with_room < enough; ++step) {
    const ReplicaPointer& replica = replicas[(first + step) % replicas.size()];
    if (usable(*replica)) {
      found.push_back(replica);
      with_room += has_room(*replica) ? 1 : 0;
    }
  }
  return found;
}

}  // namespace stoneport::ingress
