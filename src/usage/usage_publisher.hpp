/// \file
/// Writes what this process has counted into the store, so that a report lacks no more of a
/// killed process than what it counted since its last write. Belongs to the thread of its
/// executor.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "core/metrics.hpp"
#include "ports/record_store.hpp"
#include "usage/usage_records.hpp"

namespace stoneport::usage {

struct UsagePublisherSettings {
  std::string process;  ///< unique to this life of this process
  /// Between two writes; a killed process loses what it counted within this time.
  core::Duration shortest_interval = std::chrono::milliseconds(200);
  /// All processes together write at most so often a second: a third of what the store takes
  /// for one partition on the users' deployments (300).
  double writes_per_second = 100;
  core::Duration write_timeout = std::chrono::milliseconds(900);
  core::Duration tick = std::chrono::milliseconds(50);
  /// Windows are kept for this long after their end.
  core::Duration retention = std::chrono::seconds(25);
};

class UsagePublisher {
 public:
  struct Inputs {
    boost::asio::any_io_executor executor;
    ports::RecordStore& store;
    UsageCounter& counter;
    WindowClock& clock;
    std::function<bool()> is_wanted;             ///< whether the configuration has tenants
    std::function<std::size_t()> process_count;  ///< that are known to run
    const core::TimeSource& time;
    core::Metrics& metrics;
  };
  /// All inputs outlive the publisher, which lives as long as the executor runs.
  UsagePublisher(Inputs inputs, UsagePublisherSettings settings);
  void start();
  /// Writes what is not written yet, within \p limit.
  boost::asio::awaitable<void> flush(core::Duration limit);

 private:
  boost::asio::awaitable<void> run();
  bool has_news();
  core::Duration interval() const;
  /// \return whether the store has what was counted when this was called.
  boost::asio::awaitable<bool> write();
  /// Learns the revision of the own record, which a write without an answer may have changed.
  boost::asio::awaitable<void> learn_revision();

  Inputs inputs_;
  UsagePublisherSettings settings_;
  core::Revision revision_;  ///< of the own record; a condition of each write
  std::uint64_t written_version_ = 0;
  WindowIndex written_through_ = 0;
  bool is_writing_ = false;
  prometheus::Counter& writes_;
  prometheus::Counter& failed_writes_;
};

}  // namespace stoneport::usage
