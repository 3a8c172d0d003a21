/// \file
/// What a completion has come to: its text and the weight versions that made
/// it, and the JSON documents that callers get. Plain code.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::filters {

/// Consecutive tokens of one weight version; nothing where the engine did not say.
struct VersionSpan {
  std::optional<core::WeightVersion> version;
  std::uint64_t token_count = 0;
};

/// Gathers one stream's chunks. Provenance comes from the chunks alone.
class CompletionText {
 public:
  /// \param keep_text false when the text is passed on chunk by chunk
  explicit CompletionText(bool keep_text) : keep_text_(keep_text) {}

  /// \return kProtocol when the chunk does not continue the text.
  core::Result<void> add(const ports::TokenChunk& chunk);
  /// \return kTruncated when the stream's own count is not what arrived.
  core::Result<void> end(const ports::StreamEnd& end);
  /// Forgets all, to begin again on another engine.
  void restart();

  std::uint64_t token_count() const { return token_count_; }
  const std::string& text() const { return text_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  ports::FinishReason finish_reason() const { return finish_reason_; }

 private:
  bool keep_text_;
  std::uint64_t token_count_ = 0;
  std::string text_;
  std::vector<VersionSpan> spans_;
  ports::FinishReason finish_reason_ = ports::FinishReason::kStop;
};

/// What stands in every document of one completion.
struct CompletionIdentity {
  std::string id;
  core::ModelName model;
  std::int64_t created_seconds = 0;  ///< since the Unix epoch
};

/// \return the whole response of a completion that was not streamed.
std::string completion_document(const CompletionIdentity& identity, const CompletionText& text);
/// \return the data of the event for one piece of text.
std::string chunk_event(const CompletionIdentity& identity, const std::string& text);
/// \return the data of the last event before [DONE].
std::string final_event(const CompletionIdentity& identity, const CompletionText& text);

}  // namespace stoneport::filters
