/// \file
/// Discrete model of one model engine: continuous batching, prefill and decode,
/// priorities, prefix cache, resume, KV export and import, fenced orders and
/// weight switches. No sockets and no clock: the time is an input, so that the
/// emulator's listeners and a discrete-event simulation share it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/error.hpp"
#include "emulator/engine_settings.hpp"
#include "emulator/engine_weights.hpp"
#include "emulator/load_history.hpp"
#include "emulator/prefix_cache.hpp"

namespace stoneport::emulator {

struct StreamRequest {
  core::StreamId stream;
  std::string prompt;
  std::uint32_t max_tokens = 256;
  std::int32_t priority = 0;
  std::uint64_t seed = 0;
  core::Epoch epoch;  ///< zero: unowned
};

/// Consecutive tokens made by one version.
struct VersionSpan {
  core::WeightVersion version;
  std::uint32_t token_count = 0;
  bool operator==(const VersionSpan&) const = default;
};

enum class StreamState { kWaiting, kRunning, kFinished };
enum class StreamFinish { kStop, kLength, kCancelled };

/// One generation as the engine keeps it.
struct EngineStream {
  StreamRequest request;
  std::uint64_t key = 0;  ///< names its text
  std::uint32_t prompt_tokens = 0;
  std::uint32_t target_tokens = 0;  ///< its length, unless cancelled
  bool reaches_limit = false;
  std::vector<std::uint64_t> hashes;  ///< of the prompt's prefixes
  StreamState state = StreamState::kWaiting;
  StreamFinish finish = StreamFinish::kStop;
  std::uint64_t arrival = 0;
  std::uint32_t generated = 0;
  std::vector<VersionSpan> spans;
  bool cache_in_place = false;  ///< its KV cache came with an import
  core::MonotonicTime ended_at{};

  std::uint64_t context_tokens() const { return std::uint64_t{prompt_tokens} + generated; }
};

/// A stream taken off its engine, for another to continue.
struct ExportedStream {
  StreamRequest request;
  std::uint32_t generated = 0;
  std::vector<VersionSpan> spans;
  std::uint64_t size_bytes = 0;
};

enum class EngineRole { kMixed, kPrefill, kDecode };

struct EngineState {
  core::WeightVersion version;
  std::optional<core::WeightVersion> prefetched;
  EngineRole role = EngineRole::kMixed;
  bool swapping = false;
  bool leaving = false;
};

/// Running totals, for the emulator's own account.
struct EngineTotals {
  std::uint64_t streams_started = 0;
  std::uint64_t streams_finished = 0;
  std::uint64_t streams_cancelled = 0;
  std::uint64_t streams_refused = 0;
  std::uint64_t tokens_generated = 0;
  std::uint64_t prompt_blocks = 0;         ///< of admitted prompts
  std::uint64_t prompt_blocks_cached = 0;  ///< of them found in the prefix cache
  std::uint64_t preemptions = 0;
  std::uint64_t steps = 0;
};

class EngineModel {
 public:
  /// \param source where versions are read from; outlives the model
  EngineModel(EngineSettings settings, WeightSource& source, std::uint64_t random_seed);

  /// Queues a stream. kFenced below the highest epoch seen for its prefix (all
  /// before the last '/'), kConflict for an id that is here already,
  /// kRateLimited with a full queue, kUnavailable while leaving.
  core::Result<void> start(StreamRequest request, core::MonotonicTime now);
  /// Ends a stream and frees its place; nothing happens when there is none.
  void cancel(const core::StreamId& stream, core::MonotonicTime now);
  /// \return kNotFound when there is no such unfinished stream.
  core::Result<void> set_priority(const core::StreamId& stream, std::int32_t priority,
                                  core::MonotonicTime now);
  /// Takes an unfinished stream off this engine; kNotFound when there is none.
  core::Result<ExportedStream> export_stream(const core::StreamId& stream, core::MonotonicTime now);
  /// Queues a stream that goes on where its export ended; errors as start().
  core::Result<void> import_stream(ExportedStream exported, core::MonotonicTime now);

