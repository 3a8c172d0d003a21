/// \file
/// Separates the calls of two successive holders of a duty by the lease time. A holder announces
/// each call in the store before sending it, on the condition that its term still holds; the next
/// holder reads the announcements and sends nothing until no call of the previous one can still
/// arrive. Used from the coordinator's thread, for one term.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

#include "jobs/job_store.hpp"
#include "jobs/term_duty.hpp"

namespace stoneport::jobs {

struct DutyFenceSettings {
  /// No call is sent within this time of another holder's announcement: the lease time plus the
  /// time that an announced call may take to arrive.
  core::Duration pause = std::chrono::milliseconds(3700);
  /// Time for which an announcement covers calls sent after it.
  core::Duration announcement_validity = std::chrono::milliseconds(800);
};

class DutyFence {
 public:
  /// All arguments must outlive the fence.
  DutyFence(ports::RecordStore& store, JobStore& reader, TermContext context,
            const core::TimeSource& time, DutyFenceSettings settings);

  /// Reads the announcements of previous holders. \return whether the store answered.
  boost::asio::awaitable<bool> learn();
  /// \return the write that announces a call for \p subject; it belongs in a transaction that is
  /// conditional on the term.
  ports::RecordWrite announcement(const std::string& subject) const;
  /// Records that a transaction with that write, sent at \p sent_at, was confirmed.
  void on_announced(const std::string& subject, core::MonotonicTime sent_at);
  /// Whether calls for \p subject may be announced, because those of a previous holder have
  /// expired.
  bool is_open(const std::string& subject) const;
  /// Whether a call for \p subject may be sent now.
  bool may_call(const std::string& subject) const;
  /// \return a transaction that is conditional on the term and has no writes yet.
  ports::RecordTransaction transaction() const;
  const TermContext& context() const { return context_; }

 private:
  ports::RecordStore& store_;
  JobStore& reader_;
  TermContext context_;
  const core::TimeSource& time_;
  DutyFenceSettings settings_;
  bool announcements_loaded_ = false;
  std::map<std::string, core::MonotonicTime> blocked_until_;  ///< by subject
  std::map<std::string, core::MonotonicTime> announced_at_;
};

}  // namespace stoneport::jobs
