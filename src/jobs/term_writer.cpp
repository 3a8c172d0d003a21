#include "jobs/term_writer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

/// Entries of a transaction besides results and checkpoints.
constexpr std::size_t kOwnEntries = 3;
constexpr core::Duration kFlushCheck = std::chrono::milliseconds(10);

std::size_t bytes_of(const std::vector<ports::RecordWrite>& writes) {
  std::size_t bytes = 0;
  for (const ports::RecordWrite& write : writes) {
    bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes;
}

std::size_t entries_of(const ports::RecordTransaction& transaction) {
  return transaction.conditions.size() + transaction.writes.size();
}

ports::RecordRange only_record(std::string_view table, const std::string& key) {
  return {std::string(table), std::string(kTermPartition), key, ports::key_after(key)};
}

}  // namespace

TermWriter::TermWriter(asio::any_io_executor executor, ports::RecordStore& store, Term term,
                       Listener listener, const core::TimeSource& time, core::Metrics& metrics,
                       TermWriterSettings settings)
    : executor_(executor),
      store_(store),
      term_(term),
      listener_(std::move(listener)),
      time_(time),
      settings_(settings),
      wake_(executor),
      commits_(metrics.counter("stoneport_coordinator_commits_total",
                               "Transactions of the coordinator that the store confirmed")),
      failed_commits_(metrics.counter("stoneport_coordinator_commit_failures_total",
                                      "Attempts that the store did not confirm")),
      results_(metrics.counter("stoneport_results_listed_total", "Results listed")),
      events_(metrics.counter("stoneport_checkpoint_events_total",
                              "Events of unfinished texts that were checkpointed")),
      commit_seconds_(metrics.seconds_histogram("stoneport_coordinator_commit_seconds",
                                                "Duration of confirmed transactions")) {}

void TermWriter::start() {
  // The bid has shown how slow the store is; learning that again from timeouts would leave the
  // heartbeat silent for longer than other processes wait.
  timeout_.set_expected_latency(term_.bid_latency);
  next_heartbeat_ = time_.now() + settings_.heartbeat_interval;
  next_checkpoint_ = time_.now() + settings_.checkpoint_interval;
  runtime::start(executor_, "term writer", run(shared_from_this()));
}

void TermWriter::stop() {
  stopped_ = true;
  wake_.cancel();
}

void TermWriter::add(PendingResult result) {
  queue_.push_back(std::move(result));
  wake_.cancel();
}

asio::awaitable<void> TermWriter::flush(core::Duration limit) {
  const core::MonotonicTime give_up_at = time_.now() + limit;
  // A transaction in flight may lack the newest events.
  const std::uint64_t wanted = flushes_done_ + 2;
  flushes_wanted_ = wanted;
  wake_.cancel();
  while (!stopped_ && flushes_done_ < wanted && time_.now() < give_up_at) {
    co_await runtime::sleep_for(kFlushCheck);
  }
}

