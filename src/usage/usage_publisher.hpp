/// \file
/// Writes this process's counts to the store periodically, so that a killed process loses only
/// what it counted since its last write. Used on its executor's thread.
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
  std::string process;  ///< holder name of this run of the process; unique
  /// Minimum time between two writes; a killed process loses what it counted within this time.
  core::Duration shortest_interval = std::chrono::milliseconds(200);
  /// Maximum number of writes per second of all processes together: a third of what the store
  /// accepts for one partition in the target deployments (300).
  double writes_per_second = 100;
  core::Duration write_timeout = std::chrono::milliseconds(900);
  core::Duration tick = std::chrono::milliseconds(50);
  /// Time for which windows are kept after their end.
  core::Duration retention = std::chrono::seconds(25);
};

/// Writes the counts of a UsageCounter to the store.
class UsagePublisher {
 public:
  struct Inputs {
    boost::asio::any_io_executor executor;
    ports::RecordStore& store;
    UsageCounter& counter;
    WindowClock& clock;
    std::function<bool()> is_wanted;             ///< whether the configuration has tenants
    std::function<std::size_t()> process_count;  ///< number of processes known to be running
    const core::TimeSource& time;
    core::Metrics& metrics;
  };
  /// The inputs must outlive the publisher, which must live as long as the executor runs.
  UsagePublisher(Inputs inputs, UsagePublisherSettings settings);
  void start();
  /// Writes all counts that are not written yet, for at most \p limit.
  boost::asio::awaitable<void> flush(core::Duration limit);

 private:
  boost::asio::awaitable<void> run();
  bool has_unwritten_counts();
  core::Duration interval() const;
  /// \return whether the store has confirmed the counts as of the call.
  boost::asio::awaitable<bool> write();
  /// Reads the revision of this process's record, which an unconfirmed write may have changed.
  boost::asio::awaitable<void> reload_revision();

  Inputs inputs_;
  UsagePublisherSettings settings_;
  core::Revision revision_;  ///< of this process's record; a condition of each write
  std::uint64_t written_version_ = 0;
  WindowIndex written_through_ = 0;
  bool is_writing_ = false;
  prometheus::Counter& writes_;
  prometheus::Counter& failed_writes_;
};

}  // namespace stoneport::usage
