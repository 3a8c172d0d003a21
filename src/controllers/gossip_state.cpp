#include "controllers/gossip_state.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace stoneport::controllers {
namespace {

using wire::MemberState;

/// Within this share of the probe interval a direct answer is expected.
constexpr int kAckShare = 2;
/// A probe has failed after this many intervals.
constexpr int kFailureIntervals = 2;
/// Budget that may be saved up, in seconds of its rate.
constexpr double kBurstSeconds = 0.5;

NewsPriority priority_of(const wire::Member* before, const wire::Member& after) {
  if (before == nullptr) {
    return after.leaving ? NewsPriority::kDrain : NewsPriority::kLiveness;
  }
  if (after.leaving && !before->leaving) {
    return NewsPriority::kDrain;
  }
  const bool same_life = after.incarnation == before->incarnation && after.state == before->state;
  return same_life ? NewsPriority::kConfiguration : NewsPriority::kLiveness;
}

}  // namespace

GossipState::GossipState(wire::Member self, GossipSettings settings, std::uint64_t random_seed)
    : self_(self.node),
      settings_(settings),
      random_(random_seed),
      probes_(settings.probe_interval, settings.probe_interval / kAckShare,
              settings.probe_interval * kFailureIntervals),
      budget_(settings.bytes_per_second, settings.bytes_per_second * kBurstSeconds) {
  records_.replace(self);
  news_.add(self_, NewsPriority::kLiveness);
}

void GossipState::set_seeds(std::vector<core::Address> seeds) {
  if (seeds == seeds_) {
    return;  // a list that is polled names the same ones again and again
  }
  seeds_ = std::move(seeds);
  next_reconnect_ = {};
}

void GossipState::update_self(const wire::Member& member, NewsPriority priority) {
  records_.replace(member);
  news_.add(self_, priority);
  ++members_version_;
}

void GossipState::announce_configuration(core::Revision revision) {
  wire::Member member = self();
  if (revision <= member.configuration_revision) {
    return;
  }
  member.configuration_revision = revision;
  update_self(member, NewsPriority::kConfiguration);
}

void GossipState::announce_leaving() {
  wire::Member member = self();
  if (member.leaving) {
    return;
  }
  member.leaving = true;
  member.state = MemberState::kLeaving;
  update_self(member, NewsPriority::kDrain);
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
    news_.add(node, NewsPriority::kDrain);
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
    return;  // forgotten here already, or never known
  }
  wire::Member offered = member;
  // Death is believed on our own evidence or on the member's own farewell.
  // Otherwise both sides of a healed cut would talk each other into it.
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
  news_.add(member.node, priority_of(before ? &*before : nullptr, after));
  if (!before) {
    next_sync_ = std::min(next_sync_, now + settings_.catch_up_interval);
  }
  const bool refuted = before && after.incarnation != before->incarnation;
  if (after.state == MemberState::kAlive || refuted) {
    suspicion_ends_.erase(member.node);
  }
  if (after.state == MemberState::kSuspect) {
    suspicion_ends_.try_emplace(member.node, now + suspicion_length());
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
    return;  // about an earlier process under our name
  }
  // What only we can raise was raised by somebody else: an earlier process
  // under our name, with a clock ahead of ours or started at the same instant.
  const bool not_ours = member.incarnation > updated.incarnation ||
                        member.configuration_revision > updated.configuration_revision;
  if (life > own_life || not_ours) {
    updated.incarnation = wire::first_incarnation(life + 1);
    update_self(updated, NewsPriority::kLiveness);
    return;
  }
  if (member.leaving && !updated.leaving) {
    updated.leaving = true;
    updated.state = MemberState::kLeaving;
    update_self(updated, NewsPriority::kDrain);
  }
  const bool doubted = member.state == MemberState::kSuspect || member.state == MemberState::kDead;
  if (doubted && member.incarnation >= updated.incarnation) {
    // A leaving process refutes too, and is leaving still.
    updated.incarnation = member.incarnation.next();
    ++counts_.refutations;
    update_self(updated, NewsPriority::kLiveness);
  }
}

