/// \file
/// Last filter of completions: runs the generation on an engine, reads a cut
/// stream on there, and begins again elsewhere while nothing has been passed on.
#pragma once

#include "filters/caller_metrics.hpp"
#include "filters/completion_text.hpp"
#include "filters/filter.hpp"
#include "filters/replica_pools.hpp"
#include "routing/replica_observer.hpp"

namespace stoneport::filters {

/// Gives out stream identifiers, unique over engines and attempts.
class StreamIdSource {
 public:
  /// \param seed differs between threads and between lives of the process
  StreamIdSource(core::NodeId node, std::uint64_t seed) : node_(std::move(node)), seed_(seed) {}
  core::StreamId next();

 private:
  core::NodeId node_;
  std::uint64_t seed_;
  std::uint64_t count_ = 0;
};

class CompletionFilter : public Filter {
 public:
  CompletionFilter(ReplicaPools& pools, ports::ModelEngineFactory& engines,
                   routing::ReplicaObserver& observer, core::TimeSource& time,
                   StreamIdSource& stream_ids, CallerMetrics& metrics)
      : pools_(pools),
        engines_(engines),
        observer_(observer),
        time_(time),
        stream_ids_(stream_ids),
        metrics_(metrics) {}
  boost::asio::awaitable<Outcome> handle(RequestContext& request, FilterChain rest) override;

 private:
  struct Run;
  struct Attempt;
  /// How one attempt ended: whole, or with an error.
  using AttemptEnd = core::Result<void>;

  boost::asio::awaitable<AttemptEnd> generate(Run& run, Attempt& attempt);
  boost::asio::awaitable<AttemptEnd> read_stream(Run& run, Attempt& attempt,
                                                 ports::TokenStream& stream);
  boost::asio::awaitable<AttemptEnd> pass_on(Run& run, const ports::TokenChunk& chunk);
  boost::asio::awaitable<Outcome> finish(Run& run);
  Refused refuse(const Run& run, core::Error error);
  std::optional<Outcome> give_up(Run& run, const core::Error& error);
  void note_failure(Run& run, Attempt& attempt, const core::Error& error);
  ports::GenerationRequest generation(const Run& run, const Attempt& attempt) const;

  ReplicaPools& pools_;
  ports::ModelEngineFactory& engines_;
  routing::ReplicaObserver& observer_;
  core::TimeSource& time_;
  StreamIdSource& stream_ids_;
  CallerMetrics& metrics_;
};

}  // namespace stoneport::filters
