#include "config/configuration_adoption.hpp"

#include <algorithm>

namespace stoneport::config {
namespace {

constexpr std::size_t kZonesToVouch = 2;

std::optional<ConfigurationPeer> pick(const std::vector<ConfigurationPeer>& candidates,
                                      core::RandomSource& random) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random.uniform(0, candidates.size() - 1)];
}

std::vector<ConfigurationPeer> in_zone(const std::vector<ConfigurationPeer>& peers,
                                       const core::ZoneName& zone) {
  std::vector<ConfigurationPeer> chosen;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(chosen),
               [&zone](const ConfigurationPeer& peer) { return peer.zone == zone; });
  return chosen;
}

}  // namespace

std::string_view to_string(AdoptionVerdict verdict) {
  switch (verdict) {
    case AdoptionVerdict::kAdopted:
      return "adopted";
    case AdoptionVerdict::kSame:
      return "same";
    case AdoptionVerdict::kOlder:
      return "older";
    case AdoptionVerdict::kFork:
      return "fork";
    case AdoptionVerdict::kGap:
      return "gap";
    case AdoptionVerdict::kBadHash:
      return "bad_hash";
    case AdoptionVerdict::kInvalid:
      return "invalid";
  }
  return "invalid";
}

AdoptionVerdict ConfigurationAdoption::compare(core::Revision revision, std::uint64_t hash) const {
  if (revision < record_.revision) {
    return AdoptionVerdict::kOlder;
  }
  if (revision > record_.revision) {
    return AdoptionVerdict::kGap;
  }
  const bool nothing_yet = revision == core::Revision();
  return nothing_yet || hash == hash_ ? AdoptionVerdict::kSame : AdoptionVerdict::kFork;
}

Adoption ConfigurationAdoption::take(const ConfigurationDelta& delta) {
  const AdoptionVerdict compared = compare(delta.changed.revision, delta.whole_hash);
  const bool newer = compared == AdoptionVerdict::kGap ||
                     (compared == AdoptionVerdict::kOlder && !rules_.refuse_older);
  if (!newer) {
    return {compared, {}};
  }
  if (delta.since > record_.revision) {
    return {AdoptionVerdict::kGap, {}};
  }
  ConfigurationRecord whole = apply_delta(record_, delta);
  if (rules_.verify_hash && hash_of(whole) != delta.whole_hash) {
    return {AdoptionVerdict::kBadHash, {}};
  }
  Checked<Configuration> configuration = build_configuration(whole);
  if (configuration.has_error()) {
    return {AdoptionVerdict::kInvalid, {}};
  }
  record_ = std::move(whole);
  hash_ = delta.whole_hash;
  return {AdoptionVerdict::kAdopted, std::move(*configuration)};
}

bool ConfigurationAdoption::update_ready(const std::vector<ConfigurationPeer>& peers) {
  const bool vouched = heard_store_ || zones_heard_.size() >= kZonesToVouch;
  const bool behind = std::any_of(
      peers.begin(), peers.end(),
      [this](const ConfigurationPeer& peer) { return peer.revision > record_.revision; });
  ready_ = ready_ || !rules_.wait_until_vouched || (vouched && !behind);
  return ready_;
}

std::optional<ConfigurationPeer> ConfigurationAdoption::newer_peer(
    const std::vector<ConfigurationPeer>& peers, core::RandomSource& random) const {
  std::vector<ConfigurationPeer> newer;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(newer),
               [this](const ConfigurationPeer& peer) { return peer.revision > record_.revision; });
  const std::vector<ConfigurationPeer> near = in_zone(newer, own_zone_);
  return pick(near.empty() ? newer : near, random);
}

std::optional<ConfigurationPeer> ConfigurationAdoption::vouching_peer(
    const std::vector<ConfigurationPeer>& peers, core::RandomSource& random) const {
  if (ready_) {
    return std::nullopt;
  }
  std::vector<ConfigurationPeer> candidates;
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(candidates),
               [this](const ConfigurationPeer& peer) { return !zones_heard_.contains(peer.zone); });
  return pick(candidates, random);
}

core::Duration next_store_poll(std::size_t member_count, double fleet_rate, core::Duration shortest,
                               core::RandomSource& random) {
  const double spread = 0.5 + random.fraction();
  const core::Duration fair = core::from_seconds(static_cast<double>(member_count) / fleet_rate);
  return core::from_seconds(core::to_seconds(std::max(fair, shortest)) * spread);
}

}  // namespace stoneport::config
