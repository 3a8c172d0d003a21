/// \file
/// Cluster-wide work that one process, the holder of the coordinator's term, does besides the jobs.
/// Used from the coordinator's thread only.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "jobs/open_job.hpp"
#include "jobs/term_keeper.hpp"

namespace stoneport::jobs {

/// The term that a duty runs under.
struct TermContext {
  Term term;
  /// Whether this process may act on the term now: it was not paused, its last write was confirmed
  /// recently, and it is not handing over.
  std::function<bool()> is_sure;
  /// Returns the jobs that are being processed.
  std::function<std::vector<OpenJobPointer>()> open_jobs = {};
};

class TermDuty {
 public:
  virtual ~TermDuty() = default;
  virtual void start() = 0;
  /// Stops the duty; it sends nothing afterwards.
  virtual void stop() = 0;
};
using TermDutyPointer = std::shared_ptr<TermDuty>;
/// Creates the duties of one term.
using TermDutyFactory = std::function<std::vector<TermDutyPointer>(const TermContext&)>;

}  // namespace stoneport::jobs
