/// \file
/// Engines that report and take fenced orders; no generation runs on them.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "ports/model_engine.hpp"

namespace stoneport::support {

/// Reports and takes orders; nothing else is asked of it here.
class ReportingEngine : public ports::ModelEngine {
 public:
  ports::EngineReport next_report;
  bool down = false;
  std::uint32_t reports = 0;
  core::Epoch highest_epoch;
  /// Orders taken up, with their epochs.
  std::vector<std::pair<ports::EngineOrder, core::Epoch>> orders;

  boost::asio::awaitable<core::Result<ports::EngineReport>> report() override {
    ++reports;
    if (down) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "down");
    }
    co_return next_report;
  }
  boost::asio::awaitable<core::Result<ports::CacheEvents>> cache_events(std::uint64_t) override {
    co_return ports::CacheEvents{{{1, 77, true}}, 1, false};
  }
  boost::asio::awaitable<core::Result<void>> order(ports::EngineOrder order,
                                                   core::Epoch epoch) override {
    if (epoch < highest_epoch) {
      co_return core::make_error(core::ErrorCode::kFenced, "a higher epoch was seen");
    }
    highest_epoch = epoch;
    orders.emplace_back(std::move(order), epoch);
    co_return core::Result<void>{};
  }
  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> generate(
      ports::GenerationRequest, core::MonotonicTime) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> resume(
      core::StreamId, std::uint64_t, core::MonotonicTime) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<void>> cancel_stream(core::StreamId) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<void>> set_priority(core::StreamId, std::int32_t) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<std::vector<ports::StreamStatus>>> list_streams(
      std::string) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<ports::KvExport>> export_kv(core::StreamId) override {
    co_return unused();
  }
  boost::asio::awaitable<core::Result<std::unique_ptr<ports::TokenStream>>> import_kv(
      ports::KvExport, core::Address, core::MonotonicTime) override {
    co_return unused();
  }

 private:
  static core::Error unused() {
    return core::make_error(core::ErrorCode::kInternal, "not used in this test");
  }
};

class ReportingEngines : public ports::ModelEngineFactory {
 public:
  std::map<core::Address, std::shared_ptr<ReportingEngine>> engines;
  std::shared_ptr<ports::ModelEngine> engine_at(core::Address address) override {
    return engines.at(address);
  }
};

}  // namespace stoneport::support
