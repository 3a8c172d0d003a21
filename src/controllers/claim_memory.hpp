/// \file
/// In-memory, bounded record of a process's own claims: recently granted ones, and
/// abandoned ones that may still exist in the store.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "controllers/claim_record.hpp"
#include "core/time.hpp"

namespace stoneport::controllers {

/// A claim granted by this process.
struct GrantedClaim {
  ClaimRecord record;
  core::Revision revision;
};

/// Cache of granted claims by row key; evicts the oldest entry when full. It saves store
/// calls and lets a repeated request be answered correctly during a store outage.
class GrantedClaims {
 public:
  explicit GrantedClaims(std::size_t capacity) : capacity_(capacity) {}

  void add(const std::string& row_key, GrantedClaim claim);
  /// \return the claim, or null when unknown; valid until the next add() or remove()
  GrantedClaim* find(const std::string& row_key);
  void remove(const std::string& row_key);

 private:
  std::size_t capacity_;
  std::map<std::string, GrantedClaim> claims_;
  std::deque<std::string> order_;
};

/// A claim under which no request was sent and whose row has to be released.
struct AbandonedClaim {
  std::string row_key;
  core::WriteId claim;
  core::MonotonicTime since;
  /// Time of the next check of the row, and the delay until the one after; the delay
  /// doubles with each check.
  core::MonotonicTime next_check;
  core::Duration check_interval = std::chrono::seconds(2);
};

class AbandonedClaims {
 public:
  explicit AbandonedClaims(std::size_t capacity) : capacity_(capacity) {}

  /// \return false when the oldest claim was evicted to make room
  bool add(AbandonedClaim claim);
  bool contains(const core::WriteId& claim) const;
  void remove(const core::WriteId& claim);
  /// Removes the claims abandoned before \p limit, whose writes can no longer reach the
  /// store.
  /// \return the number of removed claims
  std::size_t remove_older_than(core::MonotonicTime limit);
  /// \return the claims that are due for a check; each is rescheduled after its interval
  std::vector<AbandonedClaim> take_due(core::MonotonicTime now);

 private:
  std::size_t capacity_;
  std::deque<AbandonedClaim> claims_;
};

}  // namespace stoneport::controllers
