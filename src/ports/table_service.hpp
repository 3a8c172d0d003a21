/// \file
/// Port to the platform's transactional table service. Use implementations on the control thread
/// only. Every transaction is conditional and has a write id, so that the outcome can be determined
/// after a lost answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::ports {

struct RowKey {
  std::string table;
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;         ///< JSON text
  core::Revision revision;   ///< store-wide, incremented by every transaction
  core::WriteId written_by;  ///< write id of the last transaction that wrote the row
};

/// Condition that the row has exactly this revision; zero means that it does not exist.
struct RowCondition {
  RowKey key;
  core::Revision revision;
};

/// Write of a row; nullopt deletes it.
struct RowWrite {
  RowKey key;
  std::optional<std::string> value;
};

/// Atomic set of conditional writes.
struct Transaction {
  core::WriteId write_id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// Priority in the client's token budget, most urgent first.
enum class TablePriority { kOwnership, kInteractive, kBackground };

class TableService {
 public:
  virtual ~TableService() = default;
  /// \return the row, or nullopt if it does not exist; kUnavailable, kRateLimited or
  /// kDeadlineExceeded on failure.
  virtual boost::asio::awaitable<core::Result<std::optional<Row>>> read(RowKey key,
                                                                        TablePriority priority) = 0;
  /// \return the rows of a table whose key starts with \p prefix and whose revision is above
  /// \p after, ordered by key.
  virtual boost::asio::awaitable<core::Result<std::vector<Row>>> scan(std::string table,
                                                                      std::string prefix,
                                                                      core::Revision after,
                                                                      TablePriority priority) = 0;
  /// Commits \p transaction at most once.
  /// \return the new revision; kConflict if a condition was not met; kUnavailable or kRateLimited
  /// if the transaction certainly had no effect; kOutcomeUnknown if the answer was lost and the
  /// outcome could not be determined.
  virtual boost::asio::awaitable<core::Result<core::Revision>> commit(Transaction transaction,
                                                                      TablePriority priority) = 0;
};

}  // namespace stoneport::ports
