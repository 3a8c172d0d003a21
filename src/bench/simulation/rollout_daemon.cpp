#include "bench/simulation/rollout_daemon.hpp"

#include <algorithm>

#include "bench/simulation/ordinary_traffic.hpp"

namespace stoneport::bench {

namespace {

/// As in steps::EngineDirectory.
constexpr double kMostStreamsPerPlace = 1.25;
/// Baselines send everything at once.
constexpr double kNoLimit = 100'000;
/// About the mean of what steps::EngineDirectory draws.
constexpr core::Duration kPauseAfterRefusal = std::chrono::milliseconds(500);
constexpr double kRunLengthNewestWeight = 0.1;
/// Size of a token's KV cache and the speed of its transfer, as the emulator has them.
constexpr double kKvBytesPerToken = 131'072;
constexpr double kKvBytesPerSecond = 10e9;

routing::AdaptiveLimitOptions no_limit() {
  routing::AdaptiveLimitOptions options;
  options.initial = kNoLimit;
  options.largest = kNoLimit;
  return options;
}

}  // namespace

RolloutDaemon::RolloutDaemon(EventQueue& events, const Scenario& scenario, const Variant& variant,
                             StreamOwner owner, std::uint64_t seed, EngineFleet& engines,
                             std::vector<std::size_t> group, RunMetrics& metrics)
    : events_(events),
      scenario_(scenario),
      variant_(variant),
      owner_(owner),
      engines_(engines),
      group_(std::move(group)),
      metrics_(metrics),
      chooser_(make_chooser(variant, core::ZoneName(scenario.zones.front()), seed)),
      loads_(no_limit()),
      in_flight_(engines.size(), 0),
      closed_until_(engines.size()) {
  rhythm_.published(current_, events.now());
  engines_.set_owner(owner, [this](std::size_t, SimulatedStream stream, bool complete) {
    events_.after(one_way(), [this, stream = std::move(stream), complete]() mutable {
      ended(std::move(stream), complete);
    });
  });
}

void RolloutDaemon::observe(core::WeightVersion version) {
  current_ = version;
  rhythm_.published(version, events_.now());
  steps_in_hand_ -= std::min<std::uint64_t>(steps_in_hand_, 1);
}

std::vector<rollout::EngineCandidate> RolloutDaemon::candidates(bool only_fresh) const {
  std::vector<rollout::EngineCandidate> result;
  for (const std::size_t index : group_) {
    const routing::Replica& replica = engines_.replicas()[index];
    if (replica.state != routing::ReplicaState::kUsable || !replica.digest) {
      continue;
    }
    if (only_fresh && replica.digest->version < current_) {
      continue;
    }
    rollout::EngineCandidate candidate;
    candidate.id = replica.id;
    candidate.in_flight = in_flight_[index];
    candidate.reported = replica.digest->running + replica.digest->waiting;
    candidate.max_running = replica.digest->max_running;
    candidate.version = replica.digest->version;
    candidate.closed = events_.now() < closed_until_[index] ||
                       in_flight_[index] >= kMostStreamsPerPlace * candidate.max_running;
    result.push_back(std::move(candidate));
  }
  return result;
}

std::optional<std::size_t> RolloutDaemon::place(const PlacementQuestion& question,
                                                const rollout::AgeRule& rule,
                                                rollout::GroupPlacement& placement) {
  if (variant_.choice != ReplicaChoiceKind::kCost || !variant_.affinity) {
    return place_by_chooser(question, rule);
  }
  rollout::PlacementInput input;
  input.prompt = question.prompt;
  input.candidates = candidates(question.only_fresh);
  input.rule = rule;
  input.now = events_.now();
  input.expected_run = run_length_;
  const auto chosen =
      placement.place(input, variant_.staleness_admission ? rhythm_ : unknown_rhythm_);
  return chosen ? std::optional(engines_.index_of(*chosen)) : std::nullopt;
}

/// Engines that surely are too old are passed by in every variant: their samples
/// could not be handed over.
std::optional<std::size_t> RolloutDaemon::place_by_chooser(const PlacementQuestion& question,
                                                           const rollout::AgeRule& rule) {
  const bool holds_back = variant_.choice == ReplicaChoiceKind::kCost;
  std::vector<routing::Candidate> usable;
  for (const std::size_t index : group_) {
    const routing::Replica& replica = engines_.replicas()[index];
    const bool is_known = replica.state == routing::ReplicaState::kUsable && replica.digest;
    const bool is_passed_by = is_known && question.only_fresh && replica.digest->version < current_;
    if (!is_known || is_passed_by || events_.now() < closed_until_[index] ||
        !rule.allows(replica.digest->version)) {
      continue;
    }
    const double limit = kMostStreamsPerPlace * replica.digest->max_running;
    if (holds_back && in_flight_[index] >= limit) {
      continue;
    }
    usable.push_back({&replica, &loads_.of(replica.id)});
  }
  routing::ChoiceRequest request;
  if (variant_.affinity) {
    request.prefixes = *question.prefix;
  }
  request.prompt_bytes = std::size_t{question.prompt_tokens} * kBytesPerToken;
  request.preferred_version = rule.current;
  const routing::Choice choice = chooser_->choose(usable, request, events_.now());
  if (choice.outcome != routing::ChoiceOutcome::kChosen) {
    return std::nullopt;
  }
  return engines_.index_of(usable[choice.index].replica->id);
}

std::optional<core::ReplicaId> RolloutDaemon::choose_by_cost(
    const PrefixBlocks& prefix, std::uint32_t prompt_tokens,
    const std::vector<rollout::EngineCandidate>& candidates) {
  std::vector<routing::Candidate> options;
  for (const rollout::EngineCandidate& candidate : candidates) {
    const routing::Replica& replica = engines_.replicas()[engines_.index_of(candidate.id)];
    options.push_back({&replica, &loads_.of(replica.id)});
  }
  routing::ChoiceRequest request;
  request.prefixes = prefix;
  request.prompt_bytes = std::size_t{prompt_tokens} * kBytesPerToken;
  request.group = prefix.back();
  const routing::Choice choice = chooser_->choose(options, request, events_.now());
  if (choice.outcome != routing::ChoiceOutcome::kChosen) {
    return std::nullopt;
  }
  options[choice.index].load->recent_prefixes().add(prefix, events_.now());
  return options[choice.index].replica->id;
}

/// As steps::EngineDirectory::migration_targets().
std::vector<rollout::MigrationTarget> RolloutDaemon::migration_targets() const {
  std::vector<rollout::MigrationTarget> result;
  for (const std::size_t index : group_) {
    const routing::Replica& replica = engines_.replicas()[index];
    if (replica.state != routing::ReplicaState::kUsable || !replica.digest ||
        replica.digest->swapping) {
      continue;
    }
    const routing::ReplicaDigest& digest = *replica.digest;
    const std::uint32_t load = std::max(in_flight_[index], digest.running + digest.waiting);
    if (load >= digest.max_running || digest.tokens_per_second <= 0) {
      continue;
    }
    const double for_one = digest.tokens_per_second / std::max(1u, digest.running);
    result.push_back({replica.id, digest.max_running - load, for_one, digest.version});
  }
  return result;
}

std::optional<core::WeightVersion> RolloutDaemon::reported_version(std::size_t engine) const {
  const auto& digest = engines_.replicas()[engine].digest;
  return digest ? std::optional(digest->version) : std::nullopt;
}

StreamKey RolloutDaemon::start(std::size_t engine, SimulatedStream stream, EndHandler on_end) {
  const StreamKey key = (owner_ << kOwnerShift) | next_stream_++;
  stream.key = key;
  streams_.emplace(key, Stream{engine, std::move(on_end)});
  ++in_flight_[engine];
  loads_.of(engines_.replicas()[engine].id).started(events_.now());
  ++metrics_.attempts;
  events_.after(one_way(), [this, engine, stream = std::move(stream)]() mutable {
    if (streams_.count(stream.key) == 0) {
      return;  // cancelled on the way
    }
    SimulatedStream refused = stream;
    if (!engines_.submit(engine, std::move(stream))) {
      events_.after(one_way(), [this, engine, refused = std::move(refused)]() mutable {
        closed_until_[engine] = events_.now() + kPauseAfterRefusal;
        ended(std::move(refused), false);
      });
    }
  });
  return key;
}

void RolloutDaemon::stream_left(StreamKey key) {
  const auto found = streams_.find(key);
  const std::size_t engine = found->second.engine;
  --in_flight_[engine];
  loads_.of(engines_.replicas()[engine].id).finished(routing::LoadSignal::kNeutral, events_.now());
  streams_.erase(found);
}

void RolloutDaemon::ended(SimulatedStream stream, bool complete) {
  const auto found = streams_.find(stream.key);
  if (found == streams_.end()) {
    return;  // cancelled meanwhile
  }
  if (down_) {
    waiting_ends_.push_back({std::move(stream), complete});
    return;
  }
  metrics_.rollout_tokens_generated += stream.generated;
  const EndHandler on_end = std::move(found->second.on_end);
  const StreamKey key = stream.key;
  stream_left(key);
  on_end(key, std::move(stream), complete);
}

void RolloutDaemon::cancel(StreamKey key, std::size_t engine) {
  if (streams_.count(key) == 0) {
    return;
  }
  stream_left(key);
  events_.after(one_way(), [this, key, engine] {
    if (const auto stream = engines_.at(engine).remove(key)) {
      metrics_.rollout_tokens_generated += stream->generated;
    }
  });
}

void RolloutDaemon::migrate(StreamKey key, std::size_t from, std::size_t to,
                            std::function<void()> arrived) {
  events_.after(one_way(), [this, key, from, to, arrived = std::move(arrived)] {
    const auto known = streams_.find(key);
    if (known == streams_.end()) {
      return;
    }
    auto stream = engines_.at(from).remove(key);
    if (!stream) {
      return;  // it ended before the export
    }
    --in_flight_[from];
    ++in_flight_[to];
    known->second.engine = to;
    loads_.of(engines_.replicas()[from].id).finished(routing::LoadSignal::kNeutral, events_.now());
    loads_.of(engines_.replicas()[to].id).started(events_.now());
    ++metrics_.migrations;
    const double bytes = kKvBytesPerToken * (stream->prompt_tokens + stream->generated);
    const core::Duration transfer = core::from_seconds(bytes / kKvBytesPerSecond);
    events_.after(2 * one_way() + transfer,
                  [this, to, stream = std::move(*stream), arrived]() mutable {
                    if (streams_.count(stream.key) == 0) {
                      metrics_.rollout_tokens_generated += stream.generated;
                      return;  // cancelled meanwhile
                    }
                    arrived();
                    SimulatedStream refused = stream;
                    if (!engines_.at(to).import_stream(std::move(stream))) {
                      ended(std::move(refused), false);
                    }
                  });
  });
}

void RolloutDaemon::note_run_length(core::Duration length) {
  if (run_length_.count() == 0) {
    run_length_ = length;
    return;
  }
  run_length_ = core::from_seconds(kRunLengthNewestWeight * core::to_seconds(length) +
                                   (1 - kRunLengthNewestWeight) * core::to_seconds(run_length_));
}

void RolloutDaemon::step_completed(core::Duration length) {
  constexpr double kStepNewestWeight = 0.5;
  const double known = core::to_seconds(step_length_);
  const double newest = core::to_seconds(length);
  const double smoothed = kStepNewestWeight * newest + (1 - kStepNewestWeight) * known;
  step_length_ = core::from_seconds(known > 0 ? smoothed : newest);
  ++steps_in_hand_;
}

bool RolloutDaemon::should_wait_for_fresh() const {
  const rollout::FreshnessInput input{steps_in_hand_, step_length_, events_.now()};
  return variant_.freshness_wait && rollout::should_wait_for_fresh(input, rhythm_);
}

void RolloutDaemon::set_down(bool down) {
  down_ = down;
  if (down) {
    return;
  }
  std::vector<WaitingEnd> waiting = std::move(waiting_ends_);
  waiting_ends_.clear();
  for (WaitingEnd& end : waiting) {
    ended(std::move(end.stream), end.complete);
  }
}

}  // namespace stoneport::bench
