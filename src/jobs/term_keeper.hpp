/// \file
/// Elects the process that coordinates the jobs: a term record in the store with an increasing
/// epoch, a heartbeat record beside it (written by jobs/term_writer), and takeover when the
/// heartbeat stops while the store answers. Every write of a holder is conditional on the revision
/// of its term, so a deposed holder cannot change anything. Used from one thread only.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/metrics.hpp"
#include "core/random.hpp"
#include "jobs/job_records.hpp"
#include "ports/record_store.hpp"
#include "records/table_mirror.hpp"

namespace stoneport::jobs {

/// \return the delay of bids of a process that has \p processor_share of a core.
core::Duration bid_delay_of(double processor_share);

struct Term {
  core::Epoch epoch;
  core::Revision revision;       ///< of the term's record; a condition of each write
  core::Duration bid_latency{};  ///< time that the store took for the bid; zero if unknown
};

struct TermSettings {
  /// Unique to one run of one process.
  std::string holder;
  core::Duration write_timeout = std::chrono::milliseconds(900);
  /// Silence of the heartbeat after which another process takes over.
  core::Duration takeover_after = std::chrono::milliseconds(1200);
  /// Replaces takeover_after when the holder is reported as gone.
  core::Duration takeover_from_suspect_after = std::chrono::milliseconds(500);
  /// Maximum age of a heartbeat when it is first seen, while the store is slow.
  core::Duration heartbeat_transit = std::chrono::milliseconds(600);
  /// Range of the random delay of bids.
  core::Duration bid_spread = std::chrono::milliseconds(200);
  /// Additional delay of bids from a process on a small machine, so that a larger one wins.
  core::Duration bid_delay{};
  /// Minimum interval between two reads of the term. The holder's heartbeat is updated with every
  /// write of its term.
  core::Duration feed_interval = std::chrono::milliseconds(150);
  core::Duration tick = std::chrono::milliseconds(100);
  /// A longer gap between ticks means that this process was paused.
  core::Duration longest_gap = std::chrono::milliseconds(500);
  /// If the store has not answered for this long, silence of the heartbeat is not evidence.
  core::Duration longest_store_silence = std::chrono::milliseconds(1000);
};

/// Status of the term's holder, from sources other than its heartbeat.
enum class HolderStatus {
  kUnknown,  ///< no evidence against it
  kSuspect,  ///< unreachable for the cluster members
  kEnded,    ///< its process has terminated
};

/// Decides when a process that does not hold the term bids for it. No I/O.
class TermObserver {
 public:
  explicit TermObserver(const TermSettings& settings) : settings_(settings) {}

  /// Must be called when the term's or the heartbeat's record has changed.
  /// \param heartbeat_age by the store's clock; only the first one seen counts, as later ones are
  /// timed by their arrival
  void on_change(core::MonotonicTime now, bool has_holder,
                 core::Duration heartbeat_age = core::Duration(0));
  /// Records that another process holds the term. A report from before its term that it has
  /// terminated is not valid: if a clock was set back, a process gets a later incarnation number
  /// than the one in its name, and would count as terminated as long as it runs.
  void on_new_holder() { is_new_holder_ = true; }
  /// \param last_answer when the store last answered
  /// \param spread random number between 0 and 1, different for each process
  /// \return whether to bid for the term now.
  bool should_bid(core::MonotonicTime now, core::MonotonicTime last_answer, double spread,
                  HolderStatus status = HolderStatus::kUnknown);
  /// Records that this process could not coordinate: its bid delay starts from \p now.
  void on_ineligible(core::MonotonicTime now) { ineligible_at_ = now; }
  /// \return when either record last changed; the epoch of the clock before the first change.
  core::MonotonicTime changed_at() const { return changed_at_.value_or(core::MonotonicTime()); }

 private:
  core::Duration required_silence(HolderStatus status) const;
  /// \return \p status, or kUnknown if it is a report of an end from before the holder's term.
  HolderStatus effective_status(HolderStatus status);

  TermSettings settings_;
  bool has_holder_ = false;
  bool is_new_holder_ = false;  ///< since its status was last evaluated
  bool ended_before_ = false;   ///< the report of its end is older than the holder's term
  std::optional<core::MonotonicTime> changed_at_;
  std::optional<core::MonotonicTime> last_tick_;
  std::optional<core::MonotonicTime> ineligible_at_;  ///< most recent time
};

class TermKeeper {
 public:
  struct Listener {
    std::function<bool()> eligible;  ///< whether this process may hold the term now
    std::function<HolderStatus(const std::string& holder)> holder_status;
    std::function<void(Term)> on_gain;
    std::function<void()> on_loss;
  };

  TermKeeper(boost::asio::any_io_executor executor, ports::RecordStore& store,
             TermSettings settings, Listener listener, std::uint64_t seed,
             const core::TimeSource& time, core::Metrics& metrics);

  void start();
  /// Sets the minimum interval between two reads of the term.
  void set_feed_interval(core::Duration interval) { mirror_.set_feed_interval(interval); }
  const std::optional<Term>& held() const { return held_; }
  /// \return when the last confirmed write was sent; valid only while the term is held.
  core::MonotonicTime confirmed_at() const { return confirmed_at_; }
  /// Records that a write under the held term, sent at \p sent_at, was confirmed.
  void on_confirmed(core::MonotonicTime sent_at);
  /// Ends the held term after a write failed because of another term.
  void on_deposed(std::string_view reason);
  /// \return when this process last saw the term or its heartbeat change.
  core::MonotonicTime changed_at() const { return watch_.changed_at(); }
  /// Releases the term; this process may bid again.
  boost::asio::awaitable<void> step_down();
  /// Releases the term, so that another process takes over at once; this process never bids again.
  boost::asio::awaitable<void> release();

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> bid();
  boost::asio::awaitable<void> give_up_term();
  void on_records(const records::TableMirror::Records& records);
  void gain(Term term);
  ports::RecordTransaction transaction(core::Revision condition) const;

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  TermSettings settings_;
  Listener listener_;
  core::RandomSource random_;
  const core::TimeSource& time_;
  TermObserver watch_;
  records::TableMirror mirror_;
  TermRecord seen_;
  core::Revision seen_revision_;
  core::Revision heartbeat_revision_;
  std::optional<Term> held_;
  core::MonotonicTime confirmed_at_{};
  double spread_ = 0;
  bool released_ = false;
  prometheus::Counter& terms_gained_;
  prometheus::Counter& terms_lost_;
  prometheus::Gauge& holds_term_;
};

}  // namespace stoneport::jobs
