#include "ports/http_model_engine.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "http/server_sent_events.hpp"
#include "ports/engine_codec.hpp"

namespace stoneport::ports {
namespace {
using core::ErrorCode;
using StreamResult = core::Result<std::unique_ptr<TokenStream>>;

constexpr std::string_view kDoneMark = "[DONE]";
constexpr std::uint64_t kLongestStream = std::uint64_t{1} << 30;
constexpr std::size_t kLongestErrorBody = 64 * 1024;

std::string stream_target(const core::StreamId& stream) {
  return "/v1/streams/" + http::percent_encode(stream.value());
}

core::Result<void> without_value(const core::Result<std::string>& answer) {
  if (!answer) {
    return answer.error();
  }
  return {};
}

/// TokenStream that reads the events of one HTTP response.
class HttpTokenStream : public TokenStream {
 public:
  HttpTokenStream(std::unique_ptr<http::ClientResponse> response, core::StreamId stream,
                  std::uint64_t offset)
      : response_(std::move(response)),
        reader_(response_->body()),
        parser_(std::move(stream), offset) {}

  boost::asio::awaitable<core::Result<StreamItem>> next() override {
    if (ended_) {
      co_return core::make_error(ErrorCode::kInvalidArgument, "the stream has ended");
    }
    auto item = co_await read_item();
    ended_ = !item || std::holds_alternative<StreamEnd>(*item);
    co_return item;
  }

  void cancel() override { response_->cancel(); }

 private:
  boost::asio::awaitable<core::Result<std::string>> read_event() {
    auto event = co_await reader_.next();
    if (!event) {
      co_return event.error();
    }
    if (!*event) {
      co_return core::make_error(ErrorCode::kTruncated,
                                 "the connection ended before the stream's end mark");
    }
    co_return std::move(**event);
  }

  boost::asio::awaitable<core::Result<StreamItem>> read_item() {
    auto event = co_await read_event();
    if (!event) {
      co_return event.error();
    }
    auto item = parser_.parse(*event);
    if (!item || std::holds_alternative<TokenChunk>(*item)) {
      co_return item;
    }
    auto mark = co_await read_event();
    if (!mark) {
      co_return mark.error();
    }
    if (*mark != kDoneMark) {
      co_return core::make_error(ErrorCode::kProtocol,
                                 "event received after the end of the stream");
    }
    co_return item;
  }

