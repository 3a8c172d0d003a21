/// \file
/// Removes the records of jobs after their retention period. Used from the coordinator's thread,
/// for one term.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.hpp"
#include "jobs/job_store.hpp"
#include "jobs/term_keeper.hpp"

namespace stoneport::jobs {

/// A job whose records may be removed.
struct ExpiredJob {
  std::string id;
  core::Revision index_revision;  ///< of its index record; a condition of the removal
  bool has_end = false;           ///< whether the index also holds its end
};

/// \return finished jobs that were accepted longer than \p retention ago.
/// \param is_finished whether a job gets no further results
std::vector<ExpiredJob> expired_jobs(const std::vector<ports::Record>& index, ports::StoreTime now,
                                     core::Duration retention,
                                     const std::function<bool(const std::string&)>& is_finished);

class RecordSweeper {
 public:
  /// All arguments must outlive the sweeper.
  RecordSweeper(ports::RecordStore& store, JobStore& jobs, Term term, core::Metrics& metrics);
  /// Removes all records of \p job, its index record last, so that an interrupted sweep is started
  /// again. \return whether everything was removed.
  boost::asio::awaitable<bool> sweep(ExpiredJob job);

 private:
  boost::asio::awaitable<bool> remove_all(std::string_view table, std::string_view partition,
                                          std::string job, ports::RecordCondition condition);
  boost::asio::awaitable<bool> commit(ports::RecordTransaction transaction);

  ports::RecordStore& store_;
  JobStore& jobs_;
  Term term_;
  prometheus::Counter& removed_;
};

}  // namespace stoneport::jobs
