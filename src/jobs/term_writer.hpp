/// \file
/// Performs all writes of a term's holder, one transaction at a time: results, checkpoints and the
/// heartbeat share transactions. A single stream of writes adapts to the speed of the store;
/// several would queue behind one another when it is slow. Each result gets its position once: a
/// write whose answer was lost is resolved before the next one is sent. Used from the coordinator's
/// thread, for one term.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "core/adaptive_timeout.hpp"
#include "core/metrics.hpp"
#include "jobs/checkpoint_batch.hpp"
#include "jobs/term_keeper.hpp"

namespace stoneport::jobs {

struct TermWriterSettings {
  /// Time for which results are collected into one transaction.
  core::Duration batch_delay = std::chrono::milliseconds(15);
  core::Duration heartbeat_interval = std::chrono::milliseconds(300);
  core::Duration checkpoint_interval = std::chrono::milliseconds(300);
  core::Duration retry_pause = std::chrono::milliseconds(80);
  /// Usable fraction of the largest transaction; the rest is for keys and the encoding.
  double usable_share = 0.6;
};

struct PendingResult {
  OpenJobPointer job;
  std::size_t item = 0;  ///< index into the job's items
  JobResult result;
};

class TermWriter : public std::enable_shared_from_this<TermWriter> {
 public:
  struct Listener {
    std::function<std::vector<OpenJobPointer>()> open_jobs;
    std::function<void(const PendingResult&, std::uint64_t position)> on_listed;
    /// A write that was sent at \p sent_at was confirmed.
    std::function<void(core::MonotonicTime sent_at)> on_confirmed;
    std::function<void(std::string_view reason)> on_deposed;
  };

  TermWriter(boost::asio::any_io_executor executor, ports::RecordStore& store, Term term,
             Listener listener, const core::TimeSource& time, core::Metrics& metrics,
             TermWriterSettings settings = {});
  void start();
  void stop();
  void add(PendingResult result);
  /// Writes everything that is pending, within \p limit.
  boost::asio::awaitable<void> flush(core::Duration limit);

 private:
  /// One transaction and its contents.
  struct Batch {
    ports::RecordTransaction transaction;
    std::vector<PendingResult> results;
    std::vector<std::uint64_t> positions;
    CheckpointBatch checkpoints;
    core::MonotonicTime sent_at;
  };
  enum class Settled { kCommitted, kDeposed, kStopped };

  static boost::asio::awaitable<void> run(std::shared_ptr<TermWriter> self);
  boost::asio::awaitable<void> wait_for_work();
  Batch next_batch();
  /// Moves results from the queue into \p batch. \return their size in bytes.
  std::size_t take_results(Batch& batch, std::size_t usable_bytes);
  static void append(Batch& batch, PendingResult result, std::uint64_t position,
                     std::vector<ports::RecordWrite> writes);
  boost::asio::awaitable<core::Result<core::Revision>> attempt(Batch& batch);
  boost::asio::awaitable<Settled> settle(Batch& batch);
  boost::asio::awaitable<Settled> settle_conflict(const Batch& batch);
  /// \return whether the store still holds this term; nothing if it does not answer.
  boost::asio::awaitable<std::optional<bool>> term_holds();
  boost::asio::awaitable<std::optional<bool>> holds_first_result(const Batch& batch);
  void finish(const Batch& batch);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  Term term_;
  Listener listener_;
  const core::TimeSource& time_;
  TermWriterSettings settings_;
  core::AdaptiveTimeout timeout_;
  std::deque<PendingResult> queue_;
  boost::asio::steady_timer wake_;
  core::MonotonicTime next_heartbeat_{};
  core::MonotonicTime next_checkpoint_{};
  std::uint64_t flushes_wanted_ = 0;
  std::uint64_t flushes_done_ = 0;
  bool stopped_ = false;
  prometheus::Counter& commits_;
  prometheus::Counter& failed_commits_;
  prometheus::Counter& results_;
  prometheus::Counter& events_;
  prometheus::Histogram& commit_seconds_;
};

}  // namespace stoneport::jobs