  std::unique_ptr<http::ClientResponse> response_;
  http::ServerSentEventReader reader_;
  StreamEventParser parser_;
  bool ended_ = false;
};

/// Reads the error document of a refused stream. If the body is truncated, the error is derived
/// from the status alone.
boost::asio::awaitable<core::Error> read_refusal(http::ClientResponse& response, CallKind kind) {
  http::Response refusal;
  refusal.head = response.head();
  auto body = co_await http::read_whole(response.body(), kLongestErrorBody);
  if (body) {
    refusal.body = std::move(*body);
  }
  co_return error_of(refusal, kind);
}

}  // namespace

boost::asio::awaitable<StreamResult> HttpModelEngine::open_stream(http::Request request,
                                                                  CallKind kind,
                                                                  core::StreamId stream,
                                                                  std::uint64_t offset,
                                                                  core::MonotonicTime deadline) {
  const std::uint64_t length = request.body.size();
  auto body = std::make_unique<http::StringBody>(std::move(request.body));
  http::SendOptions options = endpoint_.options(deadline);
  options.max_body_bytes = kLongestStream;
  core::Address address = endpoint_.address();
  auto response = co_await endpoint_.client().send(std::move(address), std::move(request.head),
                                                   std::move(body), length, options);
  if (!response) {
    co_return error_of(response.error(), kind);
  }
  const unsigned status = (*response)->head().status;
  if (status < 200 || status >= 300) {
    co_return co_await read_refusal(**response, kind);
  }
  std::unique_ptr<TokenStream> opened =
      std::make_unique<HttpTokenStream>(std::move(*response), std::move(stream), offset);
  co_return opened;
}

boost::asio::awaitable<StreamResult> HttpModelEngine::generate(GenerationRequest request,
                                                               core::MonotonicTime deadline) {
  auto encoded = encode_generation(request);
  if (!encoded) {
    co_return encoded.error();
  }
  http::Request message = json_request("POST", "/v1/completions", std::move(*encoded));
  co_return co_await open_stream(std::move(message), CallKind::kEffect, std::move(request.stream),
                                 0, deadline);
}

boost::asio::awaitable<StreamResult> HttpModelEngine::resume(core::StreamId stream,
                                                             std::uint64_t offset,
                                                             core::MonotonicTime deadline) {
  http::Request message;
  message.head.target = stream_target(stream) + "?offset=" + std::to_string(offset);
  co_return co_await open_stream(std::move(message), CallKind::kRead, std::move(stream), offset,
                                 deadline);
}

boost::asio::awaitable<StreamResult> HttpModelEngine::import_kv(KvExport exported,
                                                                core::Address source,
                                                                core::MonotonicTime deadline) {
  auto encoded = encode_import(exported, source);
  if (!encoded) {
    co_return encoded.error();
  }
  std::string target = stream_target(exported.stream) + "/import";
  http::Request message = json_request("POST", std::move(target), std::move(*encoded));
  co_return co_await open_stream(std::move(message), CallKind::kEffect, std::move(exported.stream),
                                 exported.token_count, deadline);
}

boost::asio::awaitable<core::Result<void>> HttpModelEngine::cancel_stream(core::StreamId stream) {
  std::string target = stream_target(stream);
  const auto answer = co_await endpoint_.erase(std::move(target));
  co_return without_value(answer);
}

boost::asio::awaitable<core::Result<void>> HttpModelEngine::set_priority(core::StreamId stream,
                                                                         std::int32_t priority) {
  std::string target = stream_target(stream) + "/priority";
  const nlohmann::json body = {{"priority", priority}};
  std::string encoded = core::write_json(body);
  const auto answer =
      co_await endpoint_.post(std::move(target), std::move(encoded), CallKind::kEffect);
  co_return without_value(answer);
}

boost::asio::awaitable<core::Result<std::vector<StreamStatus>>> HttpModelEngine::list_streams(
    std::string prefix) {
  std::string target = "/v1/streams?prefix=" + http::percent_encode(prefix);
  const auto body = co_await endpoint_.get(std::move(target));
  if (!body) {
    co_return body.error();
  }
  co_return parse_streams(*body);
}

boost::asio::awaitable<core::Result<KvExport>> HttpModelEngine::export_kv(core::StreamId stream) {
  std::string target = stream_target(stream) + "/export";
  const auto body = co_await endpoint_.post(std::move(target), "{}", CallKind::kEffect);
  if (!body) {
    co_return body.error();
  }
  co_return parse_export(stream, *body);
}

boost::asio::awaitable<core::Result<EngineReport>> HttpModelEngine::report() {
  const auto body = co_await endpoint_.get("/v1/report");
  if (!body) {
    co_return body.error();
  }
  co_return parse_report(*body);
}

boost::asio::awaitable<core::Result<CacheEvents>> HttpModelEngine::cache_events(
    std::uint64_t after) {
  std::string target = "/v1/cache/events?after=" + std::to_string(after);
  const auto body = co_await endpoint_.get(std::move(target));
  if (!body) {
    co_return body.error();
  }
  co_return parse_cache_events(*body);
}

boost::asio::awaitable<core::Result<void>> HttpModelEngine::order(EngineOrder order,
                                                                  core::Epoch epoch) {
  auto encoded = encode_order(order, epoch);
  if (!encoded) {
    co_return encoded.error();
  }
  const auto answer = co_await endpoint_.post("/v1/orders", std::move(*encoded), CallKind::kEffect);
  co_return without_value(answer);
}

std::shared_ptr<ModelEngine> HttpModelEngineFactory::engine_at(core::Address address) {
  const auto known = engines_.find(address);
  std::shared_ptr<ModelEngine> engine = known == engines_.end() ? nullptr : known->second.lock();
  if (!engine) {
    std::erase_if(engines_, [](const auto& entry) { return entry.second.expired(); });
    engine = std::make_shared<HttpModelEngine>(HttpEndpoint(*client_, address, *time_, settings_));
    engines_[std::move(address)] = engine;
  }
  return engine;
}

}  // namespace stoneport::ports
