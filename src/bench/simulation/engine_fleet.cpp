#include "bench/simulation/engine_fleet.hpp"

#include <algorithm>
#include <charconv>

#include "bench/simulation/workload.hpp"

namespace stoneport::bench {

namespace {
constexpr std::size_t kEngineIdStart = sizeof("engine-") - 1;
constexpr int kFirstEngineNumber = 1000;
}  // namespace

core::ReplicaId engine_id(std::size_t index) {
  return core::ReplicaId("engine-" + std::to_string(kFirstEngineNumber + index));
}

EngineFleet::EngineFleet(EventQueue& events, const Scenario& scenario, std::uint64_t seed)
    : events_(events), scenario_(scenario), random_(mix(seed, 21)) {
  core::RandomSource speeds(mix(seed, 22));
  for (std::size_t index = 0; index < scenario.engines; ++index) {
    EngineSettings settings = scenario.engine;
    const double slower = 1 + scenario.engine_speed_spread * speeds.fraction();
    settings.base_seconds *= slower;
    settings.per_stream_seconds *= slower;
    settings.per_context_token_seconds *= slower;
    settings.prefill_tokens_per_second /= slower;
    engines_.push_back(std::make_unique<SimulatedEngine>(
        events, settings, [this, index](SimulatedStream stream, bool complete) {
          const StreamOwner owner = stream.key >> kOwnerShift;
          owners_.at(owner)(index, std::move(stream), complete);
        }));
    routing::Replica replica;
    replica.id = engine_id(index);
    replica.zone = core::ZoneName(scenario.zones[index % scenario.zones.size()]);
    replica.incarnation = core::Incarnation(1);
    replicas_.push_back(std::move(replica));
    read_report(index);
  }
  watch();
}

void EngineFleet::set_owner(StreamOwner owner, EndHandler handler) {
  if (owners_.size() <= owner) {
    owners_.resize(owner + 1);
  }
  owners_[owner] = std::move(handler);
}

bool EngineFleet::submit(std::size_t index, SimulatedStream stream) {
  const std::uint64_t version = engines_[index]->version().value();
  const auto prefix = stream.prefix;
  const std::uint32_t tokens = stream.prompt_tokens;
  if (!engines_[index]->submit(std::move(stream))) {
    return false;
  }
  prompt_tokens_ += tokens;
  for (const std::uint64_t block : *prefix) {
    const bool is_new = seen_blocks_.insert(block ^ (version << 48)).second;
    prompt_tokens_seen_before_ += is_new ? 0 : kTokensPerBlock;
  }
  return true;
}

std::size_t EngineFleet::index_of(const core::ReplicaId& id) const {
  std::size_t number = 0;
  const std::string& text = id.value();
  const auto parsed =
      std::from_chars(text.data() + kEngineIdStart, text.data() + text.size(), number);
  const bool known = parsed.ec == std::errc() && number >= kFirstEngineNumber;
  return known ? std::min(number - kFirstEngineNumber, size()) : size();
}

/// Reads every engine once an interval; the readings are in force one report age
/// later.
void EngineFleet::watch() {
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    read_report(index);
  }
  events_.after(scenario_.lag.watch_interval, [this] { watch(); });
}

void EngineFleet::read_report(std::size_t index) {
  const SimulatedEngine& engine = *engines_[index];
  auto digest = std::make_shared<routing::ReplicaDigest>();
  digest->taken_at = events_.now();
  digest->running = engine.running_count();
  digest->waiting = engine.waiting_count();
  digest->max_running = engine.settings().max_running;
  digest->tokens_per_second = engine.tokens_per_second();
  digest->version = engine.version();
  digest->swapping = engine.is_switching() || engine.is_paused();
  const bool gap = random_.chance(scenario_.lag.cache_gap_probability);
  if (!gap) {
    digest->cached_prefixes = engine.cache().newest_hashes(scenario_.lag.digest_prefixes);
  }
  const bool up = engine.is_up();
  events_.after(scenario_.lag.report_age, [this, index, digest, gap, up] {
    routing::Replica& replica = replicas_[index];
    if (gap && replica.digest) {
      digest->cached_prefixes = std::move(replica.digest->cached_prefixes);
    }
    replica.state = up ? routing::ReplicaState::kUsable : routing::ReplicaState::kDown;
    replica.digest = std::move(*digest);
  });
}

void EngineFleet::crash(std::size_t index) {
  engines_[index]->crash();
}

void EngineFleet::restart(std::size_t index, core::WeightVersion version) {
  engines_[index]->restart(version);
  replicas_[index].incarnation = replicas_[index].incarnation.next();
}

EngineCounts EngineFleet::total_counts() const {
  EngineCounts total;
  for (const auto& engine : engines_) {
    total.tokens_generated += engine->counts().tokens_generated;
    total.prompt_tokens += engine->counts().prompt_tokens;
    total.prompt_tokens_cached += engine->counts().prompt_tokens_cached;
    total.busy_seconds += engine->counts().busy_seconds;
  }
  return total;
}

}  // namespace stoneport::bench
