/// \file
/// Work beside the jobs that one process does for all: whoever holds the coordinator's term.
/// Belongs to the coordinator's thread.
#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "jobs/open_job.hpp"
#include "jobs/term_keeper.hpp"

namespace stoneport::jobs {

/// The term that a duty works under.
struct TermContext {
  Term term;
  /// Whether this process may act on the term now: it is awake, its last write was confirmed
  /// lately, and it is not handing over.
  std::function<bool()> is_sure;
  /// The jobs that are worked on.
  std::function<std::vector<OpenJobPointer>()> open_jobs = {};
};

class TermDuty {
 public:
  virtual ~TermDuty() = default;
  virtual void start() = 0;
  /// Nothing is sent after that.
  virtual void stop() = 0;
};
using TermDutyPointer = std::shared_ptr<TermDuty>;
/// Makes the duties of one term.
using TermDutyFactory = std::function<std::vector<TermDutyPointer>(const TermContext&)>;

}  // namespace stoneport::jobs
