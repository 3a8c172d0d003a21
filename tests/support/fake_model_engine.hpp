/// \file
/// In-process engines with fault switches. A stream makes tokens while it is
/// read, so that a test decides how far it gets. Text states the truth: one
/// letter a token, 'a' + version.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "ports/model_engine.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::support {

struct FakeEngineFaults {
  bool down = false;                  ///< refuses everything, cuts what runs
  std::uint32_t refuse = 0;           ///< generations to refuse as rate-limited
  std::uint32_t lose_answer = 0;      ///< generations that start, but nobody is told
  std::uint32_t cut = 0;              ///< reads to cut
  std::uint32_t without_version = 0;  ///< chunks that lose their version
  std::uint32_t skip = 0;             ///< chunks whose offset leaves a gap
  std::uint32_t cancel = 0;           ///< streams that the engine gives up
  bool import_fails = false;
  bool forgets = false;  ///< no stream can be resumed
};

class FakeModelEngine : public ports::ModelEngine {
 public:
  struct Stream {
    ports::GenerationRequest request;
    std::string text;  ///< so far
    std::size_t length = 0;
    bool cancelled = false;
    bool exported = false;
    std::int32_t priority = 0;
    bool finished() const { return text.size() == length; }
  };

  explicit FakeModelEngine(boost::asio::any_io_executor executor) : executor_(executor) {}

  FakeEngineFaults faults;
  core::WeightVersion version{1};
  std::size_t stream_length = 12;
  std::size_t chunk_length = 3;
  /// Streams make no token past this one; for stopping them in the middle.
  std::size_t tokens_allowed = 1'000'000;
  std::map<core::StreamId, Stream> streams;
  std::uint32_t generations = 0;
  std::uint32_t cancels = 0;
  std::uint32_t imports = 0;

  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> generate(
      ports::GenerationRequest request, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> resume(
      core::StreamId stream, std::uint64_t offset, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<void>> cancel_stream(core::StreamId stream) override;
  boost::asio::awaitable<core::Result<void>> set_priority(core::StreamId stream,
                                                          std::int32_t priority) override;
  boost::asio::awaitable<core::Result<std::vector<ports::StreamStatus>>> list_streams(
      std::string prefix) override;
  boost::asio::awaitable<core::Result<ports::KvExport>> export_kv(core::StreamId stream) override;
  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> import_kv(
      ports::KvExport exported, core::Address source, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<ports::EngineReport>> report() override;
  boost::asio::awaitable<core::Result<ports::CacheEvents>> cache_events(std::uint64_t) override;
  boost::asio::awaitable<core::Result<void>> order(ports::EngineOrder, core::Epoch) override;

  /// The other engines, for imports.
  std::map<core::Address, std::shared_ptr<FakeModelEngine>>* peers = nullptr;

 private:
  class Reader;
  std::unique_ptr<ports::TokenStream> reader(const core::StreamId& stream, std::uint64_t offset);

  boost::asio::any_io_executor executor_;
  std::map<std::string, core::Epoch> fences_;
};

class FakeEngineFactory : public ports::ModelEngineFactory {
 public:
  std::shared_ptr<ports::ModelEngine> engine_at(core::Address address) override {
    return engines.at(address);
  }
  std::map<core::Address, std::shared_ptr<FakeModelEngine>> engines;
};

namespace fake_engine_detail {

inline constexpr core::Duration kPause = std::chrono::milliseconds(1);

/// Takes one of the faults left.
inline bool take(std::uint32_t& faults) {
  if (faults == 0) {
    return false;
  }
  --faults;
  return true;
}

inline core::Error error(core::ErrorCode code) {
  return core::make_error(code, "fake engine");
}

}  // namespace fake_engine_detail

class FakeModelEngine::Reader : public ports::TokenStream {
 public:
  Reader(FakeModelEngine& engine, core::StreamId stream, std::uint64_t offset)
      : engine_(engine), stream_(std::move(stream)), offset_(offset) {}

  boost::asio::awaitable<core::Result<ports::StreamItem>> next() override {
    while (true) {
      co_await runtime::sleep_for(fake_engine_detail::kPause);
      FakeEngineFaults& faults = engine_.faults;
      if (cancelled_) {
        co_return fake_engine_detail::error(core::ErrorCode::kCancelled);
      }
      if (faults.down || fake_engine_detail::take(faults.cut)) {
        co_return fake_engine_detail::error(core::ErrorCode::kTruncated);
      }
      Stream& state = engine_.streams.at(stream_);
      if (fake_engine_detail::take(faults.cancel)) {
        state.cancelled = true;
      }
      if (offset_ < state.text.size()) {
        co_return chunk(state);
      }
      if (state.cancelled || state.exported) {
        co_return ports::StreamItem(
            ports::StreamEnd{ports::FinishReason::kCancelled, state.text.size()});
      }
      if (state.finished()) {
        co_return ports::StreamItem(
            ports::StreamEnd{ports::FinishReason::kStop, state.text.size()});
      }
      if (state.text.size() < engine_.tokens_allowed) {
        const std::size_t limit = std::min(state.length, engine_.tokens_allowed);
        const std::size_t count = std::min(engine_.chunk_length, limit - state.text.size());
        state.text.append(count, static_cast<char>('a' + engine_.version.value()));
      }
    }
  }
  void cancel() override { cancelled_ = true; }

 private:
  ports::StreamItem chunk(const Stream& state) {
    const char letter = state.text[offset_];
    const std::size_t end =
        std::min(state.text.find_first_not_of(letter, offset_), state.text.size());
    ports::TokenChunk chunk;
    chunk.offset = fake_engine_detail::take(engine_.faults.skip) ? offset_ + 1 : offset_;
    chunk.text = state.text.substr(offset_, end - offset_);
    chunk.token_count = static_cast<std::uint32_t>(chunk.text.size());
    if (!fake_engine_detail::take(engine_.faults.without_version)) {
      chunk.version = core::WeightVersion(static_cast<std::uint64_t>(letter - 'a'));
    }
    offset_ = end;
    return chunk;
  }

  FakeModelEngine& engine_;
  core::StreamId stream_;
  std::uint64_t offset_;
  bool cancelled_ = false;
};

inline std::unique_ptr<ports::TokenStream> FakeModelEngine::reader(const core::StreamId& stream,
                                                                   std::uint64_t offset) {
  return std::make_unique<Reader>(*this, stream, offset);
}

inline boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>>
FakeModelEngine::generate(ports::GenerationRequest request, core::MonotonicTime) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  if (faults.down) {
    co_return fake_engine_detail::error(core::ErrorCode::kUnavailable);
  }
  if (fake_engine_detail::take(faults.refuse)) {
    co_return fake_engine_detail::error(core::ErrorCode::kRateLimited);
  }
  if (request.seed > std::numeric_limits<std::uint32_t>::max()) {
    co_return fake_engine_detail::error(core::ErrorCode::kInvalidArgument);
  }
  const std::string& id = request.stream.value();
  core::Epoch& fence = fences_[id.substr(0, id.rfind('/'))];
  if (request.epoch < fence) {
    co_return fake_engine_detail::error(core::ErrorCode::kFenced);
  }
  fence = request.epoch;
  if (streams.contains(request.stream)) {
    co_return fake_engine_detail::error(core::ErrorCode::kConflict);
  }
  ++generations;
  const core::StreamId stream = request.stream;
  Stream state;
  state.priority = request.priority;
  state.length = stream_length;
  state.request = std::move(request);
  streams[stream] = std::move(state);
  if (fake_engine_detail::take(faults.lose_answer)) {
    co_return fake_engine_detail::error(core::ErrorCode::kOutcomeUnknown);
  }
  co_return reader(stream, 0);
}

inline boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>>
FakeModelEngine::resume(core::StreamId stream, std::uint64_t offset, core::MonotonicTime) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  if (faults.down) {
    co_return fake_engine_detail::error(core::ErrorCode::kUnavailable);
  }
  if (faults.forgets || !streams.contains(stream)) {
    co_return fake_engine_detail::error(core::ErrorCode::kNotFound);
  }
  co_return reader(stream, offset);
}

inline boost::asio::awaitable<core::Result<void>> FakeModelEngine::cancel_stream(
    core::StreamId stream) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  const auto found = streams.find(stream);
  if (found != streams.end() && !found->second.finished()) {
    found->second.cancelled = true;
    ++cancels;
  }
  co_return core::Result<void>();
}

