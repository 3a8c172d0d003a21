/// \file
/// Tracks the epoch under which this daemon works on each event, and whether it has been fenced.
/// The trainer is the arbiter: it talks to one daemon at a time and sends the highest epoch that
/// it has seen in a response.
#pragma once

#include <map>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

/// Epochs of the events that this daemon owns.
class EventOwnership {
 public:
  /// Records that the table service granted \p epoch to this process. It applies to events taken
  /// over from now on; events already owned keep their epoch.
  void grant(core::Epoch epoch);

  struct Opening {
    core::Epoch epoch;
    /// Whether another daemon may have begun this step, so that its streams must be searched for.
    bool taken_over = false;
  };
  /// Called when a trainer opens a step of \p event. An event that is not owned, or that another
  /// daemon has served since, is taken over under max(granted, epoch_seen + 1).
  Opening open(const core::EventName& event, core::Epoch epoch_seen);

  /// Records that an engine or the trainer has seen a higher epoch for \p event than this
  /// daemon's. The next open() takes a new epoch above the current one.
  void mark_lost(const core::EventName& event);

  /// \return whether the trainer has seen a higher epoch than ours for \p event.
  bool is_fenced(const core::EventName& event, core::Epoch epoch_seen) const;
  /// \return the epoch of \p event, or zero when it was never opened here.
  core::Epoch epoch_of(const core::EventName& event) const;

 private:
  core::Epoch granted_;
  struct Entry {
    core::Epoch epoch;
    bool lost = false;
  };
  std::map<core::EventName, Entry> owned_;
};

}  // namespace stoneport::rollout
