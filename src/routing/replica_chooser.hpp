/// \file
/// Interface of replica choice, which allows the cost-based choice and its baselines to be
/// exchanged. Not thread-safe.
#pragma once

#include <optional>
#include <span>

#include "routing/replica_load.hpp"

namespace stoneport::routing {

/// Properties of a request that the choice depends on.
struct ChoiceRequest {
  /// Hashes of the prompt's prefixes, shortest first (prefix_hashes()); empty for ordinary
  /// requests.
  std::span<const std::uint64_t> prefixes;
  std::size_t prompt_bytes = 0;
  /// Requests with the same key are sent to the same replica if possible (prompt_group()).
  std::optional<std::uint64_t> group;
  /// Replicas with an older version than this one cost more.
  core::WeightVersion preferred_version;
  /// Replicas used by earlier attempts.
  std::span<const core::ReplicaId> excluded;
};

enum class ChoiceOutcome {
  kChosen,
  kNoReplica,  ///< no known replica may get new work
  kAllFull,    ///< all replicas that may get work are at their limit
};

struct Choice {
  ChoiceOutcome outcome = ChoiceOutcome::kNoReplica;
  std::size_t index = 0;  ///< index of the chosen candidate
};

class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;
  /// Chooses a replica. The caller then calls started() on the load of the chosen candidate.
  virtual Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                        core::MonotonicTime now) = 0;
};

/// Indexes of the candidates that may get the request, or the reason why there are none.
struct Eligible {
  std::vector<std::size_t> indexes;
  ChoiceOutcome outcome = ChoiceOutcome::kNoReplica;
};

/// Applies the rules common to all choosers: excludes replicas that are leaving, down, at their
/// limit or explicitly excluded, and suspect ones unless no other is usable.
Eligible eligible_candidates(std::span<const Candidate> candidates, const ChoiceRequest& request,
                             core::MonotonicTime now);

/// Chooses replicas in turn regardless of load.
class RoundRobinChooser : public ReplicaChooser {
 public:
  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  std::size_t next_ = 0;
};

/// Chooses the replica with the fewest requests of this process in flight; ties go to the one after
/// the last choice.
class LeastOutstandingChooser : public ReplicaChooser {
 public:
  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace stoneport::routing
