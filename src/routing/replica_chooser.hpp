/// \file
/// Interface of the decision which replica gets a request, so that the full
/// decision and its baselines can be swapped. Plain code, owned by one thread.
#pragma once

#include <optional>
#include <span>

#include "routing/replica_load.hpp"

namespace stoneport::routing {

/// What the decision needs to know of a request.
struct ChoiceRequest {
  /// Of the prompt, shortest first (prefix_hashes()); empty for ordinary requests.
  std::span<const std::uint64_t> prefixes;
  std::size_t prompt_bytes = 0;
  /// Requests with the same key are kept together (prompt_group()).
  std::optional<std::uint64_t> group;
  /// Replicas on an older version than this one cost more.
  core::WeightVersion preferred_version;
  /// Replicas that earlier attempts used.
  std::span<const core::ReplicaId> excluded;
};

enum class ChoiceOutcome {
  kChosen,
  kNoReplica,  ///< none is known that may get new work
  kAllFull,    ///< every replica that may get work is at its limit
};

struct Choice {
  ChoiceOutcome outcome = ChoiceOutcome::kNoReplica;
  std::size_t index = 0;  ///< into the candidates, when chosen
};

class ReplicaChooser {
 public:
  virtual ~ReplicaChooser() = default;
  /// Decides; the caller then calls started() on the chosen candidate's load.
  virtual Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                        core::MonotonicTime now) = 0;
};

/// Indexes of the candidates that may get the request, or why there are none.
struct Eligible {
  std::vector<std::size_t> indexes;
  ChoiceOutcome outcome = ChoiceOutcome::kNoReplica;
};

/// Applies the rules that hold for every chooser: nothing for replicas that are
/// leaving or down, suspect ones only when no usable one is left, none beyond
/// its limit, none that was excluded.
Eligible eligible_candidates(std::span<const Candidate> candidates, const ChoiceRequest& request,
                             core::MonotonicTime now);

/// One after the other, whatever their load.
class RoundRobinChooser : public ReplicaChooser {
 public:
  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  std::size_t next_ = 0;
};

/// The fewest requests of our own in flight; ties go to the one after the last.
class LeastOutstandingChooser : public ReplicaChooser {
 public:
  Choice choose(std::span<const Candidate> candidates, const ChoiceRequest& request,
                core::MonotonicTime now) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace stoneport::routing
