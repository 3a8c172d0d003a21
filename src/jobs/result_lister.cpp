#include "jobs/result_lister.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

std::size_t bytes_of(const std::vector<ports::RecordWrite>& writes) {
  std::size_t bytes = 0;
  for (const ports::RecordWrite& write : writes) {
    bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes;
}

}  // namespace

ResultLister::ResultLister(asio::any_io_executor executor, ports::RecordStore& store, Term term,
                           Listener listener, core::Metrics& metrics, ResultListerSettings settings)
    : executor_(executor),
      store_(store),
      term_(term),
      listener_(std::move(listener)),
      settings_(settings),
      wake_(executor, asio::steady_timer::time_point::max()),
      commits_(
          metrics.counter("stoneport_listing_commits_total", "Transactions that listed results")),
      results_(metrics.counter("stoneport_results_listed_total", "Results listed")),
      failed_commits_(metrics.counter("stoneport_listing_failures_total",
                                      "Attempts to list that the store did not confirm")) {}

void ResultLister::start() {
  runtime::start(executor_, "result lister", run(shared_from_this()));
}

void ResultLister::stop() {
  stopped_ = true;
  wake_.cancel();
}

void ResultLister::add(PendingResult result) {
  queue_.push_back(std::move(result));
  wake_.cancel();
}

void ResultLister::add_to(Batch& batch, PendingResult result,
                          std::map<const OpenJob*, std::uint64_t>& next_positions,
                          std::vector<ports::RecordWrite> writes) {
  std::uint64_t& next =
      next_positions.try_emplace(result.job.get(), result.job->listed).first->second;
  const std::string& job = result.job->job.id;
  batch.transaction.conditions.push_back(
      {std::string(kResultTable), result_key(job, next, 0), core::Revision()});
  std::move(writes.begin(), writes.end(), std::back_inserter(batch.transaction.writes));
  batch.positions.push_back(next);
  ++next;
  if (next == result.job->items.size()) {
    batch.transaction.writes.push_back({std::string(kIndexTable), whole_key(job), "{}"});
  }
  batch.results.push_back(std::move(result));
}

ResultLister::Batch ResultLister::next_batch() {
  const ports::RecordStoreLimits limits = store_.limits();
  const auto usable_bytes = static_cast<std::size_t>(settings_.usable_share *
                                                     static_cast<double>(limits.transaction_bytes));
  Batch batch;
  batch.transaction.partition = std::string(kJobPartition);
  batch.transaction.conditions.push_back(
      {std::string(kTermTable), std::string(kTermKey), term_.revision});
  std::map<const OpenJob*, std::uint64_t> next_positions;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    if (queue_.front().job->over) {
      queue_.pop_front();
      continue;
    }
    const OpenJob& job = *queue_.front().job;
    std::uint64_t position = job.listed;
    const auto begun = next_positions.find(&job);
    if (begun != next_positions.end()) {
      position = begun->second;
    }
    std::vector<ports::RecordWrite> writes =
        encode_result(job.job.id, position, queue_.front().result, limits.record_bytes);
    const std::size_t entries =
        batch.transaction.conditions.size() + batch.transaction.writes.size() + writes.size() + 2;
    const std::size_t more_bytes = bytes_of(writes);
    const bool fits = entries <= limits.transaction_entries && bytes + more_bytes <= usable_bytes;
    if (!fits && !batch.results.empty()) {
      break;
    }
    bytes += more_bytes;
    PendingResult result = std::move(queue_.front());
    queue_.pop_front();
    add_to(batch, std::move(result), next_positions, std::move(writes));
  }
  return batch;
}

asio::awaitable<void> ResultLister::run(std::shared_ptr<ResultLister> self) {
  while (!self->stopped_) {
    if (self->queue_.empty()) {
      co_await self->wake_.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    co_await runtime::sleep_for(self->settings_.batch_delay);
    const Batch batch = self->next_batch();
    if (batch.results.empty()) {
      continue;
    }
    const Settled settled = co_await self->settle(batch);
    if (settled == Settled::kCommitted) {
      self->finish(batch);
    } else if (settled == Settled::kDeposed && !self->stopped_) {
      self->stopped_ = true;
      self->listener_.on_deposed("a listing met another term");
    }
  }
}

asio::awaitable<ResultLister::Settled> ResultLister::settle(const Batch& batch) {
  while (!stopped_) {
    ports::RecordTransaction copy = batch.transaction;
    const core::Result<core::Revision> committed =
        co_await store_.commit(std::move(copy), settings_.attempt_timeout);
    if (committed) {
      co_return Settled::kCommitted;
    }
    if (committed.error().code == core::ErrorCode::kConflict) {
      co_return co_await settle_conflict(batch);
    }
    failed_commits_.Increment();
    core::log_decision(core::DecisionEvent::kCommitFailed, {{"what", "results"},
                                                            {"count", batch.results.size()},
                                                            {"reason", committed.error().message}});
    co_await runtime::sleep_for(settings_.retry_pause);
  }
  co_return Settled::kStopped;
}

/// Either the term is another's, or an earlier attempt of this batch was done.
asio::awaitable<ResultLister::Settled> ResultLister::settle_conflict(const Batch& batch) {
  const std::string& job = batch.results.front().job->job.id;
  const std::string key = result_key(job, batch.positions.front(), 0);
  while (!stopped_) {
    ports::RecordRange term{std::string(kTermTable), std::string(kJobPartition),
                            std::string(kTermKey), ports::key_after(std::string(kTermKey))};
    const core::Result<ports::RecordPage> read =
        co_await store_.read(std::move(term), settings_.attempt_timeout);
    if (!read) {
      co_await runtime::sleep_for(settings_.retry_pause);
      continue;
    }
    const bool holds =
        read->records.size() == 1 && read->records.front().revision == term_.revision;
    if (!holds) {
      co_return Settled::kDeposed;
    }
    ports::RecordRange first{std::string(kResultTable), std::string(kJobPartition), key,
                             ports::key_after(key)};
    const core::Result<ports::RecordPage> result =
        co_await store_.read(std::move(first), settings_.attempt_timeout);
    if (!result) {
      co_await runtime::sleep_for(settings_.retry_pause);
      continue;
    }
    const std::vector<ports::RecordWrite> ours = encode_result(
        job, batch.positions.front(), batch.results.front().result, store_.limits().record_bytes);
    const bool is_ours =
        result->records.size() == 1 && result->records.front().value == ours.front().value;
    co_return is_ours ? Settled::kCommitted : Settled::kDeposed;
  }
  co_return Settled::kStopped;
}

void ResultLister::finish(const Batch& batch) {
  commits_.Increment();
  results_.Increment(static_cast<double>(batch.results.size()));
  for (std::size_t index = 0; index < batch.results.size(); ++index) {
    const PendingResult& listed = batch.results[index];
    listed.job->listed = batch.positions[index] + 1;
    listed.job->items[listed.item].state = ItemState::kListed;
    listener_.on_listed(listed, batch.positions[index]);
  }
}

}  // namespace stoneport::jobs
