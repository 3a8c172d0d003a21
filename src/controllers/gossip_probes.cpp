#include "controllers/gossip_probes.hpp"

#include <algorithm>

namespace stoneport::controllers {

GossipProbes::GossipProbes(core::Duration probe_interval, core::Duration ack_timeout,
                           core::Duration failure_timeout)
    : probe_interval_(probe_interval),
      ack_timeout_(ack_timeout),
      failure_timeout_(failure_timeout) {}

bool GossipProbes::awaits_retry(const core::NodeId& node) const {
  return std::find(retries_.begin(), retries_.end(), node) != retries_.end();
}

void GossipProbes::retry(const core::NodeId& target) {
  if (!awaits_retry(target)) {
    retries_.push_back(target);
  }
}

std::optional<core::NodeId> GossipProbes::next_of_round(const std::vector<core::NodeId>& candidates,
                                                        const core::NodeId& self,
                                                        core::RandomSource& random) {
  // Members may have left since the round was built; their probes are skipped.
  const auto is_skipped = [&](const core::NodeId& node) {
    return awaits_retry(node) || !std::binary_search(candidates.begin(), candidates.end(), node);
  };
  while (!round_.empty() && is_skipped(round_.back())) {
    round_.pop_back();
  }
  if (round_.empty()) {
    round_ = candidates;
    std::erase_if(round_,
                  [&](const core::NodeId& node) { return node == self || awaits_retry(node); });
    shuffle(round_, random);
  }
  if (round_.empty()) {
    return std::nullopt;
  }
  const core::NodeId target = round_.back();
  round_.pop_back();
  return target;
}

std::optional<core::NodeId> GossipProbes::next_retry(const std::vector<core::NodeId>& candidates) {
  while (!retries_.empty()) {
    const core::NodeId target = retries_.front();
    retries_.pop_front();
    if (std::binary_search(candidates.begin(), candidates.end(), target)) {
      return target;
    }
  }
  return std::nullopt;
}

GossipProbes::Probe GossipProbes::probe(const core::NodeId& target, core::MonotonicTime now) {
  const std::uint32_t sequence = next_sequence();
  pending_[sequence] = Pending{target, now, false};
  return Probe{sequence, target};
}

std::vector<GossipProbes::Probe> GossipProbes::next(const std::vector<core::NodeId>& candidates,
                                                    const core::NodeId& self,
                                                    core::RandomSource& random,
                                                    core::MonotonicTime now) {
  std::vector<Probe> probes;
  if (now < next_probe_) {
    return probes;
  }
  if (const auto target = next_of_round(candidates, self, random)) {
    probes.push_back(probe(*target, now));
  }
  if (const auto target = next_retry(candidates)) {
    probes.push_back(probe(*target, now));
  }
  if (!probes.empty()) {
    next_probe_ = now + probe_interval_;
  }
  return probes;
}

std::vector<GossipProbes::Probe> GossipProbes::take_late(core::MonotonicTime now) {
  std::vector<Probe> late;
  for (auto& [sequence, pending] : pending_) {
    if (!pending.asked_others && now - pending.sent_at >= ack_timeout_) {
      pending.asked_others = true;
      late.push_back(Probe{sequence, pending.target});
    }
  }
  return late;
}

std::vector<core::NodeId> GossipProbes::take_failed(core::MonotonicTime now) {
  std::vector<core::NodeId> failed;
  std::erase_if(pending_, [&](const auto& entry) {
    if (now - entry.second.sent_at < failure_timeout_) {
      return false;
    }
    failed.push_back(entry.second.target);
    return true;
  });
  std::erase_if(relays_,
                [&](const auto& entry) { return now - entry.second.sent_at >= failure_timeout_; });
  return failed;
}

std::uint32_t GossipProbes::add_relay(Relay relay, core::MonotonicTime now) {
  const std::uint32_t sequence = ++last_sequence_;
  relays_[sequence] = PendingRelay{std::move(relay), now};
  return sequence;
}

std::optional<GossipProbes::Relay> GossipProbes::acknowledge(std::uint32_t sequence,
                                                             const core::NodeId& target) {
  const auto pending = pending_.find(sequence);
  if (pending != pending_.end() && pending->second.target == target) {
    pending_.erase(pending);
    return std::nullopt;
  }
  const auto found = relays_.find(sequence);
  if (found == relays_.end()) {
    return std::nullopt;
  }
  Relay relay = std::move(found->second.relay);
  relays_.erase(found);
  return relay;
}

void GossipProbes::clear() {
  pending_.clear();
  relays_.clear();
}

}  // namespace stoneport::controllers
