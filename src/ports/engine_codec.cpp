#include "ports/engine_codec.hpp"

#include "core/numbers.hpp"
#include "ports/json_fields.hpp"

namespace stoneport::ports {
namespace {
using nlohmann::json;

const char* to_text(EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kMixed:
      break;
  }
  return "mixed";
}

const char* to_text(LoadVersion::RunningStreams running) {
  switch (running) {
    case LoadVersion::RunningStreams::kFinish:
      return "finish";
    case LoadVersion::RunningStreams::kCancel:
      return "cancel";
    case LoadVersion::RunningStreams::kContinue:
      break;
  }
  return "continue";
}

struct OrderEncoder {
  json operator()(const PrefetchVersion& order) const {
    return {{"order", "prefetch"},
            {"policy", order.policy.value()},
            {"version", order.version.value()}};
  }
  json operator()(const LoadVersion& order) const {
    return {{"order", "load_version"},
            {"policy", order.policy.value()},
            {"version", order.version.value()},
            {"running", to_text(order.running)}};
  }
  json operator()(const LoadAdapter& order) const {
    return {{"order", "load_adapter"},
            {"adapter", order.adapter.value()},
            {"version", order.version.value()}};
  }
  json operator()(const ChangeRole& order) const {
    return {{"order", "change_role"}, {"role", to_text(order.role)}};
  }
};

EngineRole decode_role(const JsonFields& fields) {
  const std::string role = fields.text("role");
  for (const EngineRole known : {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (role == to_text(known)) {
      return known;
    }
  }
  fields.reject("role", "expected mixed, prefill or decode");
  return EngineRole::kMixed;
}

FinishReason decode_finish_reason(const JsonFields& fields) {
  const std::string reason = fields.text("finish_reason");
  if (reason == "stop") {
    return FinishReason::kStop;
  }
  if (reason == "length") {
    return FinishReason::kLength;
  }
  if (reason != "cancelled") {
    fields.reject("finish_reason", "expected stop, length or cancelled");
  }
  return FinishReason::kCancelled;
}

std::optional<core::WeightVersion> decode_version(const JsonFields& fields, const char* field) {
  const auto version = fields.optional_unsigned64(field);
  if (!version) {
    return std::nullopt;
  }
  return core::WeightVersion(*version);
}

core::Duration decode_milliseconds(const JsonFields& fields, const char* field) {
  constexpr double kLongestMilliseconds = 1e12;
  const double milliseconds = fields.number(field);
  if (!(milliseconds >= 0 && milliseconds <= kLongestMilliseconds)) {
    fields.reject(field, "number out of range");
    return {};
  }
  return core::from_seconds(milliseconds / 1000);
}

std::uint64_t decode_decimal(const JsonFields& fields, const char* field) {
  const auto value = core::parse_number<std::uint64_t>(fields.text(field));
  if (!value) {
    fields.reject(field, "expected a string with a decimal number");
  }
  return value.value_or(0);
}

EngineReport decode_report(const JsonFields& fields) {
  EngineReport report;
  report.incarnation = core::Incarnation(fields.unsigned64("incarnation"));
  report.model = core::ModelName(fields.text("model"));
  report.version = core::WeightVersion(fields.unsigned64("version"));
  report.prefetched = decode_version(fields, "prefetched");
  report.role = decode_role(fields);
  report.running = fields.unsigned32("running");
  report.waiting = fields.unsigned32("waiting");
  report.max_running = fields.unsigned32("max_running");
  report.kv_used_tokens = fields.unsigned64("kv_used_tokens");
  report.kv_capacity_tokens = fields.unsigned64("kv_capacity_tokens");
  report.tokens_per_second = fields.number("tokens_per_second");
  report.report_age = decode_milliseconds(fields, "report_age_ms");
  report.swapping = fields.flag("swapping");
  report.leaving = fields.flag("leaving");
  return report;
}

CacheEvents decode_cache_events(const JsonFields& fields) {
  CacheEvents events;
  events.latest_sequence = fields.unsigned64("latest_sequence");
  events.gap = fields.flag("gap");
  for (const JsonFields& element : fields.objects("events")) {
    CacheEvent event;
    event.sequence = element.unsigned64("sequence");
    event.prefix_hash = decode_decimal(element, "prefix_hash");
    event.stored = element.flag("stored");
    events.events.push_back(event);
  }
  return events;
}

std::vector<StreamStatus> decode_streams(const JsonFields& fields) {
  std::vector<StreamStatus> streams;
  for (const JsonFields& element : fields.objects("streams")) {
    StreamStatus status;
    status.stream = core::StreamId(element.text("stream_id"));
    status.token_count = element.unsigned64("token_count");
    status.finished = element.flag("finished");
    if (element.has("finish_reason")) {
      status.finish_reason = decode_finish_reason(element);
    }
    streams.push_back(std::move(status));
  }
  return streams;
}

TokenChunk decode_chunk(const JsonFields& fields) {
  TokenChunk chunk;
  chunk.offset = fields.unsigned64("offset");
  chunk.token_count = fields.unsigned32("token_count");
  chunk.text = fields.text("text");
  chunk.version = decode_version(fields, "version");
  return chunk;
}

}  // namespace

core::Result<std::string> encode_generation(const GenerationRequest& request) {
  json body = {{"model", request.model.value()},
               {"prompt", request.prompt},
               {"max_tokens", request.max_tokens},
               {"temperature", request.temperature},
               {"seed", request.seed},
               {"stream", true},
               {"stream_id", request.stream.value()},
               {"priority", request.priority},
               {"epoch", request.epoch.value()}};
  if (request.adapter) {
    body["adapter"] = request.adapter->value();
  }
  return encode_json(body);
}

core::Result<std::string> encode_order(const EngineOrder& order, core::Epoch epoch) {
  json body = std::visit(OrderEncoder(), order);
  body["epoch"] = epoch.value();
  return encode_json(body);
}

core::Result<std::string> encode_import(const KvExport& exported, const core::Address& source) {
  return encode_json({{"handle", exported.handle},
                      {"source_ip", source.ip},
                      {"source_port", source.port},
                      {"offset", exported.token_count}});
}

core::Result<EngineReport> parse_report(const std::string& body) {
  return decode_json(body, decode_report);
}

core::Result<CacheEvents> parse_cache_events(const std::string& body) {
  return decode_json(body, decode_cache_events);
}

core::Result<std::vector<StreamStatus>> parse_streams(const std::string& body) {
  return decode_json(body, decode_streams);
}

core::Result<KvExport> parse_export(const core::StreamId& stream, const std::string& body) {
  return decode_json(body, [&stream](const JsonFields& fields) {
    KvExport exported;
    exported.stream = stream;
    exported.handle = fields.text("handle");
    exported.size_bytes = fields.unsigned64("size_bytes");
    exported.token_count = fields.unsigned64("token_count");
    return exported;
  });
}

core::Result<StreamItem> StreamEventParser::parse(const std::string& data) {
  return decode_json(data, [this](const JsonFields& fields) -> StreamItem {
    if (fields.text("stream_id") != stream_.value()) {
      fields.reject("stream_id", "event of another stream");
    }
    if (fields.has("finish_reason")) {
      StreamEnd end;
      end.reason = decode_finish_reason(fields);
      end.token_count = fields.unsigned64("token_count");
      if (end.token_count != next_offset_) {
        fields.reject("token_count", "total differs from the number of received tokens");
      }
      return end;
    }
    TokenChunk chunk = decode_chunk(fields);
    if (chunk.offset != next_offset_) {
      fields.reject("offset", "expected the offset of the next token");
    }
    next_offset_ += chunk.token_count;
    return chunk;
  });
}

}  // namespace stoneport::ports
