/// \file
/// Port to the platform's store of partitioned records: conditional transactions
/// within one partition, ordered reads and a feed of changes. One client belongs
/// to one thread.
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

/// Time on the store's steady clock, which every process of the system shares.
using StoreTime = std::chrono::milliseconds;

struct Record {
  std::string table;
  std::string partition;
  std::string key;
  std::string value;        ///< arbitrary bytes
  core::Revision revision;  ///< store-wide, grows with every transaction
  bool removed = false;     ///< only in a feed of changes
};

/// Holds when the record's revision is exactly this one; zero means "no such record".
struct RecordCondition {
  std::string table;
  std::string key;
  core::Revision revision;
};

/// No value removes the record.
struct RecordWrite {
  std::string table;
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect, or none; every record lies in \p partition.
struct RecordTransaction {
  std::string partition;
  std::vector<RecordCondition> conditions;
  std::vector<RecordWrite> writes;
};

/// Records of one partition with first_key <= key < end_key; empty means unbounded.
struct RecordRange {
  std::string table;
  std::string partition;
  std::string first_key = {};
  std::string end_key = {};
  std::size_t most_rows = 0;  ///< of one page; zero for as many as the store gives
};

/// \return the first key behind \p key. Keys hold no blank and no control sign.
inline std::string key_after(std::string key) {
  key += ' ';
  return key;
}

struct RecordPage {
  std::vector<Record> records;  ///< in order of key, or of revision in a feed
  bool more = false;            ///< the range, or the feed, holds further records
  core::Revision revision;      ///< the store's newest revision at the time of the answer
  std::optional<StoreTime> answered_at = std::nullopt;  ///< by the store's clock, if it said so
};

struct RecordStoreLimits {
  std::size_t record_bytes = 65536;
  std::size_t transaction_entries = 100;
  std::size_t transaction_bytes = 1'000'000;
  double reads_per_second = 0;  ///< of all processes together; zero where there is no limit
};

class RecordStore {
 public:
  virtual ~RecordStore() = default;
  /// \return the new revision; kConflict when a condition did not hold;
  /// kUnavailable or kRateLimited when it surely did not take effect;
  /// kOutcomeUnknown when it may have, or may still do so seconds later.
  virtual boost::asio::awaitable<core::Result<core::Revision>> commit(RecordTransaction transaction,
                                                                      core::Duration timeout) = 0;
  /// \return the records as of one moment, possibly fewer than the range holds.
  virtual boost::asio::awaitable<core::Result<RecordPage>> read(RecordRange range,
                                                                core::Duration timeout) = 0;
  /// Waits up to \p wait for changes of \p table after revision \p after.
  /// \return kNotFound when the store no longer has that history.
  virtual boost::asio::awaitable<core::Result<RecordPage>> changes(std::string table,
                                                                   core::Revision after,
                                                                   core::Duration wait) = 0;
  /// \return the store's time now, by its last answer; nothing before the first.
  virtual std::optional<StoreTime> now() const = 0;
  /// \return when the store last answered any call; the client's start before that.
  virtual core::MonotonicTime last_answer() const = 0;
  /// \return when the store last served any call; an answer that refuses one to this process
  /// serves nothing. The client's start before that.
  virtual core::MonotonicTime last_served() const = 0;
  /// \return the newest revision that any answer has named.
  virtual core::Revision newest() const = 0;
  virtual RecordStoreLimits limits() const = 0;
};

}  // namespace stoneport::ports
