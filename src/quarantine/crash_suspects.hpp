/// \file
/// Requests during which replicas crashed, and the restrictions under which each may still run. A
/// crash affects innocent requests too, so the cause is found by elimination: a request that some
/// replica serves completely is cleared, and a crash is charged only to those of its requests that
/// were present at the most crashes. Records of two processes can be merged in any order. Not
/// thread-safe. docs/design/crashing-requests.md
#pragma once

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::quarantine {

struct SuspectSettings {
  /// Maximum number of suspects; those with the fewest crashes are evicted first. 256 take about
  /// 100 KB and 25 packets.
  std::size_t max_suspects = 256;
  /// How long a suspect is remembered that nobody sends: clients retry within seconds, but
  /// operators who look for the cause need minutes.
  core::Duration retention = std::chrono::minutes(10);
  /// How long a cleared suspect is remembered, so that every process learns of it.
  core::Duration cleared_retention = std::chrono::minutes(1);
  /// Number of crashes after which a request runs only on a replica without other requests.
  std::size_t crashes_before_alone = 2;
  /// Number of crashes after which a request no longer runs.
  std::size_t crashes_before_held = 3;
};

/// A request during which replicas crashed.
struct Suspect {
  core::RequestFingerprint content;
  /// Incremented each time the request is cleared or crashes are withdrawn; records of a lower
  /// generation are void.
  std::uint64_t generation = 0;
  std::set<core::ReplicaId> ended;  ///< incarnations of replicas that crashed while running it
  core::MonotonicTime forget_at{};

  bool is_cleared() const { return ended.empty(); }
};

/// Restriction on where and when a request may run.
enum class RunRestriction {
  kFree,              ///< no restriction
  kNotOnLastReplica,  ///< one run at a time, and never on the last healthy replica of its service
  kAlone,             ///< in addition, only on a replica that runs nothing else
  kUndecided,         ///< must wait: it is held if the replicas in doubt have crashed
  kHeld,              ///< must not run
};
std::string_view to_string(RunRestriction restriction);

class CrashSuspects {
 public:
  explicit CrashSuspects(SuspectSettings settings = {}) : settings_(settings) {}

  /// Records that \p replica crashed while running \p content. \return whether this is new.
  bool note_end(const core::RequestFingerprint& content, const core::ReplicaId& replica,
                core::MonotonicTime now);
  /// Clears \p content because a replica served it completely or an operator released it. \return
  /// whether this is new.
  bool clear(const core::RequestFingerprint& content, core::MonotonicTime now);
  /// Withdraws the crashes of \p replicas from the record of \p content, which keeps the others: it
  /// was present at them and has not caused them. \return whether this is new.
  bool withdraw_ends(const core::RequestFingerprint& content,
                     const std::set<core::ReplicaId>& replicas, core::MonotonicTime now);
  /// Merges the record of another process. \return whether it contained anything new.
  bool merge(const Suspect& remote, core::MonotonicTime now);
  /// Records that \p content was sent again.
  void note_seen(const core::RequestFingerprint& content, core::MonotonicTime now);
  void forget_old(core::MonotonicTime now);

  /// \param was_served whether a replica has served \p content before: of two requests that were
  /// present at the same crashes, the other one is the suspect
  /// \param in_doubt number of replicas that may have crashed under it, besides the recorded ones
  RunRestriction restriction_of(const core::RequestFingerprint& content, bool was_served = false,
                                std::size_t in_doubt = 0) const;
  /// \return whether no request is under suspicion.
  bool empty() const { return suspects_.empty(); }
  /// \return the record of \p content, or null.
  const Suspect* find(const core::RequestFingerprint& content) const;
  const std::map<core::RequestFingerprint, Suspect>& all() const { return suspects_; }

 private:
  using Suspects = std::map<core::RequestFingerprint, Suspect>;
  /// \return the entry of \p content, which is created if necessary and may evict another one.
  Suspect& entry_of(const core::RequestFingerprint& content, core::MonotonicTime now);
  /// \return the number of crashes of \p suspect not explained by a worse suspect, or by an equal
  /// one if \p was_served.
  std::size_t charged_ends(const Suspect& suspect, bool was_served) const;
  /// \return whether another request was present at exactly the same crashes as \p suspect.
  bool has_equal(const Suspect& suspect) const;

  SuspectSettings settings_;
  Suspects suspects_;
};

}  // namespace stoneport::quarantine
