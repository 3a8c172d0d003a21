/// \file
/// State machine that claims one idempotency key: takes store responses and returns the
/// next step. Performs no I/O. See docs/design/claims.md.
#pragma once

#include <cstdint>
#include <optional>

#include "controllers/claim_record.hpp"

namespace stoneport::controllers {

struct StoredClaim {
  ClaimRecord record;
  core::Revision revision;
};

enum class ClaimStep {
  kWrite,    ///< write our record, conditional on condition()
  kRead,     ///< read the row
  kGranted,  ///< the row is certainly ours: the request may be sent, once
  kTaken,    ///< another claim came first; found() returns it
  kRefused,  ///< error() holds the reason; the request must not be sent
};

/// One attempt to claim a key, from its first write to its outcome. No request may be sent
/// unless the outcome is kGranted.
class ClaimProcess {
 public:
  /// \param claim a new write id, which also identifies the write
  explicit ClaimProcess(core::WriteId claim) : claim_(std::move(claim)) {}

  ClaimStep step() const { return step_; }
  core::Revision condition() const { return condition_; }

  void on_write(const core::Result<core::Revision>& answer);
  /// \param abandoned whether the row holds an abandoned claim of this process, under which
  /// no request was sent
  void on_read(const core::Result<std::optional<StoredClaim>>& answer, bool abandoned);

  /// \return the revision of the row, once granted
  core::Revision revision() const { return revision_; }
  const StoredClaim& found() const { return *found_; }
  const core::Error& error() const { return error_; }
  /// \return whether our record may be in the store, or may still arrive there, although
  /// the claim was not granted. Such a claim must be recorded as abandoned and released.
  bool may_be_stored() const { return step_ != ClaimStep::kGranted && write_outcome_unknown_; }

 private:
  void grant(core::Revision revision);
  void refuse(core::Error error);
  void write_if(core::Revision condition);
  void on_row(const StoredClaim& row, bool abandoned);

  core::WriteId claim_;
  ClaimStep step_ = ClaimStep::kWrite;
  core::Revision condition_;
  core::Revision revision_;
  std::optional<StoredClaim> found_;
  core::Error error_;
  std::uint32_t writes_ = 0;
  bool write_outcome_unknown_ = false;
};

}  // namespace stoneport::controllers
