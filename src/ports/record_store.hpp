/// \file
/// Port to the platform's store of partitioned records: conditional transactions within one
/// partition, ordered reads and a change feed. Clients are not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ports {

/// Time of the store's monotonic clock, which is common to all processes.
using StoreTime = std::chrono::milliseconds;

struct Record {
  std::string table;
  std::string partition;
  std::string key;
  std::string value;        ///< arbitrary bytes
  core::Revision revision;  ///< store-wide, incremented by every transaction
  bool removed = false;     ///< set only in change feeds
};

/// Condition that the record has exactly this revision; zero means that it does not exist.
struct RecordCondition {
  std::string table;
  std::string key;
  core::Revision revision;
};

/// Write of a record; nullopt removes it.
struct RecordWrite {
  std::string table;
  std::string key;
  std::optional<std::string> value;
};

/// Atomic set of conditional writes; all records are in one partition.
struct RecordTransaction {
  std::string partition;
  std::vector<RecordCondition> conditions;
  std::vector<RecordWrite> writes;
};

/// Range of records of one partition with first_key <= key < end_key; an empty key means no bound.
struct RecordRange {
  std::string table;
  std::string partition;
  std::string first_key = {};
  std::string end_key = {};
  std::size_t most_rows = 0;  ///< maximum rows per page; zero for the limit of the store
};

/// \return the smallest key greater than \p key, given that keys contain no spaces or control
/// characters.
inline std::string key_after(std::string key) {
  key += ' ';
  return key;
}

struct RecordPage {
  std::vector<Record> records;  ///< ordered by key, in a change feed by revision
  bool more = false;            ///< whether further records follow
  core::Revision revision;      ///< the store's newest revision at the time of the answer
  std::optional<StoreTime> answered_at = std::nullopt;  ///< the store's clock, if reported
};

struct RecordStoreLimits {
  std::size_t record_bytes = 65536;
  std::size_t transaction_entries = 100;
  std::size_t transaction_bytes = 1'000'000;
  double reads_per_second = 0;  ///< total of all processes; zero for no limit
};

class RecordStore {
 public:
  virtual ~RecordStore() = default;
  /// \return the new revision; kConflict if a condition was not met; kUnavailable or kRateLimited
  /// if the transaction certainly had no effect; kOutcomeUnknown if it may have taken effect or may
  /// still do so seconds later.
  virtual boost::asio::awaitable<core::Result<core::Revision>> commit(RecordTransaction transaction,
                                                                      core::Duration timeout) = 0;
  /// \return a consistent snapshot of the first records of the range, possibly not all of them.
  virtual boost::asio::awaitable<core::Result<RecordPage>> read(RecordRange range,
                                                                core::Duration timeout) = 0;
  /// Waits up to \p wait for changes of \p table after revision \p after.
  /// \return the changes, possibly none; kNotFound if the store no longer has that history.
  virtual boost::asio::awaitable<core::Result<RecordPage>> changes(std::string table,
                                                                   core::Revision after,
                                                                   core::Duration wait) = 0;
  /// \return the current store time, extrapolated from the last answer; nullopt before the first.
  virtual std::optional<StoreTime> now() const = 0;
  /// \return the time of the store's last answer to any call; initially the client's start time.
  virtual core::MonotonicTime last_answer() const = 0;
  /// \return the time of the last call that the store served, not counting calls that it refused;
  /// initially the client's start time.
  virtual core::MonotonicTime last_served() const = 0;
  /// \return the newest revision contained in any answer.
  virtual core::Revision newest() const = 0;
  virtual RecordStoreLimits limits() const = 0;
};

}  // namespace stoneport::ports
