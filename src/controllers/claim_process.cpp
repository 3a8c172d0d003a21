#include "controllers/claim_process.hpp"

namespace stoneport::controllers {
namespace {
using core::ErrorCode;

/// Maximum number of writes per claim, not counting retries inside the table service
/// client.
constexpr std::uint32_t kMaxWrites = 3;
constexpr core::Duration kRetryAfterConflict = std::chrono::milliseconds(200);

core::Error claim_contended() {
  return core::make_error(ErrorCode::kUnavailable,
                          "the claim of this idempotency key keeps changing", kRetryAfterConflict);
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

void ClaimProcess::write_if(core::Revision condition) {
  if (writes_ >= kMaxWrites || write_outcome_unknown_) {
    refuse(claim_contended());
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
  write_outcome_unknown_ = true;
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
  write_if(core::Revision());
}

void ClaimProcess::on_row(const StoredClaim& row, bool abandoned) {
  if (row.record.claim == claim_) {
    grant(row.revision);
    return;
  }
  if (abandoned) {
    write_if(row.revision);
    return;
  }
  step_ = ClaimStep::kTaken;
  found_ = row;
}

}  // namespace stoneport::controllers
