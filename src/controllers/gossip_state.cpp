#include "controllers/gossip_state.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stoneport::controllers {
namespace {

using wire::MemberState;

/// A direct answer is expected within the probe interval divided by this.
constexpr int kAckTimeoutDivisor = 2;
/// A probe fails after this many intervals.
constexpr int kFailureIntervals = 2;
/// Maximum accumulated budget, in seconds of the byte rate.
constexpr double kBurstSeconds = 0.5;

UpdatePriority priority_of(const wire::Member* before, const wire::Member& after) {
  if (before == nullptr) {
    return after.leaving ? UpdatePriority::kDrain : UpdatePriority::kLiveness;
  }
  if (after.leaving && !before->leaving) {
    return UpdatePriority::kDrain;
  }
  const bool same_life = after.incarnation == before->incarnation && after.state == before->state;
  return same_life ? UpdatePriority::kConfiguration : UpdatePriority::kLiveness;
}

bool is_in_doubt(const wire::Member& member) {
  return member.state == MemberState::kSuspect || member.state == MemberState::kDead;
}

/// \param before the member's earlier record, or null
/// \return whether the member has become reachable
bool has_joined(const wire::Member* before, const wire::Member& after) {
  if (is_in_doubt(after)) {
    return false;
  }
  return before == nullptr || is_in_doubt(*before) ||
         wire::life_of(before->incarnation) != wire::life_of(after.incarnation);
}

}  // namespace

GossipState::GossipState(wire::Member self, GossipSettings settings, std::uint64_t random_seed)
    : self_(self.node),
      settings_(settings),
      random_(random_seed),
      probes_(settings.probe_interval, settings.probe_interval / kAckTimeoutDivisor,
              settings.probe_interval * kFailureIntervals),
      budget_(settings.bytes_per_second, settings.bytes_per_second * kBurstSeconds) {
  records_.replace(self);
  updates_.add(self_, UpdatePriority::kLiveness);
}

void GossipState::set_seeds(std::vector<core::Address> seeds) {
  if (seeds == seeds_) {
    return;  // a polled list repeats the same addresses
  }
  if (seeds_.empty()) {
    reconnect_attempts_ = 0;
  }
  seeds_ = std::move(seeds);
  next_reconnect_ = {};
}

void GossipState::update_self(const wire::Member& member, UpdatePriority priority) {
  records_.replace(member);
  updates_.add(self_, priority);
  ++members_version_;
}

void GossipState::announce_configuration(core::Revision revision) {
  wire::Member member = self();
  if (revision <= member.configuration_revision) {
    return;
  }
  member.configuration_revision = revision;
  update_self(member, UpdatePriority::kConfiguration);
}

void GossipState::announce_leaving() {
  wire::Member member = self();
  if (member.leaving) {
    return;
  }
  member.leaving = true;
  member.state = MemberState::kLeaving;
  update_self(member, UpdatePriority::kDrain);
}

bool GossipState::mark_leaving(const core::NodeId& node) {
  if (node == self_) {
    announce_leaving();
    return true;
  }
  const wire::Member* known = records_.find(node);
  if (known == nullptr) {
    return false;
  }
  wire::Member marked = *known;
  marked.leaving = true;
  if (records_.merge(marked)) {
    updates_.add(node, UpdatePriority::kDrain);
    ++members_version_;
  }
  return true;
}

void GossipState::announce_policy_version(const wire::PolicyVersion& version) {
  merge_policy(version);
}

void GossipState::mark_replica_draining(const wire::ReplicaDrainMark& mark) {
  merge_drain_mark(mark);
}

void GossipState::announce_zone(const wire::ZoneNotice& notice) {
  merge_zone_notice(notice);
}

void GossipState::merge_packet(const wire::GossipPacket& packet, core::MonotonicTime now) {
  merge_member(packet.sender, now);
  for (const wire::Member& member : packet.members) {
    merge_member(member, now);
  }
  for (const wire::PolicyVersion& version : packet.policy_versions) {
    merge_policy(version);
  }
  for (const wire::ReplicaDrainMark& mark : packet.drain_marks) {
    merge_drain_mark(mark);
  }
  for (const wire::ZoneNotice& notice : packet.zone_notices) {
    merge_zone_notice(notice);
  }
  for (const wire::RevisionHolders& revision : packet.revisions) {
    merge_revision(revision);
  }
}

