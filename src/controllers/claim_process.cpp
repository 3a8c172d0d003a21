#include "controllers/claim_process.hpp"

namespace stoneport::controllers {
namespace {
using core::ErrorCode;

/// Writes of one claim, the guard's own repeats apart.
constexpr std::uint32_t kMostWrites = 3;
constexpr core::Duration kRetryAfterConflict = std::chrono::milliseconds(200);

core::Error busy() {
  return core::make_error(ErrorCode::kUnavailable, "the key's claim keeps changing",
                          kRetryAfterConflict);
}
}  // namespace

void ClaimProcess::grant(core::Revision revision) {
  step_ = ClaimStep::kGranted;
  revision_ = revision;
}

void ClaimProcess::refuse(core::Error error) {
  step_ = ClaimStep::kRefused;
  error_ = std::move(error);
}

void ClaimProcess::write_on(core::Revision condition) {
  if (writes_ >= kMostWrites || write_is_open_) {
    refuse(busy());
    return;
  }
  step_ = ClaimStep::kWrite;
  condition_ = condition;
}

void ClaimProcess::on_write(const core::Result<core::Revision>& answer) {
  ++writes_;
  if (answer) {
    grant(*answer);
    return;
  }
  const ErrorCode code = answer.error().code;
  if (code == ErrorCode::kConflict) {
    step_ = ClaimStep::kRead;
    return;
  }
  if (code == ErrorCode::kUnavailable || code == ErrorCode::kRateLimited ||
      code == ErrorCode::kInvalidArgument) {
    refuse(answer.error());
    return;
  }
  write_is_open_ = true;
  step_ = ClaimStep::kRead;
}

void ClaimProcess::on_read(const core::Result<std::optional<StoredClaim>>& answer, bool abandoned) {
  if (!answer) {
    refuse(answer.error());
    return;
  }
  if (*answer) {
    on_row(**answer, abandoned);
    return;
  }
  write_on(core::Revision());
}

void ClaimProcess::on_row(const StoredClaim& row, bool abandoned) {
  if (row.record.claim == claim_) {
    grant(row.revision);
    return;
  }
  if (abandoned) {
    write_on(row.revision);
    return;
  }
  step_ = ClaimStep::kTaken;
  found_ = row;
}

}  // namespace stoneport::controllers
