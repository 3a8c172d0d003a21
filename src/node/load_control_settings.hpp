/// \file
/// Which decisions about too much load, or uneven load, a process makes. Each may be switched off
/// by the settings file of a deployment. Plain values.
#pragma once

namespace stoneport::node {

struct LoadControlSettings {
  /// Requests of clients are refused at once while their service refuses for load.
  bool admission = true;
  /// Processes tell each other of replicas that are silent or fail.
  bool shared_health = true;
  /// A request that may be repeated gets a second call beside one that takes unusually long.
  bool second_calls = true;
  /// Steps of trainers are met whole where there is too little room for all. Off unless it is asked
  /// for: docs/design/fair-steps.md names what is missing.
  bool fair_steps = false;

  bool operator==(const LoadControlSettings&) const = default;
};

}  // namespace stoneport::node
