#include "jobs/job_store.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kMostKnownJobs = 4096;
constexpr std::size_t kMostBodies = 4;
/// Usable fraction of the largest transaction; the rest is for keys, conditions and the encoding.
constexpr double kUsableShare = 0.7;
/// Entries of a transaction for the index record and its condition.
constexpr std::size_t kIndexEntries = 2;
constexpr core::Duration kPollInterval = std::chrono::milliseconds(150);
constexpr core::Duration kLostStoreCheck = std::chrono::milliseconds(20);

void note(core::AdaptiveTimeout& timeout, core::Duration latency, core::Duration allowed) {
  if (latency < allowed) {
    timeout.on_answer(latency);
  } else {
    timeout.on_timeout();
  }
}

core::Error store_lost() {
  return core::make_error(core::ErrorCode::kUnavailable, "the store does not serve this process");
}

}  // namespace

JobStore::JobStore(ports::RecordStore& store, const core::TimeSource& time, core::Metrics& metrics,
                   JobStoreSettings settings)
    : store_(store),
      time_(time),
      settings_(settings),
      write_timeout_(settings.attempt),
      read_timeout_(settings.attempt),
      accepted_(
          metrics.counter("stoneport_jobs_accepted_total", "Jobs made durable by this process")),
      unclear_(metrics.counter("stoneport_jobs_unclear_total",
                               "Job submissions whose outcome is unknown")),
      stale_reads_(metrics.counter("stoneport_job_stale_reads_total",
                                   "Stale answers of the store that were rejected")) {}

void JobStore::remember(const std::string& job, const JobIndexEntry& entry) {
  if (!known_.emplace(job, entry).second) {
    return;
  }
  known_order_.push_back(job);
  if (known_order_.size() > kMostKnownJobs) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
}

bool JobStore::store_is_lost() const {
  return time_.now() - store_.last_served() > settings_.lost_after;
}

asio::awaitable<bool> JobStore::store_serves() const {
  const core::MonotonicTime give_up_at = time_.now() + settings_.call_timeout_when_lost;
  while (store_is_lost() && time_.now() < give_up_at) {
    co_await runtime::sleep_for(kLostStoreCheck);
  }
  co_return !store_is_lost();
}

asio::awaitable<core::Result<void>> JobStore::commit_once(ports::RecordTransaction transaction) {
  const bool serves = co_await store_serves();
  if (!serves) {
    co_return store_lost();
  }
  const core::MonotonicTime give_up_at = time_.now() + settings_.call_timeout;
  bool may_take_effect = false;
  while (true) {
    ports::RecordTransaction copy = transaction;
    const core::Duration timeout = write_timeout_.current();
    const core::MonotonicTime sent_at = time_.now();
    const core::Result<core::Revision> committed = co_await store_.commit(std::move(copy), timeout);
    note(write_timeout_, time_.now() - sent_at, timeout);
    if (committed) {
      co_return core::Result<void>();
    }
    const core::ErrorCode code = committed.error().code;
    if (code == core::ErrorCode::kConflict || code == core::ErrorCode::kInvalidArgument) {
      co_return committed.error();
    }
    may_take_effect |= code == core::ErrorCode::kOutcomeUnknown;
    if (store_is_lost() || time_.now() + settings_.retry_pause >= give_up_at) {
      break;
    }
    co_await runtime::sleep_for(settings_.retry_pause);
  }
  const auto code =
      may_take_effect ? core::ErrorCode::kOutcomeUnknown : core::ErrorCode::kUnavailable;
  co_return core::make_error(code, "the store did not confirm the write");
}

ports::RecordTransaction JobStore::submission_transaction(const std::string& job) const {
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kSubmissionPartition);
  transaction.conditions.push_back({std::string(kIndexTable), job_key(job), core::Revision()});
  return transaction;
}

