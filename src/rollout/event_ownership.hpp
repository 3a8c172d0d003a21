/// \file
/// Which epoch this daemon works under for each event, and when it must stop.
/// The trainer is the arbiter: it talks to one daemon at a time and names the
/// highest epoch that it has seen in an answer.
#pragma once

#include <map>

#include "core/identifiers.hpp"

namespace stoneport::rollout {

class EventOwnership {
 public:
  /// The table service granted \p epoch to this process. It is used for events
  /// taken over from now on; an event already owned keeps its epoch.
  void grant(core::Epoch epoch);

  struct Opening {
    core::Epoch epoch;
    /// Another daemon may have begun this step; look for its streams.
    bool taken_over = false;
  };
  /// A trainer opens a step of \p event here. An unowned event, or one that
  /// another daemon served since, is taken under max(granted, epoch_seen + 1).
  Opening open(const core::EventName& event, core::Epoch epoch_seen);

  /// An engine or the trainer showed that a higher epoch than ours exists for
  /// \p event: the next open takes a new one, above ours.
  void lose(const core::EventName& event);

  /// \return whether the trainer has seen a higher epoch than ours for \p event.
  bool is_fenced(const core::EventName& event, core::Epoch epoch_seen) const;
  /// \return zero when the event was never opened here.
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
