/// \file
/// Appends results to the lists of their jobs in the store, a few at a time. A
/// position is given once: a write whose answer was lost is settled before the
/// next one. Belongs to the coordinator's thread, for one term.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "core/metrics.hpp"
#include "jobs/open_job.hpp"
#include "jobs/term_keeper.hpp"
#include "ports/record_store.hpp"

namespace stoneport::jobs {

struct ResultListerSettings {
  /// Results that come within this time are listed together.
  core::Duration batch_delay = std::chrono::milliseconds(15);
  core::Duration attempt_timeout = std::chrono::milliseconds(900);
  core::Duration retry_pause = std::chrono::milliseconds(60);
  /// Of the largest transaction: room for keys and the encoding.
  double usable_share = 0.6;
};

struct PendingResult {
  OpenJobPointer job;
  std::size_t item = 0;  ///< index into the job's items
  JobResult result;
};

class ResultLister : public std::enable_shared_from_this<ResultLister> {
 public:
  struct Listener {
    std::function<void(const PendingResult&, std::uint64_t position)> on_listed;
    std::function<void(std::string_view reason)> on_deposed;
  };

  ResultLister(boost::asio::any_io_executor executor, ports::RecordStore& store, Term term,
               Listener listener, core::Metrics& metrics, ResultListerSettings settings = {});
  void start();
  void stop();
  void add(PendingResult result);
  std::size_t waiting() const { return queue_.size(); }

 private:
  /// One transaction and what it lists.
  struct Batch {
    ports::RecordTransaction transaction;
    std::vector<PendingResult> results;
    std::vector<std::uint64_t> positions;
  };
  enum class Settled { kCommitted, kDeposed, kStopped };

  static boost::asio::awaitable<void> run(std::shared_ptr<ResultLister> self);
  Batch next_batch();
  static void add_to(Batch& batch, PendingResult result,
                     std::map<const OpenJob*, std::uint64_t>& next_positions,
                     std::vector<ports::RecordWrite> writes);
  boost::asio::awaitable<Settled> settle(const Batch& batch);
  boost::asio::awaitable<Settled> settle_conflict(const Batch& batch);
  void finish(const Batch& batch);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  Term term_;
  Listener listener_;
  ResultListerSettings settings_;
  std::deque<PendingResult> queue_;
  boost::asio::steady_timer wake_;
  bool stopped_ = false;
  prometheus::Counter& commits_;
  prometheus::Counter& results_;
  prometheus::Counter& failed_commits_;
};

}  // namespace stoneport::jobs
