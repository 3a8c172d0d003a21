/// \file
/// Keeps the samples of one prompt on one engine, whose cache then holds the
/// prompt once, for as long as that engine has room and weights young enough.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "rollout/staleness.hpp"

namespace stoneport::rollout {

/// One engine as the daemon knows it.
struct EngineCandidate {
  core::ReplicaId id;
  std::uint32_t in_flight = 0;    ///< streams of this daemon, exact
  std::uint32_t reported = 0;     ///< running and waiting as reported, lagging
  std::uint32_t max_running = 0;  ///< zero when unknown
  std::optional<core::WeightVersion> version;
  bool suspect = false;  ///< used only when nothing else is left
  bool closed = false;   ///< takes nothing for now: refused a stream lately, or is full
};

struct PlacementSettings {
  /// A group stays on its engine up to this multiple of the mean load.
  double load_bound = 1.25;
};

struct PlacementInput {
  std::uint32_t prompt = 0;
  std::vector<EngineCandidate> candidates;
  AgeRule rule;
  core::MonotonicTime now;
  core::Duration expected_run{};
};

/// Picks an engine for a group that has none, or whose engine is full.
class EngineChooser {
 public:
  virtual ~EngineChooser() = default;
  /// \param candidates never empty
  /// \return one of them.
  virtual core::ReplicaId choose(std::uint32_t prompt,
                                 const std::vector<EngineCandidate>& candidates) = 0;
};

/// The engine with the least load for its size; equal ones by rendezvous hashing
/// of the prompt's number, so that groups spread.
class LeastLoadedChooser : public EngineChooser {
 public:
  core::ReplicaId choose(std::uint32_t prompt,
                         const std::vector<EngineCandidate>& candidates) override;
};

class GroupPlacement {
 public:
  GroupPlacement(EngineChooser& chooser, PlacementSettings settings)
      : chooser_(chooser), settings_(settings) {}

  /// \return the engine for the next sample of that prompt, or nothing when all
  /// engines are too old, closed or gone: ask again later.
  std::optional<core::ReplicaId> place(const PlacementInput& input,
                                       const PublicationRhythm& rhythm);
  /// The engine of \p prompt failed: its next sample is placed anew.
  void forget(std::uint32_t prompt);

 private:
  EngineChooser& chooser_;
  PlacementSettings settings_;
  std::map<std::uint32_t, core::ReplicaId> home_;
};

}  // namespace stoneport::rollout