/// Writes all chunks except those that still fit beside the index record. They have no effect until
/// that record exists.
asio::awaitable<core::Result<void>> JobStore::write_ahead(const std::string& job,
                                                          std::vector<ports::RecordWrite>& chunks) {
  const ports::RecordStoreLimits limits = store_.limits();
  const auto usable_bytes =
      static_cast<std::size_t>(static_cast<double>(limits.transaction_bytes) * kUsableShare);
  const std::size_t most_chunks = std::clamp<std::size_t>(
      usable_bytes / limits.record_bytes, 1, limits.transaction_entries - kIndexEntries);
  while (chunks.size() > most_chunks) {
    ports::RecordTransaction transaction = submission_transaction(job);
    const auto end = chunks.begin() + static_cast<std::ptrdiff_t>(most_chunks);
    transaction.writes.assign(std::make_move_iterator(chunks.begin()),
                              std::make_move_iterator(end));
    chunks.erase(chunks.begin(), end);
    const core::Result<void> committed = co_await commit_once(std::move(transaction));
    if (!committed) {
      co_return committed.error();
    }
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<void>> JobStore::accept(JobSubmission submission,
                                                     std::uint32_t item_count) {
  const bool serves = co_await store_serves();
  if (!serves) {
    co_return store_lost();
  }
  const std::vector<std::string> chunks =
      split_value(submission.body, store_.limits().record_bytes);
  JobIndexEntry entry;
  entry.host = submission.host;
  entry.path = submission.path;
  entry.item_count = item_count;
  entry.body_chunks = static_cast<std::uint32_t>(chunks.size());
  entry.accepted_at = store_.now().value_or(ports::StoreTime(0));
  entry.tenant = submission.tenant;
  std::vector<ports::RecordWrite> writes;
  for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
    writes.push_back({std::string(kBodyTable), body_key(submission.id, chunk), chunks[chunk]});
  }
  core::Result<void> committed = co_await write_ahead(submission.id, writes);
  if (committed) {
    ports::RecordTransaction transaction = submission_transaction(submission.id);
    transaction.writes = std::move(writes);
    transaction.writes.push_back(
        {std::string(kIndexTable), job_key(submission.id), encode_index_entry(entry)});
    committed = co_await commit_once(std::move(transaction));
  } else if (committed.error().code == core::ErrorCode::kOutcomeUnknown) {
    // Without its index record the job does not exist.
    committed = core::make_error(core::ErrorCode::kUnavailable, committed.error().message);
  }
  // A conflict means that the job exists already: by an earlier call, or by an earlier attempt of
  // this one whose answer was lost.
  if (!committed && committed.error().code == core::ErrorCode::kConflict) {
    committed = co_await confirm_earlier(submission);
  }
  if (!committed) {
    if (committed.error().code == core::ErrorCode::kOutcomeUnknown) {
      unclear_.Increment();
    }
    co_return committed.error();
  }
  accepted_.Increment();
  co_return core::Result<void>();
}

asio::awaitable<core::Result<void>> JobStore::confirm_earlier(const JobSubmission& submission) {
  const core::Result<JobIndexEntry> entry = co_await find(submission.id);
  if (!entry) {
    // The job exists, so the error must not claim that it never will.
    co_return core::make_error(core::ErrorCode::kOutcomeUnknown, entry.error().message);
  }
  if (!can_access(*entry, submission.tenant)) {
    co_return core::make_error(core::ErrorCode::kInvalidArgument, "this id cannot be used");
  }
  co_return core::Result<void>();
}

asio::awaitable<core::Result<void>> JobStore::end(core::TenantName caller, std::string job) {
  const bool serves = co_await store_serves();
  if (!serves) {
    co_return store_lost();
  }
  const core::Result<JobIndexEntry> entry = co_await find_for(std::move(caller), job);
  if (!entry) {
    co_return entry.error();
  }
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kSubmissionPartition);
  transaction.conditions.push_back({std::string(kIndexTable), ended_key(job), core::Revision()});
  transaction.writes.push_back({std::string(kIndexTable), ended_key(job), "{}"});
  const core::Result<void> committed = co_await commit_once(std::move(transaction));
  if (committed || committed.error().code == core::ErrorCode::kConflict) {
    co_return core::Result<void>();
  }
  co_return core::make_error(core::ErrorCode::kUnavailable, committed.error().message);
}

asio::awaitable<core::Result<std::vector<ports::Record>>> JobStore::read_range(
    ports::RecordRange range, bool first_page_only) {
  const core::MonotonicTime give_up_at = time_.now() + settings_.call_timeout;
  std::vector<ports::Record> records;
  while (true) {
    const core::Revision known = store_.newest();
    const core::Duration timeout = read_timeout_.current();
    const core::MonotonicTime sent_at = time_.now();
    core::Result<ports::RecordPage> page = co_await store_.read(range, timeout);
    note(read_timeout_, time_.now() - sent_at, timeout);
    const bool is_stale = page && page->revision < known;
    if (page && !is_stale) {
      const bool more = page->more && !page->records.empty();
      if (more) {
        range.first_key = ports::key_after(page->records.back().key);
      }
      std::move(page->records.begin(), page->records.end(), std::back_inserter(records));
      if (!more || first_page_only) {
        co_return records;
      }
      continue;
    }
    if (is_stale) {
      stale_reads_.Increment();
    }
    co_await runtime::sleep_for(settings_.retry_pause);
    if (store_is_lost() || time_.now() >= give_up_at) {
      break;
    }
  }
  co_return core::make_error(core::ErrorCode::kUnavailable, "the store does not answer");
}

