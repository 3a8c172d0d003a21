/// \file
/// Durable jobs in the record store, as seen by every process: accept, end and read. A call
/// succeeds only after the store has confirmed it. Used from one thread only.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>

#include "core/adaptive_timeout.hpp"
#include "core/metrics.hpp"
#include "jobs/job.hpp"
#include "jobs/job_records.hpp"
#include "ports/record_store.hpp"

namespace stoneport::jobs {

struct JobStoreSettings {
  core::AdaptiveTimeoutSettings attempt{.longest = std::chrono::milliseconds(900)};
  core::Duration retry_pause = std::chrono::milliseconds(80);
  /// Maximum time that one call keeps trying to get an answer from the store.
  core::Duration call_timeout = std::chrono::milliseconds(2500);
  /// Replaces call_timeout once the store has not served this process for lost_after: the store may
  /// still serve another process, and the client should try that one. Long enough to notice that
  /// the store is back.
  core::Duration call_timeout_when_lost = std::chrono::milliseconds(200);
  core::Duration lost_after = std::chrono::milliseconds(1500);
};

struct JobPage {
  std::uint64_t total = 0;
  std::vector<JobResult> results;  ///< from the requested position on
};

class JobStore {
 public:
  /// \param store and \p time must outlive this
  JobStore(ports::RecordStore& store, const core::TimeSource& time, core::Metrics& metrics,
           JobStoreSettings settings = {});

  /// Stores a job. Success means that the job is durable, by this call or by an earlier one with
  /// the same id.
  /// \return kUnavailable if this call has not stored it and never will; kOutcomeUnknown if it may
  /// have.
  boost::asio::awaitable<core::Result<void>> accept(JobSubmission submission,
                                                    std::uint32_t item_count);
  /// Ends a job. Here and below, a job of another tenant than \p caller counts as unknown.
  /// \return kNotFound for an unknown job; kUnavailable if the outcome is uncertain.
  boost::asio::awaitable<core::Result<void>> end(core::TenantName caller, std::string job);
  /// Waits up to \p wait for a result at \p position.
  /// \return kNotFound for an unknown job; kUnavailable if the store gives no reliable answer.
  boost::asio::awaitable<core::Result<JobPage>> read(core::TenantName caller, std::string job,
                                                     std::uint64_t position, core::Duration wait);
  /// \return the submission as it was received; errors as for read().
  boost::asio::awaitable<core::Result<JobSubmission>> submission_for(core::TenantName caller,
                                                                     std::string job);
  /// Like submission_for(), for internal callers that process the jobs of all tenants.
  boost::asio::awaitable<core::Result<JobSubmission>> submission(std::string job);
  /// Reads all of a range or its first page. Never returns a state older than one already seen.
  /// \return kUnavailable if the store does not answer.
  boost::asio::awaitable<core::Result<std::vector<ports::Record>>> read_range(
      ports::RecordRange range, bool first_page_only);

 private:
  boost::asio::awaitable<core::Result<JobIndexEntry>> find(std::string job);
  boost::asio::awaitable<core::Result<JobIndexEntry>> find_for(core::TenantName caller,
                                                               std::string job);
  /// \return success if the existing job with the submission's id belongs to the same tenant.
  boost::asio::awaitable<core::Result<void>> confirm_earlier(const JobSubmission& submission);
  bool store_is_lost() const;
  /// \return whether the store serves this process, now or within call_timeout_when_lost.
  boost::asio::awaitable<bool> store_serves() const;
  ports::RecordTransaction submission_transaction(const std::string& job) const;
  boost::asio::awaitable<core::Result<void>> write_ahead(const std::string& job,
                                                         std::vector<ports::RecordWrite>& chunks);
  boost::asio::awaitable<core::Result<void>> commit_once(ports::RecordTransaction transaction);
  void remember(const std::string& job, const JobIndexEntry& entry);

  ports::RecordStore& store_;
  const core::TimeSource& time_;
  JobStoreSettings settings_;
  core::AdaptiveTimeout write_timeout_;
  core::AdaptiveTimeout read_timeout_;
  std::map<std::string, JobIndexEntry> known_;  ///< jobs that are known to exist
  std::list<std::string> known_order_;          ///< oldest first
  std::list<JobSubmission> bodies_;             ///< most recently read submissions
  prometheus::Counter& accepted_;
  prometheus::Counter& unclear_;
  prometheus::Counter& stale_reads_;
};

}  // namespace stoneport::jobs
