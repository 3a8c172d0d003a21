/// \file
/// Decides which configuration a daemon takes into force, whom it asks for a
/// newer one, and when it knows enough to serve. Plain code: no clock, no
/// sockets. One per daemon, on its control thread.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::config {

/// A whole configuration that has been verified against its stated hash.
struct ConfigurationOffer {
  core::Revision revision;
  std::uint64_t hash = 0;
};

enum class AdoptionVerdict {
  kAdopt,  ///< newer: take it into force
  kSame,   ///< the one in force
  kOlder,  ///< lower than the one in force: refused
  kFork,   ///< the same revision with other content: refused, and a fault elsewhere
};

/// A member that may be asked for its configuration.
struct ConfigurationPeer {
  core::NodeId node;
  core::ZoneName zone;
  core::Revision revision;  ///< as it last announced
};

class ConfigurationAdoption {
 public:
  explicit ConfigurationAdoption(core::ZoneName own_zone) : own_zone_(std::move(own_zone)) {}

  /// Judges \p offer; after kAdopt it is in force.
  AdoptionVerdict consider(const ConfigurationOffer& offer);

  /// The store was read, and what it held has been considered.
  void heard_store() { heard_store_ = true; }
  /// A peer in \p zone that serves itself answered, and what it held has been
  /// considered. Peers that are not ready vouch for nothing.
  void heard_ready_peer(const core::ZoneName& zone) { zones_heard_.insert(zone); }

  /// Turns true, and stays so, once the store or peers in two zones were heard
  /// and nothing newer is announced by \p peers.
  bool update_ready(const std::vector<ConfigurationPeer>& peers);
  bool ready() const { return ready_; }

  /// \return a peer that announced a newer revision than the one in force: one
  /// of the own zone first, by lot among equals. Nothing when no peer did.
  std::optional<ConfigurationPeer> newer_peer(const std::vector<ConfigurationPeer>& peers,
                                              core::RandomSource& random) const;
  /// \return a peer of a zone that has not vouched yet, by lot; nothing once ready.
  std::optional<ConfigurationPeer> vouching_peer(const std::vector<ConfigurationPeer>& peers,
                                                 core::RandomSource& random) const;

  core::Revision revision() const { return in_force_.revision; }
  std::uint64_t hash() const { return in_force_.hash; }

 private:
  core::ZoneName own_zone_;
  ConfigurationOffer in_force_;
  bool heard_store_ = false;
  std::set<core::ZoneName> zones_heard_;
  bool ready_ = false;
};

/// \return the time until a daemon's next reading of the store's head: so long
/// that all \p member_count daemons together make about \p fleet_rate readings
/// a second, not below \p shortest, spread by half either way.
core::Duration next_store_poll(std::size_t member_count, double fleet_rate, core::Duration shortest,
                               core::RandomSource& random);

}  // namespace stoneport::config
