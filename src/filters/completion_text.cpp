#include "filters/completion_text.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

namespace stoneport::filters {
namespace {

using Json = nlohmann::json;

const char* finish_reason_name(ports::FinishReason reason) {
  switch (reason) {
    case ports::FinishReason::kStop:
      return "stop";
    case ports::FinishReason::kLength:
      return "length";
    case ports::FinishReason::kCancelled:
      return "cancelled";
  }
  return "stop";
}

Json base_document(const CompletionIdentity& identity, const std::string& text,
                   const Json& finish_reason) {
  Json choice = {{"index", 0}, {"text", text}, {"logprobs", nullptr}};
  choice["finish_reason"] = finish_reason;
  Json document;
  document["id"] = identity.id;
  document["object"] = "text_completion";
  document["created"] = identity.created_seconds;
  document["model"] = identity.model.value();
  document["choices"] = Json::array({std::move(choice)});
  return document;
}

Json ended_document(const CompletionIdentity& identity, const CompletionText& text) {
  Json document = base_document(identity, text.text(), finish_reason_name(text.finish_reason()));
  Json spans = Json::array();
  for (const VersionSpan& span : text.spans()) {
    Json entry = {{"version", nullptr}, {"token_count", span.token_count}};
    if (span.version) {
      entry["version"] = span.version->value();
    }
    spans.push_back(std::move(entry));
  }
  document["usage"] = {{"completion_tokens", text.token_count()}};
  document["stoneport"] = {{"spans", std::move(spans)}};
  return document;
}

}  // namespace

core::Result<void> CompletionText::add(const ports::TokenChunk& chunk) {
  if (chunk.offset != token_count_) {
    return core::make_error(core::ErrorCode::kProtocol,
                            "a chunk at token " + std::to_string(chunk.offset) + " after " +
                                std::to_string(token_count_) + " tokens");
  }
  token_count_ += chunk.token_count;
  if (keep_text_) {
    text_ += chunk.text;
  }
  if (spans_.empty() || spans_.back().version != chunk.version) {
    spans_.push_back({chunk.version, 0});
  }
  spans_.back().token_count += chunk.token_count;
  return {};
}

core::Result<void> CompletionText::end(const ports::StreamEnd& end) {
  if (end.token_count != token_count_) {
    return core::make_error(
        core::ErrorCode::kTruncated,
        std::to_string(token_count_) + " tokens arrived of " + std::to_string(end.token_count));
  }
  finish_reason_ = end.reason;
  return {};
}

void CompletionText::restart() {
  token_count_ = 0;
  text_.clear();
  spans_.clear();
}

std::string completion_document(const CompletionIdentity& identity, const CompletionText& text) {
  return core::write_json(ended_document(identity, text));
}

std::string chunk_event(const CompletionIdentity& identity, const std::string& text) {
  return core::write_json(base_document(identity, text, nullptr));
}

std::string final_event(const CompletionIdentity& identity, const CompletionText& text) {
  return core::write_json(ended_document(identity, text));
}

}  // namespace stoneport::filters
