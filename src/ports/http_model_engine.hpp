/// \file
/// HTTP client of a model engine, and a factory that keeps one client per address. Use both on the
/// thread of their http::Client only.
#pragma once

#include <map>

#include "ports/http_endpoint.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::ports {

class HttpModelEngine : public ModelEngine {
 public:
  explicit HttpModelEngine(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> generate(
      GenerationRequest request, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> resume(
      core::StreamId stream, std::uint64_t offset, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<void>> cancel_stream(core::StreamId stream) override;
  boost::asio::awaitable<core::Result<void>> set_priority(core::StreamId stream,
                                                          std::int32_t priority) override;
  boost::asio::awaitable<core::Result<std::vector<StreamStatus>>> list_streams(
      std::string prefix) override;
  boost::asio::awaitable<core::Result<KvExport>> export_kv(core::StreamId stream) override;
  boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> import_kv(
      KvExport exported, core::Address source, core::MonotonicTime deadline) override;
  boost::asio::awaitable<core::Result<EngineReport>> report() override;
  boost::asio::awaitable<core::Result<CacheEvents>> cache_events(std::uint64_t after) override;
  boost::asio::awaitable<core::Result<void>> order(EngineOrder order, core::Epoch epoch) override;

 private:
  boost::asio::awaitable<core::Result<std::unique_ptr<TokenStream>>> open_stream(
      http::Request request, CallKind kind, core::StreamId stream, std::uint64_t offset,
      core::MonotonicTime deadline);

  HttpEndpoint endpoint_;
};

class HttpModelEngineFactory : public ModelEngineFactory {
 public:
  /// \p client and \p time must outlive the factory and the engines it returned.
  HttpModelEngineFactory(http::Client& client, const core::TimeSource& time,
                         EndpointSettings settings = {})
      : client_(&client), time_(&time), settings_(settings) {}

  std::shared_ptr<ModelEngine> engine_at(core::Address address) override;

 private:
  http::Client* client_;
  const core::TimeSource* time_;
  EndpointSettings settings_;
  std::map<core::Address, std::weak_ptr<ModelEngine>> engines_;
};

}  // namespace stoneport::ports
