#include "jobs/record_sweeper.hpp"

#include "jobs/job_records.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr std::size_t kRemovalsAtOnce = 90;
constexpr core::Duration kTimeout = std::chrono::milliseconds(1000);
}  // namespace

std::vector<ExpiredJob> expired_jobs(const std::vector<ports::Record>& index, ports::StoreTime now,
                                     core::Duration retention,
                                     const std::function<bool(const std::string&)>& is_finished) {
  std::uint64_t malformed = 0;
  const std::map<std::string, JobIndexEntry> entries = decode_index(index, malformed);
  std::vector<ExpiredJob> expired;
  for (const ports::Record& record : index) {
    const auto entry = entries.find(record.key);
    if (entry == entries.end()) {
      continue;
    }
    const bool is_over = entry->second.ended || is_finished(record.key);
    const bool is_timed = entry->second.accepted_at != ports::StoreTime(0);
    if (is_over && is_timed && now - entry->second.accepted_at > retention) {
      expired.push_back({record.key, record.revision, entry->second.ended});
    }
  }
  return expired;
}

RecordSweeper::RecordSweeper(ports::RecordStore& store, JobStore& jobs, Term term,
                             core::Metrics& metrics)
    : store_(store),
      jobs_(jobs),
      term_(term),
      removed_(metrics.counter("stoneport_job_records_removed_total",
                               "Records removed after their job's retention period")) {}

asio::awaitable<bool> RecordSweeper::commit(ports::RecordTransaction transaction) {
  const double count = static_cast<double>(transaction.writes.size());
  const core::Result<core::Revision> committed =
      co_await store_.commit(std::move(transaction), kTimeout);
  if (committed) {
    removed_.Increment(count);
  }
  co_return committed.has_value();
}

asio::awaitable<bool> RecordSweeper::remove_all(std::string_view table, std::string_view partition,
                                                std::string job, ports::RecordCondition condition) {
  while (true) {
    ports::RecordRange range{std::string(table), std::string(partition), start_of_job(job),
                             end_of_job(job)};
    const core::Result<std::vector<ports::Record>> records =
        co_await jobs_.read_range(std::move(range), true);
    if (!records) {
      co_return false;
    }
    if (records->empty()) {
      co_return true;
    }
    ports::RecordTransaction removal;
    removal.partition = std::string(partition);
    removal.conditions.push_back(condition);
    for (const ports::Record& record : *records) {
      if (removal.writes.size() < kRemovalsAtOnce) {
        removal.writes.push_back({record.table, record.key, std::nullopt});
      }
    }
    const bool removed = co_await commit(std::move(removal));
    if (!removed) {
      co_return false;
    }
  }
}

asio::awaitable<bool> RecordSweeper::sweep(ExpiredJob job) {
  const ports::RecordCondition term{std::string(kTermTable), std::string(kTermKey), term_.revision};
  const ports::RecordCondition index{std::string(kIndexTable), job_key(job.id), job.index_revision};
  const bool results_gone = co_await remove_all(kResultTable, kTermPartition, job.id, term);
  if (!results_gone) {
    co_return false;
  }
  const bool texts_gone = co_await remove_all(kCheckpointTable, kTermPartition, job.id, term);
  if (!texts_gone) {
    co_return false;
  }
  const bool body_gone = co_await remove_all(kBodyTable, kSubmissionPartition, job.id, index);
  if (!body_gone) {
    co_return false;
  }
  ports::RecordTransaction mark;
  mark.partition = std::string(kTermPartition);
  mark.conditions.push_back(term);
  mark.writes.push_back({std::string(kWholeTable), job_key(job.id), std::nullopt});
  const bool mark_gone = co_await commit(std::move(mark));
  if (!mark_gone) {
    co_return false;
  }
  ports::RecordTransaction entry;
  entry.partition = std::string(kSubmissionPartition);
  entry.conditions.push_back(index);
  entry.writes.push_back({std::string(kIndexTable), job_key(job.id), std::nullopt});
  if (job.has_end) {
    entry.writes.push_back({std::string(kIndexTable), ended_key(job.id), std::nullopt});
  }
  const bool entry_gone = co_await commit(std::move(entry));
  co_return entry_gone;
}

}  // namespace stoneport::jobs
