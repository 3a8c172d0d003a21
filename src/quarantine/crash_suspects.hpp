/// \file
/// Requests under which replicas ended, and on which terms each may still run. A replica that
/// ends takes innocent requests with it, so the cause is told from them by elimination: a request
/// that some replica serves whole is cleared, and an end is charged only to those of its requests
/// under which the most replicas have ended. Records of two processes merge in any order. Plain
/// code; belongs to one thread. docs/design/crashing-requests.md
#pragma once

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::quarantine {

struct SuspectSettings {
  /// Suspects that a process remembers; those with the fewest ends give way. 256 take about
  /// 100 KB and 25 packets.
  std::size_t most_suspects = 256;
  /// A suspect that nobody has sent for this long is forgotten: clients that come back do so
  /// within seconds, operators who look for the cause need minutes.
  core::Duration retention = std::chrono::minutes(10);
  /// How long it is remembered that a suspect was cleared: until every process has heard of it.
  core::Duration cleared_retention = std::chrono::minutes(1);
  /// Ends after which a request runs beside no other.
  std::size_t ends_before_alone = 2;
  /// Ends after which a request runs no more.
  std::size_t ends_before_held = 3;
};

/// What is known of one request under which replicas ended.
struct Suspect {
  core::RequestFingerprint content;
  /// Rises each time that the request is cleared; what is known of a lower one is void.
  std::uint64_t generation = 0;
  std::set<core::ReplicaId> ended;  ///< lives of replicas that ended while they ran it
  core::MonotonicTime forget_at{};

  bool is_cleared() const { return ended.empty(); }
};

/// On which terms a request may run.
enum class Terms {
  kFree,       ///< like any other
  kSpareLast,  ///< one run at a time, and never on the last healthy replica of its service
  kAlone,      ///< besides, on a replica that runs nothing else
  kHeld,       ///< not at all
};
std::string_view to_string(Terms terms);

class CrashSuspects {
 public:
  explicit CrashSuspects(SuspectSettings settings = {}) : settings_(settings) {}

  /// \p replica ended while it ran \p content. \return whether that is news.
  bool note_end(const core::RequestFingerprint& content, const core::ReplicaId& replica,
                core::MonotonicTime now);
  /// \p content was served whole, or an operator lets it go. \return whether that is news.
  bool clear(const core::RequestFingerprint& content, core::MonotonicTime now);
  /// Takes in what another process knows. \return whether that is news.
  bool merge(const Suspect& heard, core::MonotonicTime now);
  /// \p content came again.
  void note_seen(const core::RequestFingerprint& content, core::MonotonicTime now);
  void forget_old(core::MonotonicTime now);

  /// \param was_served some replica has served \p content before: of two requests that were at the
  /// same ends, it is the other one
  Terms terms_of(const core::RequestFingerprint& content, bool was_served = false) const;
  /// \return whether nothing is under suspicion.
  bool empty() const { return suspects_.empty(); }
  /// \return what is known of \p content, or null.
  const Suspect* find(const core::RequestFingerprint& content) const;
  const std::map<core::RequestFingerprint, Suspect>& all() const { return suspects_; }

 private:
  using Suspects = std::map<core::RequestFingerprint, Suspect>;
  /// \return the entry of \p content, for which another one may have to give way.
  Suspect& entry_of(const core::RequestFingerprint& content, core::MonotonicTime now);
  /// \return the ends of \p suspect that no worse suspect explains, or no equal one where it
  /// \p was_served.
  std::size_t charged_ends(const Suspect& suspect, bool was_served) const;
  /// \return whether another request was there at each of the ends of \p suspect.
  bool has_equal(const Suspect& suspect) const;

  SuspectSettings settings_;
  Suspects suspects_;
};

}  // namespace stoneport::quarantine
