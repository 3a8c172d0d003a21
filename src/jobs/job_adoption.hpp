/// \file
/// Reads a job from the store as a coordinator needs it: the submission, what is
/// listed, and the texts begun by an earlier coordinator.
#pragma once

#include "jobs/job_store.hpp"
#include "jobs/open_job.hpp"

namespace stoneport::jobs {

/// \param is_fresh accepted in the present term: nothing else can be there yet
/// \return the job, its items queued or listed; kInvalidArgument when its body is
/// no job, kUnavailable when the store does not answer.
boost::asio::awaitable<core::Result<OpenJobPointer>> adopt_job(JobStore& store,
                                                               const JobParser& parser,
                                                               std::string job, JobIndexEntry entry,
                                                               bool is_fresh);

}  // namespace stoneport::jobs
