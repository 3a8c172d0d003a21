#include "filters/outcome.hpp"

namespace stoneport::filters {

std::string_view to_string(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kCompleted:
      return "completed";
    case OutcomeKind::kNotRun:
      return "not-run";
    case OutcomeKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Aborted caller_left(OutcomeKind kind) {
  return Aborted{core::make_error(core::ErrorCode::kCancelled, "the caller left"), true, kind};
}

bool surely_not_run(const Outcome& outcome) {
  if (const auto* refused = std::get_if<Refused>(&outcome)) {
    return refused->kind == OutcomeKind::kNotRun;
  }
  if (const auto* aborted = std::get_if<Aborted>(&outcome)) {
    return aborted->kind == OutcomeKind::kNotRun;
  }
  return false;
}

}  // namespace stoneport::filters
