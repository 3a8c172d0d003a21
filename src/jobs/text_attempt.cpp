#include "jobs/text_attempt.hpp"

#include <fmt/format.h>

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServerError = 500;
/// A text of fifty thousand events takes less. All slots of a replica that never ends its
/// texts stay within the memory of a small machine.
constexpr std::size_t kMaxTextBytes = std::size_t{4} << 20;

AttemptEnd end_of_failure(const ports::CallFailure& failure) {
  AttemptEnd end;
  end.reason = failure.reason;
  end.retry_after = failure.retry_after;
  end.unreachable = failure.unreachable;
  end.stale_connection = failure.stale_connection;
  switch (failure.kind) {
    case ports::CallFailureKind::kNotRun:
      end.kind = AttemptEndKind::kNotRun;
      break;
    case ports::CallFailureKind::kGone:
      end.kind = AttemptEndKind::kGone;
      break;
    case ports::CallFailureKind::kMayHaveRun:
      end.kind = AttemptEndKind::kBroken;
      break;
  }
  return end;
}

AttemptEnd end_of_rejection(unsigned status) {
  AttemptEnd end;
  end.reason = fmt::format("the replica answered {}", status);
  end.kind = AttemptEndKind::kBroken;
  if (status == kUnprocessable) {
    end.kind = AttemptEndKind::kImpossible;
  } else if (status == kServerError) {
    end.kind = AttemptEndKind::kFailedAnswer;
  }
  return end;
}

AttemptEnd ended(AttemptEndKind kind, std::string reason,
                 std::optional<core::WeightVersion> version) {
  AttemptEnd end;
  end.kind = kind;
  end.reason = std::move(reason);
  end.version = version;
  return end;
}

/// \return why an event of \p version must not be part of \p text; nothing if it may.
std::optional<std::string> objection(const ItemText& text,
                                     std::optional<core::WeightVersion> version,
                                     const TextRules& rules) {
  if (!version) {
    return "the stream names no version";
  }
  if (*version < rules.oldest_version) {
    return fmt::format("version {} is older than {}", version->value(),
                       rules.oldest_version.value());
  }
  const bool differs = !text.versions.empty() && text.versions.back() != version->value();
  if (rules.single_version && differs) {
    return fmt::format("version {} after {}", version->value(), text.versions.back());
  }
  return std::nullopt;
}

}  // namespace

std::string_view to_string(AttemptEndKind kind) {
  switch (kind) {
    case AttemptEndKind::kComplete:
      return "whole";
    case AttemptEndKind::kNotRun:
      return "not_run";
    case AttemptEndKind::kGone:
      return "gone";
    case AttemptEndKind::kBroken:
      return "broken";
    case AttemptEndKind::kFailedAnswer:
      return "failed_answer";
    case AttemptEndKind::kImpossible:
      return "impossible";
    case AttemptEndKind::kUnfit:
      return "unfit";
    case AttemptEndKind::kCancelled:
      return "cut";
  }
  return "unknown";
}

asio::awaitable<AttemptEnd> attempt_text(ports::ReplicaClient& replicas,
                                         ports::ReplicaTarget target, ports::ReplicaCall call,
                                         ItemText& text, TextRules rules,
                                         std::function<void()> on_event) {
  if (!text.events.empty()) {
    call.resume_after = text.events.size();
  }
  ports::CallResult<ports::StreamAnswer> opened =
      co_await replicas.open_stream(std::move(target), std::move(call));
  if (!opened) {
    co_return end_of_failure(opened.error());
  }
  if (opened->rejection) {
    co_return end_of_rejection(opened->rejection->response.head.status);
  }
  ports::TokenStream& stream = *opened->stream;
  std::optional<core::WeightVersion> version = stream.version();
  on_event();
  std::size_t text_bytes = text.memory_bytes();
  while (true) {
    core::Result<std::optional<ports::TokenEvent>> event = co_await stream.next();
    if (!event) {
      co_return ended(AttemptEndKind::kBroken, event.error().message, version);
    }
    if (!event->has_value()) {
      break;
    }
    ports::TokenEvent& made = **event;
    if (made.version) {
      version = made.version;
    }
    if (made.number != text.events.size() + 1) {
      co_return ended(AttemptEndKind::kBroken, fmt::format("event {} out of order", made.number),
                      version);
    }
    const std::optional<std::string> reason = objection(text, version, rules);
    if (reason) {
      co_return ended(AttemptEndKind::kUnfit, *reason, version);
    }
    text_bytes += made.data.size() + sizeof(made.data) + sizeof(std::uint64_t);
    if (text_bytes > kMaxTextBytes) {
      co_return ended(AttemptEndKind::kUnfit,
                      fmt::format("the text exceeds {} bytes", kMaxTextBytes), version);
    }
    text.events.push_back(std::move(made.data));
    text.versions.push_back(version->value());
    on_event();
  }
  if (!stream.can_detect_truncation()) {
    co_return ended(AttemptEndKind::kBroken, "the end is not certain", version);
  }
  if (text.events.empty()) {
    co_return ended(AttemptEndKind::kBroken, "the stream has no event", version);
  }
  co_return ended(AttemptEndKind::kComplete, "", version);
}

}  // namespace stoneport::jobs
