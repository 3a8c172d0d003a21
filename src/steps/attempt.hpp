/// \file
/// One attempt at one slot: a stream on an engine, read to its end over cuts and
/// moves. Steps thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "rollout/provenance.hpp"
#include "rollout/stream_name.hpp"
#include "steps/step_context.hpp"

namespace stoneport::steps {

/// How an attempt ended.
enum class AttemptEnd {
  kFinished,   ///< the stream ended whole; text and spans are in the attempt
  kRefused,    ///< the engine did not start it
  kFailed,     ///< the stream was lost, cancelled there, or could not be read on
  kUnfit,      ///< versions cannot be stated
  kFenced,     ///< an engine has seen a higher epoch for this step
  kCancelled,  ///< by our own side
};

class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  struct Order {
    rollout::StreamName name;
    /// Where it runs, or for a new stream shall run.
    routing::Replica engine;
    ports::GenerationRequest request;
    /// The stream exists already, begun by an earlier owner of the step.
    bool adopted = false;
    core::MonotonicTime deadline;
  };

  /// Counts as a stream of its engine from here on, so that the next placement
  /// sees it, until run() ends.
  Attempt(StepContext& context, Order order);

  /// Runs to the end; called once, always.
  boost::asio::awaitable<AttemptEnd> run();

  /// Stops it, on the engine as well.
  void cancel();
  /// Stops reading and leaves the stream to whoever owns the step now.
  void detach();
  /// Moves the stream to \p target by its cache; where that fails it goes on as
  /// it was, or ends in kFailed.
  void migrate_to(routing::Replica target);
  /// Raises the stream's priority, once.
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
  /// \return since the first token read; zero before the second chunk.
  double tokens_per_second() const;

 private:
  using StreamResult = core::Result<std::unique_ptr<ports::TokenStream>>;
  enum class Stop { kNone, kCancel, kDetach };

  boost::asio::awaitable<std::optional<AttemptEnd>> open();
  boost::asio::awaitable<std::optional<AttemptEnd>> read();
  boost::asio::awaitable<bool> resume();
  boost::asio::awaitable<bool> migrate(routing::Replica target);
  boost::asio::awaitable<StreamResult> import_at(ports::KvExport exported, routing::Replica from,
                                                 routing::Replica target);
  std::optional<AttemptEnd> take(const ports::TokenChunk& chunk);
  AttemptEnd take(const ports::StreamEnd& end);
  void interrupt();
  void move_usage(const core::ReplicaId& from, const core::ReplicaId& to);
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
