/// \file
/// Decision logic of fenced leases: takes rows, store responses and times, and returns the
/// next step. Performs no I/O. See docs/design/leases.md.
#pragma once

#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::controllers {

/// One run of one daemon. A restarted daemon is a different holder, because its former
/// process may only be frozen.
struct LeaseHolder {
  core::NodeId node;
  core::Incarnation incarnation;
  auto operator<=>(const LeaseHolder&) const = default;
};

/// Contents of a lease's row. The row is never deleted, so that the epoch only increases; a
/// released lease has no holder.
struct LeaseRecord {
  std::optional<LeaseHolder> holder;
  core::Epoch epoch;
  core::Duration duration{};  ///< chosen by the holder
};

std::string encode_lease(const LeaseRecord& record);
/// \return the record, or kProtocol when \p text is not a lease record
core::Result<LeaseRecord> parse_lease(const std::string& text);

struct LeaseSettings {
  core::Duration duration = std::chrono::seconds(10);
  /// Fraction of the duration that the holder does not use, to allow for clocks that run at
  /// different rates.
  double holder_margin = 0.15;
};

/// Which effects a lease currently allows.
enum class LeaseStatus {
  kNone,  ///< none
  kHeld,  ///< any: no other daemon can hold the lease
  /// The lease expired while the store was not answering, and no other holder is known.
  /// Only effects that the receiver fences and that may safely happen twice are allowed.
  kUnconfirmed,
};

struct ObservedLease {
  LeaseRecord record;
  core::Revision revision;
};

/// Conditional write of the lease's row.
struct LeaseWrite {
  LeaseRecord record;
  core::Revision condition;  ///< zero: the row must not exist
};

enum class LeaseStep { kWait, kRead, kWrite };
struct LeasePlan {
  LeaseStep step = LeaseStep::kWait;
  std::optional<LeaseWrite> write;  ///< set for kWrite
};

/// State of one lease on one daemon. Call plan(), execute the step, then report its result.
class LeaseState {
 public:
  LeaseState(LeaseHolder self, LeaseSettings settings)
      : self_(std::move(self)), settings_(settings) {}

  /// Starts a round: a row that another daemon holds must be read again.
  void begin_round();

  /// \param wanted whether this daemon should hold the lease
  LeasePlan plan(core::MonotonicTime now, bool wanted) const;

  /// \param now time after the response arrived
  void on_read(std::optional<ObservedLease> observed, core::MonotonicTime now);
  void on_read_failed(core::MonotonicTime sent_at, core::MonotonicTime now);

  /// \param sent_at time before the write was sent, from which other daemons may see the
  /// lease in force
  void on_write_committed(const LeaseWrite& write, core::Revision revision,
                          core::MonotonicTime sent_at);
  /// Records that another daemon changed the row, or that it cannot be parsed.
  void on_row_lost();
  /// Records that the store rejected the write, or that its response was lost.
  /// \param now time after the attempt ended
  void on_write_failed(core::MonotonicTime sent_at, core::MonotonicTime now,
                       bool may_have_taken_effect);

  LeaseStatus status(core::MonotonicTime now) const;
  /// \return the fencing token of the lease last held; zero when lost or never held
  core::Epoch epoch() const { return epoch_; }
  /// \return the holder named by the last read
  std::optional<LeaseHolder> observed_holder() const;

 private:
  bool row_is_ours() const;
  bool row_is_free(core::MonotonicTime now) const;
  LeasePlan plan_unwanted() const;
  void record_unanswered(core::MonotonicTime sent_at, core::MonotonicTime now);
  LeasePlan write_plan(std::optional<LeaseHolder> holder, core::Epoch epoch) const;

  LeaseHolder self_;
  LeaseSettings settings_;

  /// Row as last read or written; its revision is known while read_is_fresh_.
  std::optional<ObservedLease> row_;
  bool read_is_fresh_ = false;
  core::MonotonicTime unchanged_since_{};
  core::MonotonicTime last_read_{};

  core::Epoch epoch_;
  core::MonotonicTime held_until_{};
  /// End of the last attempt that the store did not answer. Set only after a short attempt:
  /// one that spans a pause of this process shows nothing about the store since then.
  std::optional<core::MonotonicTime> last_unanswered_;
};

}  // namespace stoneport::controllers
