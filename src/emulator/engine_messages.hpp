/// \file
/// JSON forms of engine settings, faults and requests.
#pragma once

#include <array>
#include <string>
#include <string_view>

#include "emulator/engine_model.hpp"
#include "emulator/json_fields.hpp"

namespace stoneport::emulator {

template <class Visitor>
void visit_fields(Visitor& visitor, LengthDistribution& lengths) {
  visitor("median_tokens", lengths.median_tokens);
  visitor("deviation_of_log", lengths.deviation_of_log);
}

template <class Visitor>
void visit_fields(Visitor& visitor, EngineSettings& settings) {
  visitor("max_running", settings.max_running);
  visitor("max_waiting", settings.max_waiting);
  visitor("kv_capacity_tokens", settings.kv_capacity_tokens);
  visitor("prefix_cache_blocks", settings.prefix_cache_blocks);
  visitor("preemption", settings.preemption);
  visitor("step_base_ms", settings.step_base);
  visitor("step_per_sequence_ms", settings.step_per_sequence);
  visitor("step_per_thousand_context_tokens_ms", settings.step_per_thousand_context_tokens);
  visitor("prefill_per_thousand_tokens_ms", settings.prefill_per_thousand_tokens);
  visitor("tokens_per_step", settings.tokens_per_step);
  visitor("lengths", settings.lengths);
  visitor("switch_duration_ms", settings.switch_duration);
  visitor("adapter_load_duration_ms", settings.adapter_load_duration);
  visitor("role_change_duration_ms", settings.role_change_duration);
  visitor("finished_retention_ms", settings.finished_retention);
  visitor("export_retention_ms", settings.export_retention);
  visitor("report_lag_ms", settings.report_lag);
  visitor("cache_event_delay_ms", settings.cache_event_delay);
  visitor("kv_bytes_per_token", settings.kv_bytes_per_token);
  visitor("kv_transfer_bytes_per_second", settings.kv_transfer_bytes_per_second);
}

template <class Visitor>
void visit_fields(Visitor& visitor, EngineFaults& faults) {
  visitor("swap_failures", faults.swap_failures);
  visitor("failed_swap_leaves", faults.failed_swap_leaves);
  visitor("chunks_without_version", faults.chunks_without_version);
  visitor("slowdown", faults.slowdown);
  visitor("frozen", faults.frozen);
  visitor("cache_event_loss", faults.cache_event_loss);
  visitor("cache_event_delay_ms", faults.cache_event_delay);
  visitor("report_lag_ms", faults.report_lag);
}

template <class Visitor>
void visit_fields(Visitor& visitor, EngineTotals& totals) {
  visitor("streams_started", totals.streams_started);
  visitor("streams_finished", totals.streams_finished);
  visitor("streams_cancelled", totals.streams_cancelled);
  visitor("streams_refused", totals.streams_refused);
  visitor("tokens_generated", totals.tokens_generated);
  visitor("prompt_blocks", totals.prompt_blocks);
  visitor("prompt_blocks_cached", totals.prompt_blocks_cached);
  visitor("preemptions", totals.preemptions);
  visitor("steps", totals.steps);
}

template <class Visitor>
void visit_fields(Visitor& visitor, VersionSpan& span) {
  visitor("version", span.version);
  visitor("token_count", span.token_count);
}

template <class Visitor>
void visit_fields(Visitor& visitor, StreamRequest& request) {
  visitor("stream_id", request.stream);
  visitor("prompt", request.prompt);
  visitor("max_tokens", request.max_tokens);
  visitor("priority", request.priority);
  visitor("seed", request.seed);
  visitor("epoch", request.epoch);
}

template <class Visitor>
void visit_fields(Visitor& visitor, ExportedStream& exported) {
  visitor("request", exported.request);
  visitor("generated", exported.generated);
  visitor("spans", exported.spans);
  visitor("size_bytes", exported.size_bytes);
}

/// \return the word for \p finish in the engine's dialect.
inline std::string_view finish_name(StreamFinish finish) {
  constexpr std::array<std::string_view, 3> kNames = {"stop", "length", "cancelled"};
  return kNames.at(static_cast<std::size_t>(finish));
}

struct ImportBody {
  std::string handle;
  std::string source_ip;
  std::uint16_t source_port = 0;
  std::uint64_t offset = 0;
};
template <class Visitor>
void visit_fields(Visitor& visitor, ImportBody& body) {
  visitor("handle", body.handle);
  visitor("source_ip", body.source_ip);
  visitor("source_port", body.source_port);
  visitor("offset", body.offset);
}

struct PriorityBody {
  std::int32_t priority = 0;
};
template <class Visitor>
void visit_fields(Visitor& visitor, PriorityBody& body) {
  visitor("priority", body.priority);
}

struct OrderBody {
  core::Epoch epoch;
  std::string order;
  core::PolicyName policy;
  core::WeightVersion version;
  std::string running = "continue";
  core::AdapterName adapter;
  std::string role;
};
template <class Visitor>
void visit_fields(Visitor& visitor, OrderBody& body) {
  visitor("epoch", body.epoch);
  visitor("order", body.order);
  visitor("policy", body.policy);
  visitor("version", body.version);
  visitor("running", body.running);
  visitor("adapter", body.adapter);
  visitor("role", body.role);
}

}  // namespace stoneport::emulator
