/// \file
/// Codec of a model engine's JSON protocol (docs/EMULATOR.md): encodes requests and parses answers
/// and stream events.
#pragma once

#include <string>
#include <variant>

#include "core/error.hpp"
#include "ports/model_engine.hpp"

namespace stoneport::ports {

core::Result<std::string> encode_generation(const GenerationRequest& request);
core::Result<std::string> encode_order(const EngineOrder& order, core::Epoch epoch);
core::Result<std::string> encode_import(const KvExport& exported, const core::Address& source);

core::Result<EngineReport> parse_report(const std::string& body);
core::Result<CacheEvents> parse_cache_events(const std::string& body);
core::Result<std::vector<StreamStatus>> parse_streams(const std::string& body);
core::Result<KvExport> parse_export(const core::StreamId& stream, const std::string& body);

/// Parses the events of one stream in order and checks the stream id, that the offsets have no
/// gap, and the total token count.
class StreamEventParser {
 public:
  StreamEventParser(core::StreamId stream, std::uint64_t offset)
      : stream_(std::move(stream)), next_offset_(offset) {}
  /// \return the item; kProtocol if the event does not continue the stream.
  core::Result<StreamItem> parse(const std::string& data);

 private:
  core::StreamId stream_;
  std::uint64_t next_offset_;
};

}  // namespace stoneport::ports
