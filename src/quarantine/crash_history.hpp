/// \file
/// Crashes of replicas in detail, to tell a request that crashes its replicas from replicas that
/// crash for another reason. A request that crashes its replicas stops each of them at the same
/// point, and is present at each crash. A text that one replica carried past the point at which
/// another one crashed has not crashed the other one, unless it was present at the majority of its
/// service's crashes: then it may crash replicas some time after it begins, wherever it stands.
/// Not thread-safe. docs/design/crashing-requests.md
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::quarantine {

/// A replica that crashed while it ran a request.
struct CrashedRun {
  core::RequestFingerprint content;
  core::ServiceName service;
  core::ReplicaId replica;
  core::MonotonicTime at{};
  /// Events of the text by then, those of earlier runs included; not known of other processes'
  /// runs.
  std::optional<std::uint64_t> position;
};

struct CrashHistorySettings {
  /// As long as suspects are remembered.
  core::Duration retention = std::chrono::minutes(10);
  /// Replicas that crash for one reason do so within this time, as far as it is noticed here.
  core::Duration same_moment = std::chrono::milliseconds(100);
};

class CrashHistory {
 public:
  explicit CrashHistory(CrashHistorySettings settings = {}) : settings_(settings) {}

  /// Records \p crash. What is already known of the same run is kept.
  void note(const CrashedRun& crash);
  /// Records a crash of \p replica under requests that are not known, or under none.
  void note_replica(const core::ServiceName& service, const core::ReplicaId& replica,
                    core::MonotonicTime at);
  /// \return the replicas whose crash \p content has outlived: another run, earlier or later, had
  /// carried it past the point at which they crashed.
  std::set<core::ReplicaId> outlived(const core::RequestFingerprint& content) const;
  /// \return whether \p content was present at more than half of the crashes of its service since
  /// the first crash under it, that moment included.
  bool was_at_majority_of_crashes(const core::RequestFingerprint& content) const;
  /// Forgets the runs of \p content, which a replica has served completely.
  void forget(const core::RequestFingerprint& content) { runs_.erase(content); }
  void forget_old(core::MonotonicTime now);

 private:
  struct Run {
    core::MonotonicTime at{};
    std::optional<std::uint64_t> position;
  };
  struct Runs {
    core::ServiceName service;
    std::map<core::ReplicaId, Run> by_replica;
  };

  /// \return whether \p other has carried the text past the end of \p run.
  static bool is_past(const Run& other, const Run& run);
  /// \return the number of replicas of \p service that crashed at \p since or later.
  std::size_t crashes_since(const core::ServiceName& service, core::MonotonicTime since) const;

  CrashHistorySettings settings_;
  std::map<core::RequestFingerprint, Runs> runs_;
  /// Time of the crash of each replica.
  std::map<core::ServiceName, std::map<core::ReplicaId, core::MonotonicTime>> crashes_;
};

}  // namespace stoneport::quarantine
