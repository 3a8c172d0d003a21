/// \file
/// An in-memory table service with fault switches, for unit tests. It answers at
/// once, on the caller's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "support/memory_tables.hpp"

namespace stoneport::support {

/// Each number is how many of the next calls have the fault; it counts down.
struct TableFaults {
  bool unavailable = false;  ///< every call is refused until switched off
  std::uint32_t refused_calls = 0;
  std::uint32_t rate_limited_calls = 0;
  std::uint32_t failed_reads = 0;
  std::uint32_t conflicting_commits = 0;
  std::uint32_t answers_lost_before_write = 0;  ///< the commit has no effect
  std::uint32_t answers_lost_after_write = 0;   ///< the commit has its effect
};

class FakeTableService : public ports::TableService {
 public:
  TableFaults faults;
  MemoryTables tables;
  std::uint32_t reads = 0;
  std::uint32_t scans = 0;
  std::uint32_t commits = 0;  ///< calls, whatever their end
  /// Runs before each commit takes effect; for a writer who comes first.
  std::function<void(const ports::Transaction&)> before_commit;

  boost::asio::awaitable<core::Result<std::optional<ports::Row>>> read(
      ports::RowKey key, ports::TablePriority) override {
    ++reads;
    const core::Result<void> admitted = admit_read();
    if (!admitted) {
      co_return admitted.error();
    }
    co_return tables.find(key);
  }

  boost::asio::awaitable<core::Result<std::vector<ports::Row>>> scan(
      std::string table, std::string prefix, core::Revision after, ports::TablePriority) override {
    ++scans;
    const core::Result<void> admitted = admit_read();
    if (!admitted) {
      co_return admitted.error();
    }
    co_return tables.scan(table, prefix, after);
  }

  boost::asio::awaitable<core::Result<core::Revision>> commit(ports::Transaction transaction,
                                                              ports::TablePriority) override {
    ++commits;
    const core::Result<void> admitted = admit();
    if (!admitted) {
      co_return admitted.error();
    }
    co_return commit_with_faults(transaction);
  }

  /// Writes one row past every condition and fault, as another client would.
  core::Revision put(ports::RowKey key, std::string value, std::string write_id) {
    ports::Transaction transaction;
    transaction.write_id = core::WriteId(std::move(write_id));
    transaction.writes.push_back({std::move(key), std::move(value)});
    return *tables.commit(transaction);
  }

 private:
  static bool take(std::uint32_t& left) {
    if (left == 0) {
      return false;
    }
    --left;
    return true;
  }

  core::Result<void> admit() {
    if (faults.unavailable || take(faults.refused_calls)) {
      return core::make_error(core::ErrorCode::kUnavailable, "refused");
    }
    if (take(faults.rate_limited_calls)) {
      return core::make_error(core::ErrorCode::kRateLimited, "too many calls",
                              std::chrono::milliseconds(1));
    }
    return {};
  }

  core::Result<void> admit_read() {
    if (take(faults.failed_reads)) {
      return core::make_error(core::ErrorCode::kUnavailable, "read failed");
    }
    return admit();
  }

  core::Result<core::Revision> commit_with_faults(const ports::Transaction& transaction) {
    const core::Error lost = core::make_error(core::ErrorCode::kOutcomeUnknown, "answer lost");
    if (take(faults.answers_lost_before_write)) {
      return lost;
    }
    if (before_commit) {
      before_commit(transaction);
    }
    if (take(faults.conflicting_commits)) {
      return core::make_error(core::ErrorCode::kConflict, "injected conflict");
    }
    auto committed = tables.commit(transaction);
    if (take(faults.answers_lost_after_write)) {
      return lost;
    }
    return committed;
  }
};

}  // namespace stoneport::support
