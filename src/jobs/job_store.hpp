/// \file
/// Durable jobs on the record store, as every process sees them: accept, end,
/// read. Nothing is answered before the store holds it. Belongs to one thread.
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
  /// Longest time that one call works on an answer of the store.
  core::Duration call_timeout = std::chrono::milliseconds(2500);
  /// The same once the store has served this process nothing for lost_after: it may serve
  /// another process, which the client had better ask. Time enough to see it return.
  core::Duration call_timeout_when_lost = std::chrono::milliseconds(200);
  core::Duration lost_after = std::chrono::milliseconds(1500);
};

struct JobPage {
  std::uint64_t total = 0;
  std::vector<JobResult> results;  ///< from the position asked for
};

class JobStore {
 public:
  /// \param store and \p time outlive this
  JobStore(ports::RecordStore& store, const core::TimeSource& time, core::Metrics& metrics,
           JobStoreSettings settings = {});

  /// Success means that the job is durable, now or by an earlier call with its id.
  /// \return kUnavailable when it surely is not and never will be by this call;
  /// kOutcomeUnknown when it may be.
  boost::asio::awaitable<core::Result<void>> accept(JobSubmission submission,
                                                    std::uint32_t item_count);
  /// The job of another tenant than \p caller is unknown, here and below.
  /// \return kNotFound for an unknown job; kUnavailable when nothing is certain.
  boost::asio::awaitable<core::Result<void>> end(core::TenantName caller, std::string job);
  /// Waits up to \p wait for a result at \p position.
  /// \return kNotFound for an unknown job; kUnavailable when nothing is certain.
  boost::asio::awaitable<core::Result<JobPage>> read(core::TenantName caller, std::string job,
                                                     std::uint64_t position, core::Duration wait);
  /// \return the submission as it came; errors as for read().
  boost::asio::awaitable<core::Result<JobSubmission>> submission_for(core::TenantName caller,
                                                                     std::string job);
  /// The same for whoever works on all tenants' jobs.
  boost::asio::awaitable<core::Result<JobSubmission>> submission(std::string job);
  /// Reads a range, whole or its first page; never an answer that is older than
  /// what is known. \return kUnavailable when the store does not answer.
  boost::asio::awaitable<core::Result<std::vector<ports::Record>>> read_range(
      ports::RecordRange range, bool first_page_only);

 private:
  boost::asio::awaitable<core::Result<JobIndexEntry>> find(std::string job);
  boost::asio::awaitable<core::Result<JobIndexEntry>> find_for(core::TenantName caller,
                                                               std::string job);
  /// \return success when the job that has the submission's id is the same tenant's.
  boost::asio::awaitable<core::Result<void>> confirm_earlier(const JobSubmission& submission);
  bool store_is_lost() const;
  /// \return whether the store serves this process, at once or within call_timeout_when_lost.
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
  std::map<std::string, JobIndexEntry> known_;  ///< jobs that surely exist
  std::list<std::string> known_order_;          ///< oldest first
  std::list<JobSubmission> bodies_;             ///< the last few that were read
  prometheus::Counter& accepted_;
  prometheus::Counter& unclear_;
  prometheus::Counter& stale_reads_;
};

}  // namespace stoneport::jobs
