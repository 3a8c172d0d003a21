/// \file
/// Keeps the texts in the making in the store, so that another coordinator goes on
/// from them. Belongs to the coordinator's thread, for one term.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/metrics.hpp"
#include "jobs/open_job.hpp"
#include "jobs/term_keeper.hpp"
#include "ports/record_store.hpp"

namespace stoneport::jobs {

struct CheckpointSettings {
  core::Duration interval = std::chrono::milliseconds(300);
  core::Duration attempt_timeout = std::chrono::milliseconds(900);
  double usable_share = 0.6;  ///< of the largest transaction
};

class CheckpointWriter : public std::enable_shared_from_this<CheckpointWriter> {
 public:
  using Jobs = std::function<std::vector<OpenJobPointer>()>;

  CheckpointWriter(boost::asio::any_io_executor executor, ports::RecordStore& store, Term term,
                   Jobs jobs, core::Metrics& metrics, CheckpointSettings settings = {});
  void start();
  void stop() { stopped_ = true; }
  /// Writes all that the store does not hold yet.
  boost::asio::awaitable<void> write();

 private:
  /// Events of one text that a transaction carries.
  struct Written {
    OpenJobPointer job;
    std::size_t item = 0;
    std::uint32_t lineage = 0;
    std::uint64_t up_to = 0;
  };
  static boost::asio::awaitable<void> run(std::shared_ptr<CheckpointWriter> self);
  ports::RecordTransaction collect(std::vector<Written>& written) const;

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  Term term_;
  Jobs jobs_;
  CheckpointSettings settings_;
  bool stopped_ = false;
  prometheus::Counter& events_;
  prometheus::Counter& failures_;
};

}  // namespace stoneport::jobs
