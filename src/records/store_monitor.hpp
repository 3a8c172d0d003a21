/// \file
/// Reports in the log and the metrics when the store stops answering this process and when it
/// answers again. Used from the thread of its executor only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <optional>

#include "core/metrics.hpp"
#include "ports/record_store.hpp"

namespace stoneport::records {

class StoreMonitor {
 public:
  /// All arguments must outlive the monitor, which lives as long as the process.
  StoreMonitor(boost::asio::any_io_executor executor, const ports::RecordStore& store,
               const core::TimeSource& time, core::Metrics& metrics);
  void start();

 private:
  boost::asio::awaitable<void> run();
  void check(core::MonotonicTime now);

  boost::asio::any_io_executor executor_;
  const ports::RecordStore& store_;
  const core::TimeSource& time_;
  std::optional<core::MonotonicTime> lost_since_;
  prometheus::Gauge& silence_seconds_;
  prometheus::Counter& losses_;
};

}  // namespace stoneport::records
