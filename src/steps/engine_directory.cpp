#include "steps/engine_directory.hpp"

#include <algorithm>

#include "core/backoff.hpp"

namespace stoneport::steps {
namespace {

/// Maximum number of this daemon's streams on an engine, as a multiple of its max_running. Some
/// queue there to keep its batch full; more would only queue without the option to place them
/// elsewhere.
constexpr double kMaxStreamsPerSlot = 1.25;

/// Time for which a version seen in a stream is used for an engine without a newer report.
constexpr core::Duration kSeenVersionLifetime = std::chrono::seconds(2);

bool takes_new_work(const routing::Replica& replica) {
  return replica.state == routing::ReplicaState::kUsable ||
         replica.state == routing::ReplicaState::kSuspect;
}

}  // namespace

EngineDirectory::EngineDirectory(const StepDependencies& dependencies, core::RandomSource& random)
    : dependencies_(dependencies), random_(random) {}

const std::vector<routing::Replica>* EngineDirectory::replicas(const routing::RoutingTable& table,
                                                               const core::ModelName& model) const {
  const auto found = table.models.find(model);
  return found == table.models.end() ? nullptr : &found->second;
}

const EngineDirectory::EngineState& EngineDirectory::state_of(
    const core::ReplicaId& replica) const {
  static const EngineState unused;
  const auto found = states_.find(replica);
  return found == states_.end() ? unused : found->second;
}

bool EngineDirectory::is_full(const routing::Replica& replica) {
  const routing::ReplicaLoad& load = loads_.of(replica.id);
  if (!load.has_room()) {
    return true;
  }
  if (!replica.digest || replica.digest->max_running == 0) {
    return false;
  }
  return load.in_flight() >= kMaxStreamsPerSlot * replica.digest->max_running;
}

std::vector<rollout::EngineCandidate> EngineDirectory::candidates(const core::ModelName& model) {
  std::vector<rollout::EngineCandidate> result;
  const auto table = dependencies_.routing->get();
  const auto* known = replicas(*table, model);
  const core::MonotonicTime now = dependencies_.time.now();
  if (known == nullptr || now > table->current_until) {
    return result;
  }
  for (const routing::Replica& replica : *known) {
    if (!takes_new_work(replica)) {
      continue;
    }
    const EngineState& state = state_of(replica.id);
    rollout::EngineCandidate candidate;
    candidate.id = replica.id;
    candidate.in_flight = loads_.of(replica.id).in_flight();
    candidate.suspect = replica.state == routing::ReplicaState::kSuspect;
    candidate.closed = now < state.closed_until || is_full(replica);
    if (replica.digest) {
      candidate.reported = replica.digest->running + replica.digest->waiting;
      candidate.max_running = replica.digest->max_running;
    }
    candidate.version = version_of(replica);
    result.push_back(std::move(candidate));
  }
  return result;
}

std::vector<rollout::MigrationTarget> EngineDirectory::migration_targets(
    const core::ModelName& model, const rollout::AgeRule& rule) {
  std::vector<rollout::MigrationTarget> result;
  const auto table = dependencies_.routing->get();
  const auto* known = replicas(*table, model);
  const core::MonotonicTime now = dependencies_.time.now();
  if (known == nullptr || now > table->current_until) {
    return result;
  }
  for (const routing::Replica& replica : *known) {
    const EngineState& state = state_of(replica.id);
    const bool is_open = replica.state == routing::ReplicaState::kUsable && replica.digest &&
                         !replica.digest->swapping && now >= state.closed_until;
    if (!is_open) {
      continue;
    }
    const routing::ReplicaDigest& digest = *replica.digest;
    if (!rule.allows(digest.version)) {
      continue;
    }
    const std::uint32_t load =
        std::max(loads_.of(replica.id).in_flight(), digest.running + digest.waiting);
    if (load >= digest.max_running || digest.tokens_per_second <= 0) {
      continue;
    }
    const double for_one = digest.tokens_per_second / std::max(1u, digest.running);
    result.push_back(
        rollout::MigrationTarget{replica.id, digest.max_running - load, for_one, digest.version});
  }
  return result;
}

std::vector<routing::Replica> EngineDirectory::all(const core::ModelName& model) const {
  std::vector<routing::Replica> result;
  const auto table = dependencies_.routing->get();
  if (const auto* known = replicas(*table, model)) {
    std::copy_if(known->begin(), known->end(), std::back_inserter(result),
                 [](const auto& replica) { return replica.state != routing::ReplicaState::kDown; });
  }
  return result;
}

std::optional<routing::Replica> EngineDirectory::find(const core::ModelName& model,
                                                      const core::ReplicaId& replica) const {
  const auto table = dependencies_.routing->get();
  const auto* known = replicas(*table, model);
  if (known == nullptr) {
    return std::nullopt;
  }
  const auto found = std::find_if(known->begin(), known->end(),
                                  [&](const auto& candidate) { return candidate.id == replica; });
  if (found == known->end()) {
    return std::nullopt;
  }
  return *found;
}

std::shared_ptr<ports::ModelEngine> EngineDirectory::client(const core::Address& address) const {
  return dependencies_.engines.engine_at(address);
}

void EngineDirectory::stream_started(const core::ReplicaId& replica) {
  loads_.of(replica).started(dependencies_.time.now());
}

void EngineDirectory::stream_ended(const core::ReplicaId& replica, routing::LoadSignal signal) {
  loads_.of(replica).finished(signal, dependencies_.time.now());
}

void EngineDirectory::record_refusal(const core::ReplicaId& replica,
                                     std::optional<core::Duration> retry_after) {
  const StepSettings& settings = dependencies_.settings;
  EngineState& state = states_[replica];
  const core::MonotonicTime now = dependencies_.time.now();
  if (now < state.closed_until) {
    return;  // concurrent streams refused together count as one refusal
  }
  core::Duration pause = core::backoff_delay(settings.backoff, state.failures++, random_);
  if (retry_after) {
    pause = std::clamp(*retry_after, pause, settings.backoff.longest);
  }
  state.closed_until = now + pause;
}

void EngineDirectory::record_version(const core::ReplicaId& replica, core::WeightVersion version) {
  EngineState& state = states_[replica];
  state.seen_version = version;
  state.seen_at = dependencies_.time.now();
}

std::optional<core::WeightVersion> EngineDirectory::version_of(
    const routing::Replica& replica) const {
  const EngineState& state = state_of(replica.id);
  const bool is_recent =
      state.seen_version && dependencies_.time.now() - state.seen_at < kSeenVersionLifetime;
  if (is_recent && (!replica.digest || replica.digest->taken_at < state.seen_at)) {
    return state.seen_version;
  }
  return replica.digest ? std::optional(replica.digest->version) : std::nullopt;
}

void EngineDirectory::record_success(const core::ReplicaId& replica) {
  EngineState& state = states_[replica];
  state.failures = 0;
}

}  // namespace stoneport::steps
