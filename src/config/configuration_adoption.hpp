/// \file
/// Decides which configuration a daemon takes into force, whom it asks for a
/// newer one, and when it knows enough to serve. Plain code: no clock, no
/// sockets. One per daemon, on its control thread.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "config/configuration_record.hpp"
#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::config {

/// What became of a configuration that arrived.
enum class AdoptionVerdict {
  kAdopted,  ///< newer: it is in force now
  kSame,     ///< the one in force
  kOlder,    ///< lower than the one in force: refused
  kFork,     ///< the revision in force with other content: refused, a fault elsewhere
  kGap,      ///< builds on a newer one than is in force: refused
  kBadHash,  ///< not the whole that it was taken from: refused
  kInvalid,  ///< verified, but not valid for this program: refused
};

/// \return the verdict's name as it stands in counters, such as "bad_hash".
std::string_view to_string(AdoptionVerdict verdict);

struct Adoption {
  AdoptionVerdict verdict = AdoptionVerdict::kSame;
  Configuration configuration;  ///< with kAdopted, what is in force now
};

/// The rules of adoption. Each is switched off only to show that a check fails
/// without it.
struct AdoptionRules {
  bool refuse_older = true;
  bool verify_hash = true;
  bool wait_until_vouched = true;
};

/// A member that may be asked for its configuration.
struct ConfigurationPeer {
  core::NodeId node;
  core::ZoneName zone;
  core::Revision revision;  ///< as it last announced
};

class ConfigurationAdoption {
 public:
  explicit ConfigurationAdoption(core::ZoneName own_zone, AdoptionRules rules = {})
      : own_zone_(std::move(own_zone)), rules_(rules) {}

  /// Judges what a peer, the store or a commit of our own brought, and takes it
  /// into force when it is newer and verified.
  Adoption take(const ConfigurationDelta& delta);
  /// Judges a revision and hash without the documents; never adopts.
  AdoptionVerdict compare(core::Revision revision, std::uint64_t hash) const;

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

  /// \return what is in force.
  const ConfigurationRecord& record() const { return record_; }
  core::Revision revision() const { return record_.revision; }

 private:
  core::ZoneName own_zone_;
  AdoptionRules rules_;
  ConfigurationRecord record_;
  std::uint64_t hash_ = 0;  ///< of the record
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
