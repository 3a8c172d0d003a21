#include "emulator/ground_truth.hpp"

#include <algorithm>

namespace stoneport::emulator {

std::string stream_text(const EngineStream& stream, std::uint64_t offset, std::uint64_t end) {
  std::string text;
  std::uint64_t span_begin = 0;
  for (const VersionSpan& span : stream.spans) {
    const std::uint64_t span_end = span_begin + span.token_count;
    const std::uint64_t from = std::max(offset, span_begin);
    const std::uint64_t to = std::min(end, span_end);
    if (from < to) {
      const auto count = static_cast<std::uint32_t>(to - from);
      append_tokens(text, stream.key, from, count, span.version);
    }
    span_begin = span_end;
  }
  return text;
}

}  // namespace stoneport::emulator