inline boost::asio::awaitable<core::Result<void>> FakeModelEngine::set_priority(
    core::StreamId stream, std::int32_t priority) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  if (!streams.contains(stream)) {
    co_return fake_engine_detail::error(core::ErrorCode::kNotFound);
  }
  streams[stream].priority = priority;
  co_return core::Result<void>();
}

inline boost::asio::awaitable<core::Result<std::vector<ports::StreamStatus>>>
FakeModelEngine::list_streams(std::string prefix) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  if (faults.down) {
    co_return fake_engine_detail::error(core::ErrorCode::kUnavailable);
  }
  std::vector<ports::StreamStatus> found;
  for (const auto& [id, state] : streams) {
    if (!id.value().starts_with(prefix)) {
      continue;
    }
    ports::StreamStatus status{id, state.text.size(), state.finished()};
    if (state.cancelled || state.exported) {
      status.finished = true;
      status.finish_reason = ports::FinishReason::kCancelled;
    } else if (state.finished()) {
      status.finish_reason = ports::FinishReason::kStop;
    }
    found.push_back(std::move(status));
  }
  co_return found;
}

inline boost::asio::awaitable<core::Result<ports::KvExport>> FakeModelEngine::export_kv(
    core::StreamId stream) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  const auto found = streams.find(stream);
  if (faults.down || found == streams.end() || found->second.finished()) {
    co_return fake_engine_detail::error(core::ErrorCode::kNotFound);
  }
  found->second.exported = true;
  co_return ports::KvExport{stream, "handle", 1, found->second.text.size()};
}

inline boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>>
FakeModelEngine::import_kv(ports::KvExport exported, core::Address source, core::MonotonicTime) {
  co_await runtime::sleep_for(fake_engine_detail::kPause);
  if (faults.import_fails) {
    co_return fake_engine_detail::error(core::ErrorCode::kUnavailable);
  }
  ++imports;
  Stream state = peers->at(source)->streams.at(exported.stream);
  state.exported = false;
  streams[exported.stream] = std::move(state);
  co_return reader(exported.stream, exported.token_count);
}

inline boost::asio::awaitable<core::Result<ports::EngineReport>> FakeModelEngine::report() {
  ports::EngineReport current;
  current.version = version;
  co_return current;
}

inline boost::asio::awaitable<core::Result<ports::CacheEvents>> FakeModelEngine::cache_events(
    std::uint64_t) {
  co_return ports::CacheEvents();
}

inline boost::asio::awaitable<core::Result<void>> FakeModelEngine::order(ports::EngineOrder,
                                                                         core::Epoch) {
  co_return core::Result<void>();
}

}  // namespace stoneport::support
