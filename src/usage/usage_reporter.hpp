/// \file
/// Reports each window's usage to the platform while this process holds the term. A window's
/// counts are frozen in the store under the term before they are first sent, so that any later
/// holder that sends them again sends identical counts. Runs on the coordinator's thread for one
/// term.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "core/metrics.hpp"
#include "jobs/duty_fence.hpp"
#include "usage/freeze_decision.hpp"

namespace stoneport::usage {

struct UsageReporterSettings {
  std::string holder;  ///< name of this machine on the platform
  FreezeSettings freeze;
  jobs::DutyFenceSettings fence;
  /// A report accepted later than this after its window's end counts as late.
  core::Duration due_after = std::chrono::seconds(10);
  /// Time after a window's end at which its report is no longer sent.
  core::Duration give_up_after = std::chrono::seconds(40);
  core::Duration call_timeout = std::chrono::milliseconds(700);
  core::Duration write_timeout = std::chrono::milliseconds(900);
  core::Duration tick = std::chrono::milliseconds(200);
  /// Time for which frozen windows and the counts of ended processes are kept.
  core::Duration retention = std::chrono::seconds(300);
};

/// Freezes windows and sends their reports.
class UsageReporter : public jobs::TermDuty, public std::enable_shared_from_this<UsageReporter> {
 public:
  struct Inputs {
    boost::asio::any_io_executor executor;
    ports::RecordStore& store;
    jobs::JobStore& reader;
    ports::DutyClient& platform;
    WindowClock& clock;
    std::function<bool()> is_wanted;                      ///< whether the configuration has tenants
    std::function<std::vector<std::string>()> processes;  ///< holder names of running processes
    const core::TimeSource& time;
    core::Metrics& metrics;
  };
  /// The inputs must outlive the reporter.
  UsageReporter(Inputs inputs, jobs::TermContext context, UsageReporterSettings settings);
  void start() override;
  void stop() override { stopped_ = true; }

 private:
  struct Meters;
  static boost::asio::awaitable<void> run(std::shared_ptr<UsageReporter> self);
  /// Reads the announcements and frozen windows of former holders.
  boost::asio::awaitable<bool> load_state();
  boost::asio::awaitable<bool> read_counts();
  /// Freezes the next window if it is due. \return whether it was frozen.
  boost::asio::awaitable<bool> freeze_next();
  boost::asio::awaitable<bool> freeze(WindowIndex window, const FreezeDecision& decision);
  boost::asio::awaitable<void> send_frozen();
  boost::asio::awaitable<bool> announce();
  boost::asio::awaitable<void> send(WindowIndex window);
  boost::asio::awaitable<void> record_end_state(WindowIndex window, ReportState state);
  boost::asio::awaitable<void> remove_old();
  WindowIndex first_window();

  Inputs inputs_;
  UsageReporterSettings settings_;
  jobs::DutyFence fence_;
  std::unique_ptr<Meters> meters_;
  std::map<WindowIndex, FrozenWindow> frozen_;
  CountsByProcess processes_;
  std::vector<ports::Record> process_records_;
  std::optional<WindowIndex> next_;  ///< next window to freeze
  core::MonotonicTime next_removal_{};
  bool stopped_ = false;

 public:
  ~UsageReporter() override;
};

}  // namespace stoneport::usage
