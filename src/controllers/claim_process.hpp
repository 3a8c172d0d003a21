/// \file
/// Decides how one claim of an idempotency key ends. Plain code: answers of the
/// store go in, the next step comes out. docs/design/claims.md
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
  kWrite,    ///< write our record on the condition condition()
  kRead,     ///< read the row
  kGranted,  ///< the row is surely ours: the request may be sent, once
  kTaken,    ///< found() holds the first claim
  kRefused,  ///< error() says why; the request must not be sent
};

/// One claim from its first write to its end. A claim that did not end in
/// kGranted is never sent under.
class ClaimProcess {
 public:
  /// \param claim a new write id; also that of the write
  explicit ClaimProcess(core::WriteId claim) : claim_(std::move(claim)) {}

  ClaimStep step() const { return step_; }
  core::Revision condition() const { return condition_; }

  void on_write(const core::Result<core::Revision>& answer);
  /// \param abandoned whether the row found carries a claim of this process that
  /// was never sent under
  void on_read(const core::Result<std::optional<StoredClaim>>& answer, bool abandoned);

  /// \return of the row, once granted.
  core::Revision revision() const { return revision_; }
  const StoredClaim& found() const { return *found_; }
  const core::Error& error() const { return error_; }
  /// \return whether our record may be in the store, or arrive there, although
  /// the claim was not granted. It must be remembered and released.
  bool may_be_stored() const { return step_ != ClaimStep::kGranted && write_is_open_; }

 private:
  void grant(core::Revision revision);
  void refuse(core::Error error);
  void write_on(core::Revision condition);
  void on_row(const StoredClaim& row, bool abandoned);

  core::WriteId claim_;
  ClaimStep step_ = ClaimStep::kWrite;
  core::Revision condition_;
  core::Revision revision_;
  std::optional<StoredClaim> found_;
  core::Error error_;
  std::uint32_t writes_ = 0;
  bool write_is_open_ = false;
};

}  // namespace stoneport::controllers
