/// \file
/// Which process coordinates the jobs: a term in the store with a growing epoch, a
/// heartbeat beside it (written by jobs/term_writer), and take-over when it stops
/// while the store answers. Every write of a holder is conditional on the term's revision, so a
/// deposed holder can change nothing. Belongs to one thread.
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

/// \return how much later than others a process bids that has \p processor_share of a core.
core::Duration bid_delay_of(double processor_share);

struct Term {
  core::Epoch epoch;
  core::Revision revision;       ///< of the term's record; a condition of each write
  core::Duration bid_latency{};  ///< how long the store took over the bid; zero unknown
};

struct TermSettings {
  /// Unique to one life of one process.
  std::string holder;
  core::Duration write_timeout = std::chrono::milliseconds(900);
  /// Silence of the heartbeat after which another process takes over.
  core::Duration takeover_after = std::chrono::milliseconds(1200);
  /// The same when other signs say that the holder is gone.
  core::Duration takeover_from_suspect_after = std::chrono::milliseconds(500);
  /// A heartbeat may be this old when it is seen, while the store is slow.
  core::Duration heartbeat_transit = std::chrono::milliseconds(600);
  /// Bids of several processes are spread over this.
  core::Duration bid_spread = std::chrono::milliseconds(200);
  /// A process on a small machine bids this much later, so that a larger one is first.
  core::Duration bid_delay{};
  /// The holder's heartbeat comes with every write of its term; each process reads the
  /// term no more often than this.
  core::Duration feed_interval = std::chrono::milliseconds(150);
  core::Duration tick = std::chrono::milliseconds(100);
  /// Longer gaps between ticks mean that this process was paused.
  core::Duration longest_gap = std::chrono::milliseconds(500);
  /// Without an answer of the store for this long, silence proves nothing.
  core::Duration longest_store_silence = std::chrono::milliseconds(1000);
};

/// What else a process knows of the term's holder than its heartbeat.
enum class HolderStatus {
  kUnknown,  ///< nothing that speaks against it
  kSuspect,  ///< the members cannot reach it
  kEnded,    ///< its process surely runs no more
};

/// What a process that does not hold the term has seen of it. Plain code.
class TermObserver {
 public:
  explicit TermObserver(const TermSettings& settings) : settings_(settings) {}

  /// The term's or the heartbeat's record has changed.
  /// \param heartbeat_age by the store's clock; only the first one seen counts, as
  /// later ones are timed by their arrival
  void on_change(core::MonotonicTime now, bool has_holder,
                 core::Duration heartbeat_age = core::Duration(0));
  /// Another process holds the term. What the members said of it before it did proves
  /// nothing: where a clock was set back, a process takes a later number for its life than
  /// the one that its name holds, and would be taken for ended as long as it runs.
  void on_new_holder() { is_new_holder_ = true; }
  /// \param last_answer when the store last answered
  /// \param spread between 0 and 1, drawn anew for each process
  /// \return whether to bid for the term now.
  bool should_bid(core::MonotonicTime now, core::MonotonicTime last_answer, double spread,
                  HolderStatus sign = HolderStatus::kUnknown);
  /// This process could not coordinate yet: its bid delay counts from now on.
  void on_ineligible(core::MonotonicTime now) { ineligible_at_ = now; }
  /// \return when either record last changed; the start of time before the first one.
  core::MonotonicTime changed_at() const { return changed_at_.value_or(core::MonotonicTime()); }

 private:
  core::Duration patience(HolderStatus sign) const;
  /// \return \p sign, or nothing where it is an end from before the holder's term.
  HolderStatus effective_status(HolderStatus sign);

  TermSettings settings_;
  bool has_holder_ = false;
  bool is_new_holder_ = false;  ///< since the last look at its sign
  bool ended_before_ = false;   ///< the sign of an end is older than the holder's term
  std::optional<core::MonotonicTime> changed_at_;
  std::optional<core::MonotonicTime> last_tick_;
  std::optional<core::MonotonicTime> ineligible_at_;  ///< last time
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
  /// Replaces the least time between two looks at the term.
  void set_feed_interval(core::Duration interval) { mirror_.set_feed_interval(interval); }
  const std::optional<Term>& held() const { return held_; }
  /// \return when the last confirmed write was sent; only while held.
  core::MonotonicTime confirmed_at() const { return confirmed_at_; }
  /// A write under the held term, sent at that time, was confirmed.
  void on_confirmed(core::MonotonicTime sent_at);
  /// The holder's writes have met another term.
  void on_deposed(std::string_view reason);
  /// \return when the term or its heartbeat last changed as seen from here.
  core::MonotonicTime changed_at() const { return watch_.changed_at(); }
  /// Gives the term up for now; this process may bid again.
  boost::asio::awaitable<void> step_down();
  /// Gives the term up, so that another process takes it at once; never bids again.
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
