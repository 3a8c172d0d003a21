/// \file
/// Port to a model engine. The types are independent of the engine's HTTP protocol, which is
/// implemented in http_model_engine.cpp.
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
  core::StreamId stream;  ///< chosen by the caller; unique across engines and attempts
  core::ModelName model;
  std::optional<core::AdapterName> adapter;
  std::string prompt;
  std::uint32_t max_tokens = 256;
  std::int32_t priority = 0;  ///< higher runs first
  double temperature = 1.0;
  std::uint64_t seed = 0;
  /// Fencing token against older owners of the same work; zero means unowned.
  core::Epoch epoch;
};

/// Consecutive tokens generated with one weight version.
struct TokenChunk {
  std::uint64_t offset = 0;  ///< position of the first token in the stream
  std::uint32_t token_count = 0;
  std::string text;
  /// Version reported by the engine; without it the chunk cannot be attributed to a version.
  std::optional<core::WeightVersion> version;
};

enum class FinishReason { kStop, kLength, kCancelled };
struct StreamEnd {
  FinishReason reason = FinishReason::kStop;
  std::uint64_t token_count = 0;  ///< total of the stream
};
using StreamItem = std::variant<TokenChunk, StreamEnd>;

/// Connection to a running generation. Destroying it closes the connection; the engine continues
/// until cancel_stream() or its own time limit, so the stream can be resumed.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  /// \return the next item, of which StreamEnd is the last; kTruncated if the connection ended
  /// before the StreamEnd, kCancelled after cancel().
  virtual boost::asio::awaitable<core::Result<StreamItem>> next() = 0;
  /// Aborts a pending next() and closes the connection.
  virtual void cancel() = 0;
};

struct StreamStatus {
  core::StreamId stream;
  std::uint64_t token_count = 0;
  bool finished = false;
  /// Reason of the end; nullopt while the stream runs or if the engine does not report it.
  std::optional<FinishReason> finish_reason = std::nullopt;
};

/// Handle to the KV cache of a stream, exported by one engine for import by another.
struct KvExport {
  core::StreamId stream;
  std::string handle;
  std::uint64_t size_bytes = 0;
  std::uint64_t token_count = 0;  ///< generated so far
};

enum class EngineRole { kMixed, kPrefill, kDecode };

/// Status reported by an engine. The load figures and the version may be out of date.
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
  core::Duration report_age{};  ///< age of the load figures
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
  bool gap = false;  ///< events were lost, so the known cache content is stale
};

struct PrefetchVersion {
  core::PolicyName policy;
  core::WeightVersion version;
};
struct LoadVersion {
  core::PolicyName policy;
  core::WeightVersion version;
  /// Handling of running streams: continue across the swap (new tokens have the new version),
  /// finish before the swap, or cancel.
  enum class RunningStreams { kContinue, kFinish, kCancel } running = RunningStreams::kContinue;
};
struct LoadAdapter {
  core::AdapterName adapter;
  core::WeightVersion version;
};
struct ChangeRole {
  EngineRole role = EngineRole::kMixed;
};
/// Command to an engine. It is sent with an epoch; the engine rejects an epoch below the highest
/// one it has received.
using EngineOrder = std::variant<PrefetchVersion, LoadVersion, LoadAdapter, ChangeRole>;

class ModelEngine {
 public:
  virtual ~ModelEngine() = default;
  /// Starts a generation.
  /// \return its stream; kUnavailable, kRateLimited or kOverloaded if it was not started,
  /// kOutcomeUnknown if it may be running under its stream id.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> generate(
      GenerationRequest request, core::MonotonicTime deadline) = 0;
  /// Continues to read a stream from token \p offset.
  /// \return the stream; kNotFound if the engine has no stream with this id.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> resume(
      core::StreamId stream, std::uint64_t offset, core::MonotonicTime deadline) = 0;
  /// Stops a stream and frees its cache. Succeeds also if the stream does not exist.
  virtual boost::asio::awaitable<core::Result<void>> cancel_stream(core::StreamId stream) = 0;
  virtual boost::asio::awaitable<core::Result<void>> set_priority(core::StreamId stream,
                                                                  std::int32_t priority) = 0;
  /// \return streams whose id starts with \p prefix.
  virtual boost::asio::awaitable<core::Result<std::vector<StreamStatus>>> list_streams(
      std::string prefix) = 0;
  /// Stops the stream on this engine and exports its KV cache.
  virtual boost::asio::awaitable<core::Result<KvExport>> export_kv(core::StreamId stream) = 0;
  /// Continues, under the same id, a stream that the engine at \p source exported.
  virtual boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> import_kv(
      KvExport exported, core::Address source, core::MonotonicTime deadline) = 0;
  virtual boost::asio::awaitable<core::Result<EngineReport>> report() = 0;
  virtual boost::asio::awaitable<core::Result<CacheEvents>> cache_events(std::uint64_t after) = 0;
  /// \return kFenced if the engine has received a higher epoch.
  virtual boost::asio::awaitable<core::Result<void>> order(EngineOrder order,
                                                           core::Epoch epoch) = 0;
};

/// Returns one client per engine address.
class ModelEngineFactory {
 public:
  virtual ~ModelEngineFactory() = default;
  virtual std::shared_ptr<ModelEngine> engine_at(core::Address address) = 0;
};

}  // namespace stoneport::ports
