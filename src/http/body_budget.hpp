/// \file
/// Decides which message bodies may be in memory at the same time. A body asks for the bytes that
/// it needs before it is read, and waits in order of arrival while there is no room for it. Bodies
/// of known length ask once, so that none waits while it holds memory. One of unknown length asks
/// for more while it is read; when several of them have used up the limit, the first one goes
/// beyond it, so that they do not wait for each other forever. Plain code, owned by one thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace stoneport::http {

/// Most of what requests send and answer is far below this size.
inline constexpr std::uint64_t kSmallBodyBytes = 64 * 1024;

struct BodyBudgetLimits {
  /// Of all bodies together, in bytes; zero for no limit. Exceeded by at most one body, and by none
  /// whose length is known and below the limit.
  std::uint64_t max_bytes = 0;
  /// Bodies up to this size have a quarter of the limit to themselves and do not wait for larger
  /// ones.
  std::uint64_t small_body_bytes = kSmallBodyBytes;
};

class BodyBudget {
 public:
  /// Identifies one body; tickets rise in order of arrival.
  using Ticket = std::uint64_t;

  explicit BodyBudget(BodyBudgetLimits limits);

  /// Asks for \p bytes for a new body. The ticket is to be released, also if it was never granted.
  Ticket request(std::uint64_t bytes);
  /// Asks for \p bytes in all for a body that has been granted fewer. \return the tickets that are
  /// granted by this.
  std::vector<Ticket> grow(Ticket ticket, std::uint64_t bytes);
  /// Gives back what a body holds beyond \p bytes. \return the tickets that are granted by this.
  std::vector<Ticket> shrink(Ticket ticket, std::uint64_t bytes);
  /// Gives back all that a body holds, or ends its wait. \return the tickets granted by this.
  std::vector<Ticket> release(Ticket ticket);

  /// \return whether the bytes that \p ticket asked for last may be used.
  bool is_granted(Ticket ticket) const;
  std::uint64_t held_bytes() const { return small_.held + large_.held; }
  /// \return the number of bodies that wait.
  std::size_t waiting() const;
  /// \return the bytes that the waiting bodies ask for in addition to what they hold.
  std::uint64_t waiting_bytes() const;

 private:
  struct Body {
    std::uint64_t held = 0;
    std::uint64_t wanted = 0;
    bool is_small = false;  ///< whether \a held counts in the pool of small bodies
  };
  struct Pool {
    std::uint64_t limit = 0;
    std::uint64_t held = 0;
    std::set<Ticket> waiting = {};  ///< bodies that hold nothing yet

    bool has_room(std::uint64_t bytes) const { return held + bytes <= limit; }
  };
  bool is_small(std::uint64_t bytes) const { return bytes <= limits_.small_body_bytes; }
  Pool& pool_of(bool is_small) { return is_small ? small_ : large_; }
  void grant(Body& body);
  bool try_grow(Ticket ticket);
  void grant_growing(std::vector<Ticket>& granted);
  /// \return whether a body waits to grow within the pool of small bodies, or within the other one.
  bool has_growing(bool small) const;
  void grant_new(Pool& pool, std::vector<Ticket>& granted);
  std::vector<Ticket> grant_waiting();

  BodyBudgetLimits limits_;
  Pool small_;
  Pool large_;
  std::map<Ticket, Body> bodies_;
  std::set<Ticket> growing_;          ///< bodies that hold some bytes and wait for more
  std::optional<Ticket> over_limit_;  ///< the one body that may exceed the limit
  Ticket last_ticket_ = 0;
};

}  // namespace stoneport::http