asio::awaitable<core::Result<JobIndexEntry>> JobStore::find(std::string job) {
  if (!is_valid_id(job)) {
    co_return core::make_error(core::ErrorCode::kNotFound, "no such job");
  }
  const auto known = known_.find(job);
  if (known != known_.end()) {
    co_return known->second;
  }
  ports::RecordRange range{std::string(kIndexTable), std::string(kSubmissionPartition),
                           job_key(job), ports::key_after(job_key(job))};
  core::Result<std::vector<ports::Record>> records = co_await read_range(std::move(range), true);
  if (!records) {
    co_return records.error();
  }
  std::uint64_t malformed = 0;
  const std::map<std::string, JobIndexEntry> found = decode_index(*records, malformed);
  if (found.empty()) {
    const auto code = malformed > 0 ? core::ErrorCode::kUnavailable : core::ErrorCode::kNotFound;
    co_return core::make_error(code, "no such job");
  }
  remember(job, found.begin()->second);
  co_return found.begin()->second;
}

asio::awaitable<core::Result<JobIndexEntry>> JobStore::find_for(core::TenantName caller,
                                                                std::string job) {
  core::Result<JobIndexEntry> entry = co_await find(std::move(job));
  if (entry && !can_access(*entry, caller)) {
    co_return core::make_error(core::ErrorCode::kNotFound, "no such job");
  }
  co_return entry;
}

asio::awaitable<core::Result<JobPage>> JobStore::read(core::TenantName caller, std::string job,
                                                      std::uint64_t position, core::Duration wait) {
  const bool serves = co_await store_serves();
  if (!serves) {
    co_return store_lost();
  }
  const core::MonotonicTime wait_until = time_.now() + wait;
  const core::Result<JobIndexEntry> entry = co_await find_for(std::move(caller), job);
  if (!entry) {
    co_return entry.error();
  }
  JobPage page;
  page.total = entry->item_count;
  while (true) {
    ports::RecordRange range{std::string(kResultTable), std::string(kTermPartition),
                             result_key(job, position, 0), end_of_job(job)};
    const core::Result<std::vector<ports::Record>> records =
        co_await read_range(std::move(range), true);
    if (!records) {
      co_return records.error();
    }
    page.results = decode_results(job, position, *records);
    const bool is_over = position >= page.total;
    if (!page.results.empty() || is_over || time_.now() + kPollInterval > wait_until) {
      co_return page;
    }
    co_await runtime::sleep_for(kPollInterval);
  }
}

asio::awaitable<core::Result<JobSubmission>> JobStore::submission_for(core::TenantName caller,
                                                                      std::string job) {
  const core::Result<JobIndexEntry> entry = co_await find_for(std::move(caller), job);
  if (!entry) {
    co_return entry.error();
  }
  co_return co_await submission(std::move(job));
}

asio::awaitable<core::Result<JobSubmission>> JobStore::submission(std::string job) {
  for (const JobSubmission& kept : bodies_) {
    if (kept.id == job) {
      co_return kept;
    }
  }
  const core::Result<JobIndexEntry> entry = co_await find(job);
  if (!entry) {
    co_return entry.error();
  }
  ports::RecordRange range{std::string(kBodyTable), std::string(kSubmissionPartition),
                           start_of_job(job), end_of_job(job)};
  const core::Result<std::vector<ports::Record>> records =
      co_await read_range(std::move(range), false);
  if (!records) {
    co_return records.error();
  }
  if (records->size() != entry->body_chunks) {
    co_return core::make_error(core::ErrorCode::kUnavailable, "the job's body is incomplete");
  }
  JobSubmission submission;
  submission.id = job;
  submission.host = entry->host;
  submission.path = entry->path;
  submission.tenant = entry->tenant;
  for (const ports::Record& record : *records) {
    submission.body += record.value;
  }
  bodies_.push_back(submission);
  if (bodies_.size() > kMostBodies) {
    bodies_.pop_front();
  }
  co_return submission;
}

}  // namespace stoneport::jobs
