/// \file
/// Keeps the calls of two holders of a duty apart by the lease time. A holder announces each
/// call in the store before it sends it, on the condition that its term holds; a later holder
/// reads the announcements and keeps quiet until a call of the former one can arrive no more.
/// Belongs to the coordinator's thread, for one term.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

#include "jobs/job_store.hpp"
#include "jobs/term_duty.hpp"

namespace stoneport::jobs {

struct DutyFenceSettings {
  /// No call within this time of another holder's announcement: the lease time and the time
  /// that an announced call may take to arrive.
  core::Duration pause = std::chrono::milliseconds(3700);
  /// An announcement covers calls that are sent within this time of it.
  core::Duration announcement_validity = std::chrono::milliseconds(800);
};

class DutyFence {
 public:
  /// All outlive the fence.
  DutyFence(ports::RecordStore& store, JobStore& reader, TermContext context,
            const core::TimeSource& time, DutyFenceSettings settings);

  /// Reads what former holders have announced. \return whether the store told it.
  boost::asio::awaitable<bool> learn();
  /// \return the write that announces a call for \p subject, to go into a transaction that is
  /// conditional on the term.
  ports::RecordWrite announcement(const std::string& subject) const;
  /// A transaction with that write, sent then, has been confirmed.
  void on_announced(const std::string& subject, core::MonotonicTime sent_at);
  /// Whether calls for \p subject may be announced: those of a former holder are over.
  bool is_open(const std::string& subject) const;
  /// Whether a call for \p subject may be sent now.
  bool may_call(const std::string& subject) const;
  /// \return a transaction under the term, without writes.
  ports::RecordTransaction transaction() const;
  const TermContext& context() const { return context_; }

 private:
  ports::RecordStore& store_;
  JobStore& reader_;
  TermContext context_;
  const core::TimeSource& time_;
  DutyFenceSettings settings_;
  bool learned_ = false;
  std::map<std::string, core::MonotonicTime> quiet_until_;  ///< by subject
  std::map<std::string, core::MonotonicTime> announced_at_;
};

}  // namespace stoneport::jobs
