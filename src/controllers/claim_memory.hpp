/// \file
/// What one process remembers of its claims: those granted lately and those that
/// were never sent under and may still stand in the store. Plain code, bounded.
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

/// Granted claims by row key; forgets the oldest beyond its capacity. It saves
/// store calls, and a repeat that comes during an outage learns the truth.
class GrantedClaims {
 public:
  explicit GrantedClaims(std::size_t capacity) : capacity_(capacity) {}

  void add(const std::string& row_key, GrantedClaim claim);
  /// \return null when unknown; valid until the next add() or remove().
  GrantedClaim* find(const std::string& row_key);
  void remove(const std::string& row_key);

 private:
  std::size_t capacity_;
  std::map<std::string, GrantedClaim> claims_;
  std::deque<std::string> order_;
};

/// A claim under which nothing was ever sent, and which is to be released.
struct AbandonedClaim {
  std::string row_key;
  core::WriteId claim;
  core::MonotonicTime since;
  /// When to look for it next, and the pause after that; the pause doubles.
  core::MonotonicTime next_check;
  core::Duration check_interval = std::chrono::seconds(2);
};

class AbandonedClaims {
 public:
  explicit AbandonedClaims(std::size_t capacity) : capacity_(capacity) {}

  /// \return false when the oldest had to be forgotten for it.
  bool add(AbandonedClaim claim);
  bool contains(const core::WriteId& claim) const;
  void remove(const core::WriteId& claim);
  /// Forgets those abandoned before \p limit: a write of theirs cannot arrive any
  /// more. \return how many.
  std::size_t remove_older_than(core::MonotonicTime limit);
  /// \return those to look for now; each is due again after its interval.
  std::vector<AbandonedClaim> take_due(core::MonotonicTime now);

 private:
  std::size_t capacity_;
  std::deque<AbandonedClaim> claims_;
};

}  // namespace stoneport::controllers
