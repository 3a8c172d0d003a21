#include "steps/engine_directory.hpp"

#include <algorithm>

#include "core/backoff.hpp"

namespace stoneport::steps {
namespace {

/// Own streams at one engine, as a multiple of what it runs at once. Some wait
/// there so that its batch stays full; more would wait without being movable.
constexpr double kMostStreamsPerPlace = 1.25;

/// How long a version seen in a stream stands for an engine without a newer report.
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

const EngineDirectory::Usage& EngineDirectory::usage(const core::ReplicaId& replica) const {
  static const Usage unused;
  const auto found = usage_.find(replica);
  return found == usage_.end() ? unused : found->second;
}

bool EngineDirectory::is_full(const routing::Replica& replica) {
  const routing::ReplicaLoad& own = loads_.of(replica.id);
  if (!own.has_room()) {
    return true;
  }
  if (!replica.digest || replica.digest->max_running == 0) {
    return false;
  }
  return own.in_flight() >= kMostStreamsPerPlace * replica.digest->max_running;
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
    const Usage& own = usage(replica.id);
    rollout::EngineCandidate candidate;
    candidate.id = replica.id;
    candidate.in_flight = loads_.of(replica.id).in_flight();
    candidate.suspect = replica.state == routing::ReplicaState::kSuspect;
    candidate.closed = now < own.closed_until || is_full(replica);
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
    const Usage& own = usage(replica.id);
    const bool is_open = replica.state == routing::ReplicaState::kUsable && replica.digest &&
                         !replica.digest->swapping && now >= own.closed_until;
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

void EngineDirectory::refused(const core::ReplicaId& replica,
                              std::optional<core::Duration> retry_after) {
  const StepSettings& settings = dependencies_.settings;
  Usage& own = usage_[replica];
  const core::MonotonicTime now = dependencies_.time.now();
  if (now < own.closed_until) {
    return;  // one refusal for all streams that were on their way
  }
  core::Duration pause = core::backoff_delay(settings.backoff, own.failures++, random_);
  if (retry_after) {
    pause = std::clamp(*retry_after, pause, settings.backoff.longest);
  }
  own.closed_until = now + pause;
}

void EngineDirectory::saw_version(const core::ReplicaId& replica, core::WeightVersion version) {
  Usage& own = usage_[replica];
  own.seen_version = version;
  own.seen_at = dependencies_.time.now();
}

std::optional<core::WeightVersion> EngineDirectory::version_of(
    const routing::Replica& replica) const {
  const Usage& own = usage(replica.id);
  const bool is_recent =
      own.seen_version && dependencies_.time.now() - own.seen_at < kSeenVersionLifetime;
  if (is_recent && (!replica.digest || replica.digest->taken_at < own.seen_at)) {
    return own.seen_version;
  }
  return replica.digest ? std::optional(replica.digest->version) : std::nullopt;
}

void EngineDirectory::worked(const core::ReplicaId& replica) {
  Usage& own = usage_[replica];
  own.failures = 0;
}

}  // namespace stoneport::steps