void GossipState::merge_policy(const wire::PolicyVersion& version) {
  if (records_.merge(version)) {
    news_.add(version.policy, NewsPriority::kDrain);
    ++policies_version_;
  }
}

void GossipState::merge_drain_mark(const wire::ReplicaDrainMark& mark) {
  if (records_.merge(mark)) {
    news_.add(mark.replica, NewsPriority::kDrain);
    ++drain_marks_version_;
  }
}

void GossipState::merge_zone_notice(const wire::ZoneNotice& notice) {
  if (records_.merge(notice)) {
    news_.add(notice.zone, NewsPriority::kDrain);
    ++zone_notices_version_;
  }
}

void GossipState::merge_revision(const wire::RevisionHolders& revision) {
  const std::uint64_t own_key = wire::life_key(self());
  for (const std::uint64_t holder : revision.holders) {
    if (holder == own_key) {
      continue;  // only we say what is in force here
    }
    const auto node = records_.merge_revision(holder, revision.revision);
    if (node) {
      news_.add(*node, NewsPriority::kConfiguration);
      ++members_version_;
    }
  }
}

void GossipState::suspect(const core::NodeId& node, core::MonotonicTime now) {
  const wire::Member* known = records_.find(node);
  if (known == nullptr || known->state == MemberState::kDead) {
    return;
  }
  suspicion_ends_.try_emplace(node, now + suspicion_length());
  probes_.retry(node);
  if (known->state != MemberState::kAlive) {
    return;
  }
  wire::Member suspected = *known;
  suspected.state = MemberState::kSuspect;
  records_.merge(suspected);
  news_.add(node, NewsPriority::kLiveness);
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
    news_.add(node, NewsPriority::kLiveness);
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
  if (gap <= settings_.longest_tick_gap) {
    return;
  }
  // Answers that came while we were paused were not late, and neither were
  // refutations of what we suspected.
  ++counts_.pauses;
  probes_.clear();
  for (auto& [node, end] : suspicion_ends_) {
    end += gap;
  }
  // The news of the meantime has been told to the end without us.
  catching_up_ = true;
  catch_up_pings_.clear();
  next_catch_up_ = now;
}

bool GossipState::current(core::MonotonicTime now) const {
  return last_tick_ && now - *last_tick_ <= settings_.longest_tick_gap && !catching_up_;
}

core::Duration GossipState::answer_silence(core::MonotonicTime now) const {
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
  send_news(now, packets);
  catch_up(now, packets);
  run_sync(now, packets);
  reconnect(now, packets);
  return packets;
}

bool GossipState::is_alone() const {
  const std::vector<core::NodeId>& live = records_.live_nodes();
  return live.empty() || (live.size() == 1 && live.front() == self_);
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

std::vector<core::NodeId> GossipState::draw_others(std::size_t count,
                                                   const core::NodeId& excluded) {
  const std::vector<core::NodeId> unsuspected = unsuspected_nodes();
  const bool has_others = unsuspected.size() > 1;
  const std::vector<core::NodeId>& live = has_others ? unsuspected : records_.live_nodes();
  std::vector<std::size_t> places(live.size());
  std::iota(places.begin(), places.end(), std::size_t{0});
  std::vector<core::NodeId> drawn;
  // A shuffle of the places that ends as soon as enough are drawn.
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

core::Duration GossipState::suspicion_length() const {
  const double members = static_cast<double>(records_.members().size());
  const double intervals = settings_.suspicion_multiplier * std::log10(members + 1);
  const core::Duration scaled =
      core::from_seconds(intervals * core::to_seconds(settings_.probe_interval));
  return std::max(settings_.shortest_suspicion, scaled);
}

}  // namespace stoneport::controllers
