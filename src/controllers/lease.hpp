/// \file
/// The arithmetic of leases with fencing. Plain code: rows, answers and times go
/// in, a decision comes out. docs/design/leases.md
#pragma once

#include <optional>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::controllers {

/// One life of one daemon. A restarted daemon is another holder, as its former
/// process may only be frozen.
struct LeaseHolder {
  core::NodeId node;
  core::Incarnation incarnation;
  auto operator<=>(const LeaseHolder&) const = default;
};

/// What the row of a lease says. The row is never deleted, so that the epoch
/// only grows; a released lease has no holder.
struct LeaseRecord {
  std::optional<LeaseHolder> holder;
  core::Epoch epoch;
  core::Duration duration{};  ///< as the holder chose it
};

std::string encode_lease(const LeaseRecord& record);
/// \return kProtocol for anything else than a lease record.
core::Result<LeaseRecord> parse_lease(const std::string& text);

struct LeaseSettings {
  core::Duration duration = std::chrono::seconds(10);
  /// Part of the duration that the holder leaves unused, against clocks that run
  /// at different rates.
  double holder_margin = 0.15;
};

/// How far a daemon may act under a lease now.
enum class LeaseStanding {
  kNone,  ///< must not act
  kHeld,  ///< nobody else can hold it
  /// It ran out while the store did not answer us, and we know of no other
  /// holder. Only effects that the fence checks and that may happen twice.
  kUnconfirmed,
};

struct ObservedLease {
  LeaseRecord record;
  core::Revision revision;
};

/// A conditional write of the lease's row.
struct LeaseWrite {
  LeaseRecord record;
  core::Revision condition;  ///< zero: there must be no row
};

enum class LeaseStep { kWait, kRead, kWrite };
struct LeasePlan {
  LeaseStep step = LeaseStep::kWait;
  std::optional<LeaseWrite> write;  ///< set for kWrite
};

/// One lease as one daemon sees it. Ask plan(), do what it says, report the end.
class LeaseState {
 public:
  LeaseState(LeaseHolder self, LeaseSettings settings)
      : self_(std::move(self)), settings_(settings) {}

  /// Starts a round: what another holds must be read again.
  void begin_round();

  /// \param wanted whether this daemon should hold the lease
  LeasePlan plan(core::MonotonicTime now, bool wanted) const;

  /// \param now taken after the answer arrived
  void on_read(std::optional<ObservedLease> observed, core::MonotonicTime now);
  void on_read_failed(core::MonotonicTime sent_at, core::MonotonicTime now);

  /// \param sent_at taken before the write was sent: the lease may be in force
  /// for others from then on
  void on_write_committed(const LeaseWrite& write, core::Revision revision,
                          core::MonotonicTime sent_at);
  /// Somebody else changed the row, or it says nothing that we understand.
  void on_row_lost();
  /// The store refused, or its answer was lost.
  /// \param now taken after the attempt ended
  void on_write_failed(core::MonotonicTime sent_at, core::MonotonicTime now,
                       bool may_have_taken_effect);

  LeaseStanding standing(core::MonotonicTime now) const;
  /// \return the fencing token of the lease last held; zero when lost or never held.
  core::Epoch epoch() const { return epoch_; }
  /// \return the holder that the last read named.
  std::optional<LeaseHolder> observed_holder() const;

 private:
  bool row_is_ours() const;
  bool row_is_free(core::MonotonicTime now) const;
  LeasePlan plan_unwanted() const;
  void note_unanswered(core::MonotonicTime sent_at, core::MonotonicTime now);
  LeasePlan write_plan(std::optional<LeaseHolder> holder, core::Epoch epoch) const;

  LeaseHolder self_;
  LeaseSettings settings_;

  /// The row as last read or written; its revision is known while fresh.
  std::optional<ObservedLease> row_;
  bool read_is_fresh_ = false;
  core::MonotonicTime unchanged_since_{};
  core::MonotonicTime last_read_{};

  core::Epoch epoch_;
  core::MonotonicTime held_until_{};
  /// End of the last attempt that the store did not answer, if it was short:
  /// one that spans a pause of this process says nothing of the time since.
  std::optional<core::MonotonicTime> last_unanswered_;
};

}  // namespace stoneport::controllers
