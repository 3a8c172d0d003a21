/// \file
/// Tracks probes in flight: selects the next target, finds overdue answers, and routes
/// answers to relayed probes. Owned by one GossipState.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/identifiers.hpp"
#include "core/random.hpp"
#include "core/time.hpp"

namespace stoneport::controllers {

class GossipProbes {
 public:
  /// \param ack_timeout time until other members are asked to probe as well
  /// \param failure_timeout time until the probe counts as failed
  GossipProbes(core::Duration probe_interval, core::Duration ack_timeout,
               core::Duration failure_timeout);

  struct Probe {
    std::uint32_t sequence = 0;
    core::NodeId target;
  };
  struct Relay {
    std::uint32_t sequence = 0;  ///< the requesting node's
    core::Address asking;
  };

  /// \return the probes to send, once per interval: one from the current round, and one of
  /// the targets that await a retry. A round covers all \p candidates except \p self and
  /// those that await a retry, in random order, and is reshuffled when it is complete.
  /// \param candidates sorted
  std::vector<Probe> next(const std::vector<core::NodeId>& candidates, const core::NodeId& self,
                          core::RandomSource& random, core::MonotonicTime now);
  /// \return probes whose direct answer is overdue; each is returned once
  std::vector<Probe> take_late(core::MonotonicTime now);
  /// \return targets of failed probes; each is returned once
  std::vector<core::NodeId> take_failed(core::MonotonicTime now);
  /// Schedules another probe of \p target soon, outside the round. The probe informs the
  /// target that it is suspected, and its answer ends the suspicion of a leaving member.
  /// Within the round, the first members of a lost zone would use up the probes for all its
  /// other members.
  void retry(const core::NodeId& target);
  /// \return a sequence number for a ping whose failure has no consequences
  std::uint32_t next_sequence() { return ++last_sequence_; }
  /// Registers a ping sent on behalf of another node.
  /// \return the sequence number to use
  std::uint32_t add_relay(Relay relay, core::MonotonicTime now);
  /// Completes the probe or relay with number \p sequence.
  /// \return the node to forward the answer to, for a relay
  std::optional<Relay> acknowledge(std::uint32_t sequence, const core::NodeId& target);
  /// Drops all probes and relays in flight.
  void clear();

 private:
  struct Pending {
    core::NodeId target;
    core::MonotonicTime sent_at;
    bool asked_others = false;
  };
  struct PendingRelay {
    Relay relay;
    core::MonotonicTime sent_at;
  };
  bool awaits_retry(const core::NodeId& node) const;
  /// \return the next target of the round, if one is left
  std::optional<core::NodeId> next_of_round(const std::vector<core::NodeId>& candidates,
                                            const core::NodeId& self, core::RandomSource& random);
  std::optional<core::NodeId> next_retry(const std::vector<core::NodeId>& candidates);
  Probe probe(const core::NodeId& target, core::MonotonicTime now);

  core::Duration probe_interval_;
  core::Duration ack_timeout_;
  core::Duration failure_timeout_;
  core::MonotonicTime next_probe_{};
  std::uint32_t last_sequence_ = 0;
  std::vector<core::NodeId> round_;
  std::deque<core::NodeId> retries_;
  std::map<std::uint32_t, Pending> pending_;
  std::map<std::uint32_t, PendingRelay> relays_;
};

/// Shuffles \p items.
template <class Item>
void shuffle(std::vector<Item>& items, core::RandomSource& random) {
  for (std::size_t count = items.size(); count > 1; --count) {
    std::swap(items[count - 1], items[random.uniform(0, count - 1)]);
  }
}

}  // namespace stoneport::controllers
