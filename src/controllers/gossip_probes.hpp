/// \file
/// Probes in flight: whom to ask next, which answers are late, and answers to
/// be handed on. Plain state; owned by one GossipState.
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
  /// \param ack_timeout after which others are asked to probe as well
  /// \param failure_timeout after which the probe has failed
  GossipProbes(core::Duration probe_interval, core::Duration ack_timeout,
               core::Duration failure_timeout);

  struct Probe {
    std::uint32_t sequence = 0;
    core::NodeId target;
  };
  struct Relay {
    std::uint32_t sequence = 0;  ///< the asking node's
    core::Address asking;
  };

  /// \return the probes to send, once an interval: the next one of \p candidates but
  /// \p self and those that wait for another probe, in a shuffled order that is made anew
  /// after each round, and one of those that wait.
  /// \param candidates in order
  std::vector<Probe> next(const std::vector<core::NodeId>& candidates, const core::NodeId& self,
                          core::RandomSource& random, core::MonotonicTime now);
  /// \return probes whose direct answer is late; each is returned once.
  std::vector<Probe> take_late(core::MonotonicTime now);
  /// \return targets of probes that failed; each is returned once.
  std::vector<core::NodeId> take_failed(core::MonotonicTime now);
  /// Probes \p target again soon, beside the round: the probe tells it that it is
  /// suspected, and its answer ends the suspicion of a leaving member. Within the round,
  /// the first members of a lost zone would take up the probes for all others of it.
  void retry(const core::NodeId& target);
  /// \return the sequence of a ping that is no probe: its failure says nothing.
  std::uint32_t next_sequence() { return ++last_sequence_; }
  /// Registers a ping on another node's behalf. \return the sequence to use.
  std::uint32_t add_relay(Relay relay, core::MonotonicTime now);
  /// Ends the probe or relay of \p sequence.
  /// \return whom to hand the answer on to, for a relay.
  std::optional<Relay> acknowledge(std::uint32_t sequence, const core::NodeId& target);
  /// Forgets everything in flight.
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
  bool waits(const core::NodeId& node) const;
  /// \return the next of the round, if any is left to probe.
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

/// Puts \p items into a random order.
template <class Item>
void shuffle(std::vector<Item>& items, core::RandomSource& random) {
  for (std::size_t count = items.size(); count > 1; --count) {
    std::swap(items[count - 1], items[random.uniform(0, count - 1)]);
  }
}

}  // namespace stoneport::controllers
