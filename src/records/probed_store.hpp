/// \file
/// A record store in front of another one that may fall silent or serve other processes
/// only. While it serves this one nothing, a short read asks again and again, and calls
/// wait for that in place of being sent: none of them hangs on a connection of before, so
/// all go on within a few ms of the store's return, and none of them has an unclear end.
/// Belongs to the thread of its executor.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "core/metrics.hpp"
#include "ports/record_store.hpp"

namespace stoneport::records {

struct ProbedStoreSettings {
  /// The store counts as lost when it has served nothing for this long. Feeds are answered
  /// within 0.8 s while it is well.
  core::Duration lost_after = std::chrono::milliseconds(1300);
  /// Quick probes see a store that is well within some 200 ms of its return.
  core::Duration probe_interval = std::chrono::milliseconds(80);
  core::Duration probe_timeout = std::chrono::milliseconds(100);
  /// Patient ones, beside them, see one that is back but slow.
  core::Duration patient_interval = std::chrono::milliseconds(400);
  core::Duration patient_timeout = std::chrono::milliseconds(900);
  /// How often a call that waits looks whether the store is back.
  core::Duration wait_step = std::chrono::milliseconds(20);
};

class ProbedStore : public ports::RecordStore {
 public:
  /// \param store outlives this; so do \p time and \p metrics
  /// \param probe a range that is cheap to read
  ProbedStore(boost::asio::any_io_executor executor, ports::RecordStore& store,
              ports::RecordRange probe, const core::TimeSource& time, core::Metrics& metrics,
              ProbedStoreSettings settings = {});
  /// Begins to probe; the probing lives as long as the executor runs.
  void start();
  bool is_lost() const;

  /// \return kUnavailable, never sent, when the store was lost for all of \p timeout.
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
  /// \return whether the store serves, at once or within \p limit.
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