void GossipState::merge_member(const wire::Member& member, core::MonotonicTime now) {
  if (member.node == self_) {
    merge_about_self(member);
    return;
  }
  const wire::Member* known = records_.find(member.node);
  if (known == nullptr && member.state == MemberState::kDead) {
    return;  // already forgotten here, or never known
  }
  wire::Member offered = member;
  // A death is accepted only from our own probes or when the member itself announced that
  // it was leaving. Otherwise both sides of a healed partition would spread each other's
  // outdated death reports.
  if (offered.state == MemberState::kDead && !offered.leaving &&
      known->state != MemberState::kDead) {
    offered.state = MemberState::kSuspect;
  }
  const std::optional<wire::Member> before =
      known == nullptr ? std::nullopt : std::make_optional(*known);
  if (!records_.merge(offered)) {
    return;
  }
  ++members_version_;
  const wire::Member& after = *records_.find(member.node);
  const wire::Member* const earlier = before ? &*before : nullptr;
  updates_.add(member.node, priority_of(earlier, after));
  if (has_joined(earlier, after)) {
    joined_.push_back(member.node);
  }
  if (!before) {
    next_sync_ = std::min(next_sync_, now + settings_.catch_up_interval);
  }
  const bool refuted = before && after.incarnation != before->incarnation;
  if (after.state == MemberState::kAlive || refuted) {
    suspicion_ends_.erase(member.node);
  }
  if (after.state == MemberState::kSuspect) {
    suspicion_ends_.try_emplace(member.node, now + suspicion_timeout());
  }
  if (after.state == MemberState::kDead) {
    suspicion_ends_.erase(member.node);
    dead_since_.try_emplace(member.node, now);
  } else {
    dead_since_.erase(member.node);
  }
}

void GossipState::merge_about_self(const wire::Member& member) {
  wire::Member updated = self();
  const std::uint64_t life = wire::life_of(member.incarnation);
  const std::uint64_t own_life = wire::life_of(updated.incarnation);
  if (life < own_life) {
    return;  // refers to an earlier process with our name
  }
  // Someone else has raised a value that only this process may raise: an earlier process
  // with our name whose clock was ahead of ours, or which started at the same instant.
  const bool not_ours = member.incarnation > updated.incarnation ||
                        member.configuration_revision > updated.configuration_revision;
  if (life > own_life || not_ours) {
    updated.incarnation = wire::first_incarnation(life + 1);
    update_self(updated, UpdatePriority::kLiveness);
    return;
  }
  if (member.leaving && !updated.leaving) {
    updated.leaving = true;
    updated.state = MemberState::kLeaving;
    update_self(updated, UpdatePriority::kDrain);
  }
  if (is_in_doubt(member) && member.incarnation >= updated.incarnation) {
    // A leaving process also refutes, and remains leaving.
    updated.incarnation = member.incarnation.next();
    ++counts_.refutations;
    update_self(updated, UpdatePriority::kLiveness);
  }
}

void GossipState::merge_policy(const wire::PolicyVersion& version) {
  if (records_.merge(version)) {
    updates_.add(version.policy, UpdatePriority::kDrain);
    ++policies_version_;
  }
}

void GossipState::merge_drain_mark(const wire::ReplicaDrainMark& mark) {
  if (records_.merge(mark)) {
    updates_.add(mark.replica, UpdatePriority::kDrain);
    ++drain_marks_version_;
  }
}

void GossipState::merge_zone_notice(const wire::ZoneNotice& notice) {
  if (records_.merge(notice)) {
    updates_.add(notice.zone, UpdatePriority::kDrain);
    ++zone_notices_version_;
  }
}

void GossipState::merge_revision(const wire::RevisionHolders& revision) {
  const std::uint64_t own_key = wire::life_key(self());
  for (const std::uint64_t holder : revision.holders) {
    if (holder == own_key) {
      continue;  // only this process reports its own revision
    }
    const auto node = records_.merge_revision(holder, revision.revision);
    if (node) {
      updates_.add(*node, UpdatePriority::kConfiguration);
      ++members_version_;
    }
  }
}

void GossipState::suspect(const core::NodeId& node, core::MonotonicTime now) {
  const wire::Member* known = records_.find(node);
  if (known == nullptr || known->state == MemberState::kDead) {
    return;
  }
  suspicion_ends_.try_emplace(node, now + suspicion_timeout());
  probes_.retry(node);
  if (known->state != MemberState::kAlive) {
    return;
  }
  wire::Member suspected = *known;
  suspected.state = MemberState::kSuspect;
  records_.merge(suspected);
  updates_.add(node, UpdatePriority::kLiveness);
  ++members_version_;
}

