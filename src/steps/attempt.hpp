/// \file
/// One attempt to generate the sample of a slot: a stream on an engine, which is read to its end
/// across disconnects and migrations. Used on the steps thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "rollout/provenance.hpp"
#include "rollout/stream_name.hpp"
#include "steps/step_context.hpp"

namespace stoneport::steps {

/// Outcome of an attempt.
enum class AttemptOutcome {
  kFinished,   ///< the stream is complete; text and spans are in content()
  kRefused,    ///< the engine did not start the stream
  kFailed,     ///< the stream was lost, cancelled on the engine, or could not be resumed
  kDefective,  ///< the stream has a SampleDefect, such as a chunk without a version
  kFenced,     ///< an engine has seen a higher epoch for this step
  kCancelled,  ///< cancelled or detached by this daemon
};

/// Generates one sample on an engine.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  struct Order {
    rollout::StreamName name;
    /// Engine of the stream, or for a new stream the one to start it on.
    routing::Replica engine;
    ports::GenerationRequest request;
    /// Whether the stream already exists, begun by an earlier owner of the step.
    bool adopted = false;
    core::MonotonicTime deadline;
  };

  /// Counts as a stream of its engine from construction until run() ends, so that the next
  /// placement takes it into account.
  Attempt(StepContext& context, Order order);

  /// Runs the attempt to its end. Must be called exactly once.
  boost::asio::awaitable<AttemptOutcome> run();

  /// Cancels the attempt and its stream on the engine.
  void cancel();
  /// Stops reading and leaves the stream on the engine for the step's new owner.
  void detach();
  /// Migrates the stream and its KV cache to \p target. On failure the stream continues where it
  /// is, or the attempt ends with kFailed.
  void migrate_to(routing::Replica target);
  /// Raises the stream's priority. Has an effect only once.
  void raise_priority(std::int32_t by);

  const rollout::StreamName& name() const { return order_.name; }
  core::SlotId slot() const { return order_.name.slot; }
  const routing::Replica& engine() const { return order_.engine; }
  const rollout::ProvenanceBuilder& content() const { return content_; }
  std::size_t prompt_bytes() const { return order_.request.prompt.size(); }
  core::MonotonicTime started_at() const { return started_at_; }
  bool is_stopping() const { return stop_ != Stop::kNone; }
  bool is_raised() const { return raised_; }
  bool is_reading() const { return reading_; }
  std::uint32_t migrations() const { return migrations_; }
  /// \return the token rate since the first chunk; zero before the second one.
  double tokens_per_second() const;

 private:
  using StreamResult = core::Result<std::unique_ptr<ports::TokenStream>>;
  enum class Stop { kNone, kCancel, kDetach };

  boost::asio::awaitable<std::optional<AttemptOutcome>> open();
  boost::asio::awaitable<std::optional<AttemptOutcome>> read();
  boost::asio::awaitable<bool> resume();
  boost::asio::awaitable<bool> migrate(routing::Replica target);
  boost::asio::awaitable<StreamResult> import_at(ports::KvExport exported, routing::Replica from,
                                                 routing::Replica target);
  std::optional<AttemptOutcome> handle(const ports::TokenChunk& chunk);
  AttemptOutcome handle(const ports::StreamEnd& end);
  void interrupt();
  void move_load(const core::ReplicaId& from, const core::ReplicaId& to);
  void cancel_at(const routing::Replica& replica);
  std::shared_ptr<ports::ModelEngine> client() const;

  StepContext& context_;
  Order order_;
  core::StreamId stream_id_;
  rollout::ProvenanceBuilder content_;
  std::unique_ptr<ports::TokenStream> stream_;
  std::optional<routing::Replica> migration_target_;
  Stop stop_ = Stop::kNone;
  bool reading_ = true;
  bool raised_ = false;
  std::uint32_t migrations_ = 0;
  core::MonotonicTime started_at_;
  core::MonotonicTime first_token_at_{};
  std::uint64_t first_token_count_ = 0;
};

}  // namespace stoneport::steps
