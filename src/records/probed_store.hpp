/// \file
/// Wraps a record store that may become silent or serve only other processes. While it does not
/// serve this one, a short read probes it repeatedly, and calls wait for the probe instead of being
/// sent: no call hangs on a connection from before the outage, so all resume within a few ms of the
/// store's return, and none has an unknown outcome. Used from the thread of its executor only.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "core/metrics.hpp"
#include "ports/record_store.hpp"

namespace stoneport::records {

struct ProbedStoreSettings {
  /// The store counts as lost when it has served nothing for this long. Feeds are answered within
  /// 0.8 s while it is healthy.
  core::Duration lost_after = std::chrono::milliseconds(1300);
  /// Quick probes detect a healthy store within about 200 ms of its return.
  core::Duration probe_interval = std::chrono::milliseconds(80);
  core::Duration probe_timeout = std::chrono::milliseconds(100);
  /// Concurrent patient probes detect a store that is back but slow.
  core::Duration patient_interval = std::chrono::milliseconds(400);
  core::Duration patient_timeout = std::chrono::milliseconds(900);
  /// Interval at which a waiting call checks whether the store is back.
  core::Duration wait_step = std::chrono::milliseconds(20);
};

class ProbedStore : public ports::RecordStore {
 public:
  /// \param store must outlive this; so must \p time and \p metrics
  /// \param probe a range that is cheap to read
  ProbedStore(boost::asio::any_io_executor executor, ports::RecordStore& store,
              ports::RecordRange probe, const core::TimeSource& time, core::Metrics& metrics,
              ProbedStoreSettings settings = {});
  /// Starts the probes, which run as long as the executor does.
  void start();
  bool is_lost() const;

  /// \return kUnavailable, without sending anything, if the store was lost for all of \p timeout.
  boost::asio::awaitable<core::Result<core::Revision>> commit(ports::RecordTransaction transaction,
                                                              core::Duration timeout) override;
  boost::asio::awaitable<core::Result<ports::RecordPage>> read(ports::RecordRange range,
                                                               core::Duration timeout) override;
  boost::asio::awaitable<core::Result<ports::RecordPage>> changes(std::string table,
                                                                  core::Revision after,
                                                                  core::Duration wait) override;
  std::optional<ports::StoreTime> now() const override { return store_.now(); }
  core::MonotonicTime last_answer() const override { return store_.last_answer(); }
  core::MonotonicTime last_served() const override { return store_.last_served(); }
  core::Revision newest() const override { return store_.newest(); }
  ports::RecordStoreLimits limits() const override { return store_.limits(); }

 private:
  boost::asio::awaitable<void> probe_loop(core::Duration interval, core::Duration timeout);
  /// \return whether the store serves this process, at once or within \p limit.
  boost::asio::awaitable<bool> serves_within(core::Duration limit);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  ports::RecordRange probe_;
  const core::TimeSource& time_;
  ProbedStoreSettings settings_;
  prometheus::Counter& probes_;
  prometheus::Counter& held_back_;
};

}  // namespace stoneport::records