asio::awaitable<void> TermWriter::wait_for_work() {
  while (!stopped_ && queue_.empty() && flushes_done_ >= flushes_wanted_) {
    const core::MonotonicTime due = std::min(next_heartbeat_, next_checkpoint_);
    if (time_.now() >= due) {
      co_return;
    }
    wake_.expires_after(due - time_.now());
    co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> TermWriter::run(std::shared_ptr<TermWriter> self) {
  while (!self->stopped_) {
    co_await self->wait_for_work();
    if (self->stopped_) {
      break;
    }
    if (!self->queue_.empty()) {
      co_await runtime::sleep_for(self->settings_.batch_delay);
    }
    Batch batch = self->next_batch();
    const Settled settled = co_await self->settle(batch);
    if (settled == Settled::kCommitted) {
      self->finish(batch);
    } else if (settled == Settled::kDeposed && !self->stopped_) {
      self->stopped_ = true;
      self->listener_.on_deposed("a write met another term");
    }
  }
}

void TermWriter::append(Batch& batch, PendingResult result, std::uint64_t position,
                        std::vector<ports::RecordWrite> writes) {
  const std::string& job = result.job->job.id;
  batch.transaction.conditions.push_back(
      {std::string(kResultTable), result_key(job, position, 0), core::Revision()});
  std::move(writes.begin(), writes.end(), std::back_inserter(batch.transaction.writes));
  batch.positions.push_back(position);
  if (position + 1 == result.job->items.size()) {
    batch.transaction.writes.push_back({std::string(kWholeTable), job_key(job), "{}"});
  }
  batch.results.push_back(std::move(result));
}

std::size_t TermWriter::take_results(Batch& batch, std::size_t usable_bytes) {
  const ports::RecordStoreLimits limits = store_.limits();
  std::map<const OpenJob*, std::uint64_t> next_positions;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    const OpenJobPointer job = queue_.front().job;
    if (job->is_closed) {
      queue_.pop_front();
      continue;
    }
    std::uint64_t& position = next_positions.try_emplace(job.get(), job->listed).first->second;
    std::vector<ports::RecordWrite> writes =
        encode_result(job->job.id, position, queue_.front().result, limits.record_bytes);
    const std::size_t more_bytes = bytes_of(writes);
    const bool fits =
        bytes + more_bytes <= usable_bytes &&
        entries_of(batch.transaction) + writes.size() + kOwnEntries <= limits.transaction_entries;
    if (!fits && !batch.results.empty()) {
      break;
    }
    bytes += more_bytes;
    PendingResult result = std::move(queue_.front());
    queue_.pop_front();
    append(batch, std::move(result), position, std::move(writes));
    ++position;
  }
  return bytes;
}

TermWriter::Batch TermWriter::next_batch() {
  const ports::RecordStoreLimits limits = store_.limits();
  const auto usable_bytes = static_cast<std::size_t>(settings_.usable_share *
                                                     static_cast<double>(limits.transaction_bytes));
  Batch batch;
  batch.transaction.partition = std::string(kTermPartition);
  batch.transaction.conditions.push_back(
      {std::string(kTermTable), std::string(kTermKey), term_.revision});
  batch.transaction.writes.push_back(
      {std::string(kTermTable), std::string(kHeartbeatKey), encode_sent_at(store_.now())});
  const std::size_t bytes = take_results(batch, usable_bytes);
  const std::size_t entries = entries_of(batch.transaction) + kOwnEntries;
  const bool has_room = bytes < usable_bytes && entries < limits.transaction_entries;
  const bool is_due = time_.now() >= next_checkpoint_ || flushes_done_ < flushes_wanted_;
  if (is_due && has_room) {
    batch.checkpoints =
        collect_checkpoints(listener_.open_jobs(), limits.transaction_entries - entries,
                            usable_bytes - bytes, limits.record_bytes);
    for (const ports::RecordWrite& write : batch.checkpoints.writes) {
      batch.transaction.writes.push_back(write);
    }
    next_checkpoint_ = time_.now() + settings_.checkpoint_interval;
  }
  next_heartbeat_ = time_.now() + settings_.heartbeat_interval;
  return batch;
}

asio::awaitable<core::Result<core::Revision>> TermWriter::attempt(Batch& batch) {
  ports::RecordTransaction copy = batch.transaction;
  const core::Duration timeout = timeout_.current();
  batch.sent_at = time_.now();
  core::Result<core::Revision> committed = co_await store_.commit(std::move(copy), timeout);
  const core::Duration latency = time_.now() - batch.sent_at;
  if (committed || latency < timeout) {
    timeout_.on_answer(latency);
  } else {
    timeout_.on_timeout();
  }
  if (committed) {
    commit_seconds_.Observe(core::to_seconds(latency));
  }
  co_return committed;
}

asio::awaitable<TermWriter::Settled> TermWriter::settle(Batch& batch) {
  while (!stopped_) {
    const core::Result<core::Revision> committed = co_await attempt(batch);
    if (committed) {
      co_return Settled::kCommitted;
    }
    if (committed.error().code == core::ErrorCode::kConflict) {
      co_return co_await settle_conflict(batch);
    }
    failed_commits_.Increment();
    core::log_decision(core::DecisionEvent::kCommitFailed,
                       {{"results", batch.results.size()},
                        {"checkpoints", batch.checkpoints.texts.size()},
                        {"timeout_ms", core::to_seconds(timeout_.current()) * 1000},
                        {"reason", committed.error().message}});
    co_await runtime::sleep_for(settings_.retry_pause);
  }
  co_return Settled::kStopped;
}

asio::awaitable<std::optional<bool>> TermWriter::term_holds() {
  const core::Result<ports::RecordPage> term =
      co_await store_.read(only_record(kTermTable, std::string(kTermKey)), timeout_.current());
  if (!term) {
    co_return std::nullopt;
  }
  co_return term->records.size() == 1 && term->records.front().revision == term_.revision;
}

asio::awaitable<std::optional<bool>> TermWriter::holds_first_result(const Batch& batch) {
  const std::string& job = batch.results.front().job->job.id;
  const std::string key = result_key(job, batch.positions.front(), 0);
  const core::Result<ports::RecordPage> read =
      co_await store_.read(only_record(kResultTable, key), timeout_.current());
  if (!read) {
    co_return std::nullopt;
  }
  const std::vector<ports::RecordWrite> ours = encode_result(
      job, batch.positions.front(), batch.results.front().result, store_.limits().record_bytes);
  co_return read->records.size() == 1 && read->records.front().value == ours.front().value;
}

/// Either another process holds the term, or an earlier attempt of this batch was committed.
asio::awaitable<TermWriter::Settled> TermWriter::settle_conflict(const Batch& batch) {
  while (!stopped_) {
    const std::optional<bool> holds = co_await term_holds();
    if (holds && (!*holds || batch.results.empty())) {
      co_return Settled::kDeposed;
    }
    if (holds) {
      const std::optional<bool> is_done = co_await holds_first_result(batch);
      if (is_done) {
        co_return *is_done ? Settled::kCommitted : Settled::kDeposed;
      }
    }
    timeout_.on_timeout();
    co_await runtime::sleep_for(settings_.retry_pause);
  }
  co_return Settled::kStopped;
}

void TermWriter::finish(const Batch& batch) {
  commits_.Increment();
  results_.Increment(static_cast<double>(batch.results.size()));
  events_.Increment(static_cast<double>(batch.checkpoints.mark_durable()));
  listener_.on_confirmed(batch.sent_at);
  if (queue_.empty() && flushes_done_ < flushes_wanted_) {
    ++flushes_done_;
  }
  for (std::size_t index = 0; index < batch.results.size(); ++index) {
    const PendingResult& listed = batch.results[index];
    listed.job->listed = batch.positions[index] + 1;
    listed.job->items[listed.item].state = ItemState::kListed;
    listener_.on_listed(listed, batch.positions[index]);
  }
}

}  // namespace stoneport::jobs
