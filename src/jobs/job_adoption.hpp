/// \file
/// Loads a job from the store for a coordinator: the submission, the listed results, and the
/// checkpoints of texts that a previous coordinator started.
#pragma once

#include "jobs/job_store.hpp"
#include "jobs/open_job.hpp"

namespace stoneport::jobs {

/// \param is_fresh whether the job was accepted in the present term, so that no results or
/// checkpoints can exist yet
/// \return the job with its items queued or listed; kInvalidArgument if its body is not a valid
/// job, kUnavailable if the store does not answer.
boost::asio::awaitable<core::Result<OpenJobPointer>> adopt_job(JobStore& store,
                                                               const JobParser& parser,
                                                               std::string job, JobIndexEntry entry,
                                                               bool is_fresh);

}  // namespace stoneport::jobs
