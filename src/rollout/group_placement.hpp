/// \file
/// Places all samples of a prompt on one engine, so that the prompt is cached only once, as long
/// as that engine has capacity and sufficiently new weights.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

/// State of one engine as known to the daemon.
struct EngineCandidate {
  core::ReplicaId id;
  std::uint32_t in_flight = 0;  ///< exact number of this daemon's streams
  std::uint32_t reported = 0;  ///< running and waiting streams of all daemons, from the last report
  std::uint32_t max_running = 0;  ///< zero when unknown
  std::optional<core::WeightVersion> version;
  bool suspect = false;  ///< used only when no other engine is available
  bool closed = false;   ///< gets no streams for now: recently refused one, or is full
};

struct PlacementSettings {
  /// Load of an engine, as a multiple of the mean, up to which a group stays on it.
  double load_bound = 1.25;
};

struct PlacementInput {
  std::uint32_t prompt = 0;
  std::vector<EngineCandidate> candidates;
  AgeRule rule;
  core::MonotonicTime now;
  core::Duration expected_run{};
};

/// Selects an engine for a group that has none or whose engine is full.
class EngineChooser {
 public:
  virtual ~EngineChooser() = default;
  /// \param candidates never empty
  /// \return the id of one of the candidates.
  virtual core::ReplicaId choose(std::uint32_t prompt,
                                 const std::vector<EngineCandidate>& candidates) = 0;
};

/// Selects the engine with the lowest load relative to its size. Ties are broken by rendezvous
/// hashing of the prompt number, which spreads the groups.
class LeastLoadedChooser : public EngineChooser {
 public:
  core::ReplicaId choose(std::uint32_t prompt,
                         const std::vector<EngineCandidate>& candidates) override;
};

/// Remembers the engine of each group and places its samples there.
class GroupPlacement {
 public:
  GroupPlacement(EngineChooser& chooser, PlacementSettings settings)
      : chooser_(chooser), settings_(settings) {}

  /// \return the engine for the next sample of the prompt, or nothing when all engines have too
  /// old weights, are closed or are gone; the caller retries later.
  std::optional<core::ReplicaId> place(const PlacementInput& input,
                                       const PublicationRate& publication_rate);
  /// Forgets the engine of \p prompt after a failure, so that its next sample is placed again.
  void forget(std::uint32_t prompt);

 private:
  EngineChooser& chooser_;
  PlacementSettings settings_;
  std::map<std::uint32_t, core::ReplicaId> home_;
};

}  // namespace stoneport::rollout
