/// \file
/// Switches of the load control features of a process, set by the settings file of a deployment.
#pragma once

namespace stoneport::node {

struct LoadControlSettings {
  /// Admission control: client requests are rejected immediately while their service is overloaded.
  bool admission = true;
  /// Processes share findings about replicas that are silent or failing.
  bool shared_health = true;
  /// Request hedging: a repeatable request gets a second call if the first is unusually slow.
  bool second_calls = true;
  /// When capacity is short, whole training steps are served in turn instead of all of them in
  /// part. Off by default because it is incomplete, see docs/design/fair-steps.md.
  bool fair_steps = false;

  bool operator==(const LoadControlSettings&) const = default;
};

}  // namespace stoneport::node
