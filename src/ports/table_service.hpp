/// \file
/// Port to the platform's transactional table service. Implementations live on
/// the control thread. Every effect is conditional and carries a write id, so
/// that a lost answer can be resolved by reading back.
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
  core::Revision revision;   ///< store-wide, grows with every transaction
  core::WriteId written_by;  ///< the transaction that wrote this row
};

/// Holds when the row's revision is exactly this one; zero means "no such row".
struct RowCondition {
  RowKey key;
  core::Revision revision;
};

/// An empty value deletes the row.
struct RowWrite {
  RowKey key;
  std::optional<std::string> value;
};

/// All writes take effect, or none.
struct Transaction {
  core::WriteId write_id;
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// More urgent calls take the client's token budget first.
enum class TablePriority { kOwnership, kInteractive, kBackground };

class TableService {
 public:
  virtual ~TableService() = default;
  /// \return the row, or nothing when there is none; kUnavailable, kRateLimited
  /// or kDeadlineExceeded otherwise.
  virtual boost::asio::awaitable<core::Result<std::optional<Row>>> read(RowKey key,
                                                                        TablePriority priority) = 0;
  /// \return rows of one table whose key starts with \p prefix and whose
  /// revision is above \p after, in order of key.
  virtual boost::asio::awaitable<core::Result<std::vector<Row>>> scan(std::string table,
                                                                      std::string prefix,
                                                                      core::Revision after,
                                                                      TablePriority priority) = 0;
  /// Commits \p transaction at most once.
  /// \return the new revision; kConflict when a condition did not hold;
  /// kUnavailable or kRateLimited when it surely did not take effect;
  /// kOutcomeUnknown when the answer was lost and reading back did not settle it.
  virtual boost::asio::awaitable<core::Result<core::Revision>> commit(Transaction transaction,
                                                                      TablePriority priority) = 0;
};

}  // namespace stoneport::ports
