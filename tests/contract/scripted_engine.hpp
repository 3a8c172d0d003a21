/// \file
/// Model engines that answer by a script, for the contract tests of completions.
#pragma once

#include <deque>
#include <map>

#include "contract/caller_fixture.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::caller_test {

/// One item of a stream, or the error that ends it; nothing: waits for cancel().
using ScriptItem = std::optional<core::Result<ports::StreamItem>>;
using Script = std::vector<ScriptItem>;

inline ScriptItem chunk(std::uint64_t offset, std::uint32_t tokens, const std::string& text,
                        std::optional<std::uint64_t> version) {
  ports::TokenChunk made{offset, tokens, text, std::nullopt};
  if (version) {
    made.version = core::WeightVersion(*version);
  }
  return core::Result<ports::StreamItem>(ports::StreamItem(made));
}
inline ScriptItem end_of_stream(std::uint64_t tokens,
                                ports::FinishReason reason = ports::FinishReason::kStop) {
  return core::Result<ports::StreamItem>(ports::StreamItem(ports::StreamEnd{reason, tokens}));
}
inline ScriptItem failure(core::ErrorCode code) {
  return core::Result<ports::StreamItem>(core::make_error(code, "by the script"));
}

class ScriptedStream : public ports::TokenStream {
 public:
  ScriptedStream(asio::any_io_executor executor, Script script)
      : items_(script.begin(), script.end()),
        cancelled_(executor, asio::steady_timer::time_point::max()) {}

  asio::awaitable<core::Result<ports::StreamItem>> next() override {
    if (items_.empty()) {
      co_return core::make_error(core::ErrorCode::kTruncated, "the script ended");
    }
    ScriptItem item = items_.front();
    items_.pop_front();
    if (!item) {
      co_await cancelled_.async_wait(http_test::kTuple);
      co_return core::make_error(core::ErrorCode::kCancelled, "cancelled");
    }
    co_return *item;
  }
  void cancel() override { cancelled_.cancel(); }

 private:
  std::deque<ScriptItem> items_;
  asio::steady_timer cancelled_;
};

class ScriptedEngine : public ports::ModelEngine {
 public:
  using StreamResult = core::Result<std::unique_ptr<ports::TokenStream>>;
  explicit ScriptedEngine(asio::any_io_executor executor) : executor_(std::move(executor)) {}

  asio::awaitable<StreamResult> generate(ports::GenerationRequest request,
                                         core::MonotonicTime) override {
    requests.push_back(request);
    if (refusal) {
      co_return core::make_error(*refusal, "by the script");
    }
    co_return open(script);
  }
  asio::awaitable<StreamResult> resume(core::StreamId stream, std::uint64_t offset,
                                       core::MonotonicTime) override {
    resumed.emplace_back(stream.value(), offset);
    if (resume_scripts.empty()) {
      co_return core::make_error(core::ErrorCode::kNotFound, "no such stream");
    }
    Script next = resume_scripts.front();
    resume_scripts.pop_front();
    co_return open(next);
  }
  asio::awaitable<core::Result<void>> cancel_stream(core::StreamId stream) override {
    cancelled.push_back(stream.value());
    co_return core::Result<void>();
  }
  asio::awaitable<core::Result<void>> set_priority(core::StreamId, std::int32_t) override {
    co_return unused();
  }
  asio::awaitable<core::Result<std::vector<ports::StreamStatus>>> list_streams(
      std::string) override {
    co_return unused();
  }
  asio::awaitable<core::Result<ports::KvExport>> export_kv(core::StreamId) override {
    co_return unused();
  }
  asio::awaitable<StreamResult> import_kv(ports::KvExport, core::Address,
                                          core::MonotonicTime) override {
    co_return unused();
  }
  asio::awaitable<core::Result<ports::EngineReport>> report() override { co_return unused(); }
  asio::awaitable<core::Result<ports::CacheEvents>> cache_events(std::uint64_t) override {
    co_return unused();
  }
  asio::awaitable<core::Result<void>> order(ports::EngineOrder, core::Epoch) override {
    co_return unused();
  }

  std::optional<core::ErrorCode> refusal;
  Script script;
  std::deque<Script> resume_scripts;
  std::vector<ports::GenerationRequest> requests;
  std::vector<std::pair<std::string, std::uint64_t>> resumed;
  std::vector<std::string> cancelled;

 private:
  static core::Error unused() {
    return core::make_error(core::ErrorCode::kInternal, "not used by callers");
  }
  std::unique_ptr<ports::TokenStream> open(const Script& items) {
    return std::make_unique<ScriptedStream>(executor_, items);
  }
  asio::any_io_executor executor_;
};

class ScriptedEngines : public ports::ModelEngineFactory {
 public:
  std::shared_ptr<ports::ModelEngine> engine_at(core::Address address) override {
    return engines.at(address);
  }
  std::map<core::Address, std::shared_ptr<ScriptedEngine>> engines;
};

}  // namespace stoneport::caller_test
