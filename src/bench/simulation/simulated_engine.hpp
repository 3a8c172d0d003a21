/// \file
/// Model of one engine with continuous batching, in virtual time. One iteration
/// makes a token for every running stream and lasts
///
///     base + per_stream * streams + per_context_token * context tokens
///
/// Between two changes of the batch the time of n iterations has a closed form,
/// so the cost of a run grows with the number of streams and not of tokens.
/// A prefill holds up the whole batch for the uncached part of its prompt. KV
/// memory is charged at admission; growth beyond it does not preempt.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "bench/simulation/event_queue.hpp"
#include "bench/simulation/prefix_cache.hpp"
#include "core/identifiers.hpp"
#include "rollout/sample.hpp"

namespace stoneport::bench {

struct EngineSettings {
  double base_seconds = 0;               ///< of an iteration
  double per_stream_seconds = 0;         ///< added for each running stream
  double per_context_token_seconds = 0;  ///< added for each token of context
  double prefill_tokens_per_second = 0;
  std::uint32_t max_running = 64;
  std::uint32_t max_waiting = 4096;
  std::uint64_t kv_capacity_tokens = 0;  ///< of running streams
  std::uint64_t cache_capacity_tokens = 0;
  core::Duration switch_time{};  ///< standstill while fetched weights are put in place
};

using StreamKey = std::uint64_t;

/// A generation as the engine gets it. The length is drawn beforehand, from the
/// seed; no decision may read it.
struct SimulatedStream {
  StreamKey key = 0;
  std::shared_ptr<const PrefixBlocks> prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t length = 0;  ///< tokens that it will generate
  std::int32_t priority = 0;
  std::uint32_t generated = 0;
  std::vector<rollout::VersionSpan> spans;  ///< of the tokens generated so far
};

/// Work done for streams, whether or not it was of use.
struct EngineCounts {
  std::uint64_t tokens_generated = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t prompt_tokens_cached = 0;
  double busy_seconds = 0;
};

/// What becomes of running streams at a switch of weights.
enum class SwitchMode { kContinue, kFinish, kCancel };

class SimulatedEngine {
 public:
  /// A stream ended: it has all its tokens, or it was thrown out by a switch
  /// with kCancel or by a crash.
  using EndHandler = std::function<void(SimulatedStream stream, bool complete)>;

  SimulatedEngine(EventQueue& events, EngineSettings settings, EndHandler on_end);

  /// \return false when the queue is full or the engine is down.
  bool submit(SimulatedStream stream);
  /// Takes the stream out. \return it as far as it has come, or nothing.
  std::optional<SimulatedStream> remove(StreamKey key);
  /// Takes in a stream that another engine exported; no prefill is needed.
  bool import_stream(SimulatedStream stream);
  bool set_priority(StreamKey key, std::int32_t priority);

  /// Puts weights in place that have been fetched.
  /// \param done called when the switch has ended, unless a crash came before
  void switch_weights(core::WeightVersion version, SwitchMode mode, std::function<void()> done);
  /// Stands still until resume(): weights are fetched without a prefetch.
  void pause();
  void resume();
  /// Loses every stream and the cache, and refuses until restart().
  void crash();
  void restart(core::WeightVersion version);

  bool is_up() const { return up_; }
  bool is_switching() const { return switching_; }
  bool is_paused() const { return pauses_ > 0; }
  core::WeightVersion version() const { return version_; }
  std::uint32_t running_count() const { return static_cast<std::uint32_t>(running_.size()); }
  std::uint32_t waiting_count() const { return static_cast<std::uint32_t>(waiting_.size()); }
  const EngineSettings& settings() const { return settings_; }
  const EngineCounts& counts() const { return counts_; }
  const PrefixCache& cache() const { return cache_; }
  /// \return tokens generated so far, by the stream's readers' view; nothing when unknown.
  std::optional<std::uint32_t> generated(StreamKey key) const;
  /// \return the version of the stream's first token; nothing before it.
  std::optional<core::WeightVersion> oldest_version(StreamKey key) const;
  /// \return tokens a second over all running streams at the present batch.
  double tokens_per_second() const;

 private:
  struct Running {
    SimulatedStream stream;
    std::uint64_t start_iteration = 0;   ///< iteration count when it joined the batch
    std::uint64_t finish_iteration = 0;  ///< iteration count at its last token
    std::uint32_t tokens_at_start = 0;
  };

  bool may_run() const { return up_ && pauses_ == 0 && !switching_; }
  double iteration_seconds(double context) const;
  double seconds_for(std::uint64_t iterations) const;
  std::uint64_t whole_iterations_in(double seconds) const;
  std::uint64_t iterations_until(core::MonotonicTime time) const;
  std::uint64_t iterations_until_first_end() const;
  void advance_to_boundary();
  void move_to(std::uint64_t iterations);
  std::uint32_t tokens_of(const Running& entry) const;
  void admit_waiting();
  bool preempt_below(std::int32_t priority);
  bool admit(SimulatedStream stream, bool needs_prefill);
  void schedule();
  void on_timer(std::uint64_t generation);
  void finish_due();
  void close_span(Running& running);
  SimulatedStream take_out(std::size_t index);
  void cancel_running();
  void begin_switch();
  void end_switch(std::uint64_t life);

  EventQueue& events_;
  EngineSettings settings_;
  EndHandler on_end_;
  PrefixCache cache_;
  EngineCounts counts_;
  core::WeightVersion version_{1};
  bool up_ = true;
  bool switching_ = false;
  bool admitting_ = true;  ///< false while a kFinish switch waits for running streams
  int pauses_ = 0;
  std::uint64_t life_ = 0;
  std::uint64_t timer_generation_ = 0;

  std::vector<Running> running_;
  std::vector<SimulatedStream> waiting_;  ///< in order: priority, then arrival
  std::uint64_t iteration_ = 0;           ///< completed up to anchor_
  core::MonotonicTime anchor_{};          ///< end of the last accounted iteration or prefill
  double context_tokens_ = 0;             ///< of all running streams at anchor_

  struct PendingSwitch {
    core::WeightVersion version;
    std::function<void()> done;
  };
  std::optional<PendingSwitch> pending_switch_;
};

}  // namespace stoneport::bench