void GossipState::expire_suspicions(core::MonotonicTime now) {
  std::vector<core::NodeId> expired;
  for (const auto& [node, end] : suspicion_ends_) {
    if (now >= end) {
      expired.push_back(node);
    }
  }
  for (const core::NodeId& node : expired) {
    suspicion_ends_.erase(node);
    wire::Member dead = *records_.find(node);
    dead.state = MemberState::kDead;
    records_.merge(dead);
    dead_since_.try_emplace(node, now);
    updates_.add(node, UpdatePriority::kLiveness);
    ++members_version_;
  }
}

void GossipState::forget_dead(core::MonotonicTime now) {
  std::erase_if(dead_since_, [&](const auto& entry) {
    if (now - entry.second < settings_.dead_retention) {
      return false;
    }
    records_.erase(entry.first);
    ++members_version_;
    return true;
  });
}

void GossipState::check_for_pause(core::MonotonicTime now) {
  const core::Duration gap = last_tick_ ? now - *last_tick_ : core::Duration::zero();
  last_tick_ = now;
  if (gap <= settings_.max_tick_gap) {
    return;
  }
  // Answers that arrived during the pause were not late, nor were refutations of our
  // suspicions.
  ++counts_.pauses;
  probes_.clear();
  for (auto& [node, end] : suspicion_ends_) {
    end += gap;
  }
  // Updates from the time of the pause are no longer being sent, so they must be requested.
  catching_up_ = true;
  catch_up_pings_.clear();
  next_catch_up_ = now;
}

bool GossipState::current(core::MonotonicTime now) const {
  return last_tick_ && now - *last_tick_ <= settings_.max_tick_gap && !catching_up_;
}

core::Duration GossipState::time_since_last_answer(core::MonotonicTime now) const {
  return last_answer_ ? now - *last_answer_ : core::Duration::zero();
}

std::vector<OutgoingPacket> GossipState::on_tick(core::MonotonicTime now) {
  std::vector<OutgoingPacket> packets;
  budget_.refill(now);
  if (!last_answer_) {
    last_answer_ = now;
  }
  check_for_pause(now);
  run_probes(now, packets);
  expire_suspicions(now);
  forget_dead(now);
  send_updates(now, packets);
  catch_up(now, packets);
  run_sync(now, packets);
  reconnect(now, packets);
  return packets;
}

std::size_t GossipState::live_peers() const {
  const std::vector<core::NodeId>& live = records_.live_nodes();
  const bool is_listed = std::binary_search(live.begin(), live.end(), self_);
  return live.size() - (is_listed ? 1 : 0);
}

std::vector<core::NodeId> GossipState::unsuspected_nodes() const {
  std::vector<core::NodeId> nodes;
  for (const core::NodeId& node : records_.live_nodes()) {
    if (records_.find(node)->state != MemberState::kSuspect) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<core::NodeId> GossipState::sample_others(std::size_t count,
                                                     const core::NodeId& excluded) {
  const std::vector<core::NodeId> unsuspected = unsuspected_nodes();
  const bool has_others = unsuspected.size() > 1;
  const std::vector<core::NodeId>& live = has_others ? unsuspected : records_.live_nodes();
  std::vector<std::size_t> places(live.size());
  std::iota(places.begin(), places.end(), std::size_t{0});
  std::vector<core::NodeId> drawn;
  // Partial Fisher-Yates shuffle that ends once enough members are drawn.
  for (std::size_t left = places.size(); left > 0 && drawn.size() < count; --left) {
    std::swap(places[left - 1], places[random_.uniform(0, left - 1)]);
    const core::NodeId& node = live[places[left - 1]];
    if (node != self_ && node != excluded) {
      drawn.push_back(node);
    }
  }
  return drawn;
}

std::uint32_t GossipState::transmission_limit() const {
  const double members = static_cast<double>(records_.members().size());
  const double rounds = std::ceil(std::log10(members + 1));
  return settings_.transmission_multiplier * std::max(1u, static_cast<std::uint32_t>(rounds));
}

core::Duration GossipState::suspicion_timeout() const {
  const double members = static_cast<double>(records_.members().size());
  const double intervals = settings_.suspicion_multiplier * std::log10(members + 1);
  const core::Duration scaled =
      core::from_seconds(intervals * core::to_seconds(settings_.probe_interval));
  return std::max(settings_.min_suspicion_timeout, scaled);
}

}  // namespace stoneport::controllers