  /// Orders carry an epoch; below the highest seen they are refused with kFenced.
  core::Result<void> prefetch(const core::PolicyName& policy, core::WeightVersion version,
                              core::Epoch epoch, core::MonotonicTime now);
  core::Result<void> load(VersionLoad load, core::Epoch epoch, core::MonotonicTime now);
  core::Result<void> load_adapter(const core::AdapterName& adapter, core::WeightVersion version,
                                  core::Epoch epoch, core::MonotonicTime now);
  core::Result<void> change_role(EngineRole role, core::Epoch epoch, core::MonotonicTime now);

  /// Carries out all that happens up to \p now.
  void advance(core::MonotonicTime now);
  /// \return when something happens next without a call; nothing while idle.
  std::optional<core::MonotonicTime> next_change() const;

  /// \return the stream, running or still kept after its end, or null.
  const EngineStream* find(const core::StreamId& stream) const;
  std::vector<const EngineStream*> streams(std::string_view prefix) const;
  EngineState state() const;
  /// \return load figures as published: they lag.
  AgedLoad load(core::MonotonicTime now) const;
  /// \return load figures of this instant.
  LoadFigures current_load() const;
  PrefixCacheEvents cache_events(std::uint64_t after, core::MonotonicTime now) const;

  void set_leaving(bool leaving) { leaving_ = leaving; }
  /// Puts \p faults in force from \p now on.
  void set_faults(const EngineFaults& faults, core::MonotonicTime now);
  const EngineFaults& faults() const { return faults_; }
  /// \return whether a chunk is to lose its version; takes one off the count.
  bool take_version_loss();
  const EngineTotals& totals() const { return totals_; }
  const EngineSettings& settings() const { return settings_; }
  /// Called with each stream that ends by itself, from within advance().
  void on_finished(std::function<void(const EngineStream&)> listener) {
    on_finished_ = std::move(listener);
  }

 private:
  /// Order of admission: higher priority, then earlier arrival.
  struct QueuePlace {
    std::int32_t priority = 0;
    std::uint64_t arrival = 0;
    EngineStream* stream = nullptr;
    bool operator<(const QueuePlace& other) const {
      return priority != other.priority ? priority > other.priority : arrival < other.arrival;
    }
  };

  core::Result<void> check_new(const StreamRequest& request);
  core::Result<void> check_order(core::Epoch epoch);
  EngineStream& insert(StreamRequest request);
  EngineStream* find_unfinished(const core::StreamId& stream);
  static QueuePlace place_of(EngineStream& stream);
  void settle(core::MonotonicTime now);
  void advance_weights(core::MonotonicTime now);
  void cancel_running(core::MonotonicTime now);
  void begin_step(core::MonotonicTime now);
  void end_step(core::MonotonicTime now);
  std::uint64_t admit(core::MonotonicTime now);
  bool make_room(const EngineStream& candidate);
  void preempt(EngineStream& stream);
  void relieve_memory();
  void decode(EngineStream& stream, core::MonotonicTime now);
  std::uint64_t prefill_tokens(EngineStream& stream, core::MonotonicTime now);
  core::Duration step_length(std::uint64_t prefill_tokens) const;
  void end_stream(EngineStream& stream, StreamFinish finish, core::MonotonicTime now);
  void forget_old(core::MonotonicTime now);
  void note_load(core::MonotonicTime now);

  EngineSettings settings_;
  EngineFaults faults_;
  EngineWeights weights_;
  PrefixCache cache_;
  std::unordered_map<core::StreamId, std::unique_ptr<EngineStream>> streams_;
  std::set<QueuePlace> waiting_;
  std::set<QueuePlace> running_;
  std::multimap<core::MonotonicTime, core::StreamId> ended_;
  std::unordered_map<std::string, core::Epoch> owner_epochs_;  ///< by stream prefix
  core::Epoch order_epoch_;
  std::map<core::AdapterName, core::WeightVersion> adapters_;
  EngineRole role_ = EngineRole::kMixed;
  bool leaving_ = false;
  std::uint64_t next_arrival_ = 1;
  std::uint64_t context_tokens_ = 0;  ///< of running streams
  std::optional<core::MonotonicTime> step_ends_at_;
  core::WeightVersion step_version_;  ///< that makes the step's tokens
  std::optional<core::MonotonicTime> paused_until_;
  double tokens_per_second_ = 0;
  LoadHistory load_history_;
  EngineTotals totals_;
  std::function<void(const EngineStream&)> on_finished_;
};

}  // namespace stoneport::emulator
