/// \file
/// Port to one model engine. Typed terms of the domain; the engine's HTTP
/// dialect stays in http_model_engine.cpp.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ports {

struct GenerationRequest {
  core::StreamId stream;  ///< chosen by us; unique over engines and attempts
  core::ModelName model;
  std::optional<core::AdapterName> adapter;
  std::string prompt;
  std::uint32_t max_tokens = 256;
  std::int32_t priority = 0;  ///< higher runs first
  double temperature = 1.0;
  std::uint64_t seed = 0;
  /// Fences out an older owner of the same work; zero means unowned.
  core::Epoch epoch;
};

/// Consecutive tokens made by one weight version.
struct TokenChunk {
  std::uint64_t offset = 0;  ///< of its first token in the generated text
  std::uint32_t token_count = 0;
  std::string text;
  /// As the engine stamped it; a chunk without one cannot be attributed.
  std::optional<core::WeightVersion> version;
};

enum class FinishReason { kStop, kLength, kCancelled };
struct StreamEnd {
  FinishReason reason = FinishReason::kStop;
  std::uint64_t token_count = 0;  ///< over the whole stream
};
using StreamItem = std::variant<TokenChunk, StreamEnd>;

/// One running generation. Destroying it closes the connection; the engine goes
/// on until cancel_stream() or its own time limit, so it can be resumed.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  /// \return the next item; nothing follows a StreamEnd. kTruncated when the
  /// connection ended before it, kCancelled after cancel().
  virtual boost::asio::awaitable<core::Result<StreamItem>> next() = 0;
  /// Ends a pending next() and closes the connection.
  virtual void cancel() = 0;
};

struct StreamStatus {
  core::StreamId stream;
  std::uint64_t token_count = 0;
  bool finished = false;
  /// Why it ended; nothing while it runs, or when the engine does not say.
  std::optional<FinishReason> finish_reason = std::nullopt;
};

/// Handle to a stream's KV cache, exported by one engine for another.
struct KvExport {
  core::StreamId stream;
  std::string handle;
  std::uint64_t size_bytes = 0;
  std::uint64_t token_count = 0;  ///< generated so far
};

enum class EngineRole { kMixed, kPrefill, kDecode };

/// As the engine says of itself; the load figures lag, the version does not
/// claim to be of this instant either.
struct EngineReport {
  core::Incarnation incarnation;
  core::ModelName model;
  core::WeightVersion version;
  std::optional<core::WeightVersion> prefetched;
  EngineRole role = EngineRole::kMixed;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_running = 0;
  std::uint64_t kv_used_tokens = 0;
  std::uint64_t kv_capacity_tokens = 0;
  double tokens_per_second = 0;
  core::Duration report_age{};  ///< how old the load figures are
  bool swapping = false;
  bool leaving = false;
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  std::uint64_t prefix_hash = 0;
  bool stored = true;  ///< false: evicted
};
struct CacheEvents {
  std::vector<CacheEvent> events;
  std::uint64_t latest_sequence = 0;
  bool gap = false;  ///< some events between are lost; what was known is stale
};

/// Orders carry an epoch; the engine refuses one below the highest it has seen.
struct PrefetchVersion {
  core::PolicyName policy;
  core::WeightVersion version;
};
struct LoadVersion {
  core::PolicyName policy;
  core::WeightVersion version;
  /// What happens to running streams: they go on across the swap (new tokens
  /// carry the new version), finish first, or are cancelled.
  enum class RunningStreams { kContinue, kFinish, kCancel } running = RunningStreams::kContinue;
};
struct LoadAdapter {
  core::AdapterName adapter;
  core::WeightVersion version;
};
struct ChangeRole {
  EngineRole role = EngineRole::kMixed;
};
using EngineOrder = std::variant<PrefetchVersion, LoadVersion, LoadAdapter, ChangeRole>;

class ModelEngine {
 public:
  virtual ~ModelEngine() = default;
  /// Starts a generation. kUnavailable/kRateLimited/kOverloaded: not started.
  /// kOutcomeUnknown: it may be running under its stream id.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> generate(
      GenerationRequest request, core::MonotonicTime deadline) = 0;
  /// Reads a known stream on from token \p offset. kNotFound: the engine has
  /// none of that id.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> resume(
      core::StreamId stream, std::uint64_t offset, core::MonotonicTime deadline) = 0;
  /// Stops a stream and frees its cache. Success also when there is none.
  virtual boost::asio::awaitable<core::Result<void>> cancel_stream(core::StreamId stream) = 0;
  virtual boost::asio::awaitable<core::Result<void>> set_priority(core::StreamId stream,
                                                                  std::int32_t priority) = 0;
  /// \return streams whose id starts with \p prefix.
  virtual boost::asio::awaitable<core::Result<std::vector<StreamStatus>>> list_streams(
      std::string prefix) = 0;
  /// Stops the stream here and hands its cache over under a handle.
  virtual boost::asio::awaitable<core::Result<KvExport>> export_kv(core::StreamId stream) = 0;
  /// Continues a stream exported by the engine at \p source under its id.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> import_kv(
      KvExport exported, core::Address source, core::MonotonicTime deadline) = 0;
  virtual boost::asio::awaitable<core::Result<EngineReport>> report() = 0;
  virtual boost::asio::awaitable<core::Result<CacheEvents>> cache_events(std::uint64_t after) = 0;
  /// \return kFenced when the engine has seen a higher epoch.
  virtual boost::asio::awaitable<core::Result<void>> order(EngineOrder order,
                                                           core::Epoch epoch) = 0;
};

/// Gives out one client per engine address.
class ModelEngineFactory {
 public:
  virtual ~ModelEngineFactory() = default;
  virtual std::shared_ptr<ModelEngine> engine_at(core::Address address) = 0;
};

}  // namespace stoneport::ports
