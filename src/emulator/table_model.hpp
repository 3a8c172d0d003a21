/// \file
/// Rows, revisions and write ids of the table service. Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/error.hpp"

namespace stoneport::emulator {

struct TableRow {
  std::string value;
  std::uint64_t revision = 0;
  std::string written_by;
};

struct TableCondition {
  std::string table;
  std::string key;
  std::uint64_t revision = 0;  ///< zero: no such row
};

struct TableWrite {
  std::string table;
  std::string key;
  std::optional<std::string> value;  ///< nothing deletes the row
};

struct TableTransaction {
  std::string write_id;
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

template <class Visitor>
void visit_fields(Visitor& visitor, TableCondition& condition) {
  visitor("table", condition.table);
  visitor("key", condition.key);
  visitor("revision", condition.revision);
}
template <class Visitor>
void visit_fields(Visitor& visitor, TableWrite& write) {
  visitor("table", write.table);
  visitor("key", write.key);
  visitor("value", write.value);
}
template <class Visitor>
void visit_fields(Visitor& visitor, TableTransaction& transaction) {
  visitor("write_id", transaction.write_id);
  visitor("conditions", transaction.conditions);
  visitor("writes", transaction.writes);
}

class TableModel {
 public:
  using Rows = std::map<std::string, TableRow>;  ///< by key

  /// All writes take effect, or none.
  /// \return the transaction's revision, the first one for a write id that
  /// committed before; kConflict when a condition does not hold.
  core::Result<std::uint64_t> commit(const TableTransaction& transaction);
  /// \return the row, or null.
  const TableRow* find(const std::string& table, const std::string& key) const;
  /// \return the table's rows; empty for an unknown table.
  const Rows& rows(const std::string& table) const;
  std::uint64_t revision() const { return revision_; }
  /// \return transactions whose write id had committed before.
  std::uint64_t repeated_commits() const { return repeated_commits_; }

 private:
  std::map<std::string, Rows> tables_;
  std::unordered_map<std::string, std::uint64_t> committed_;  ///< by write id
  std::uint64_t revision_ = 0;
  std::uint64_t repeated_commits_ = 0;
};

}  // namespace stoneport::emulator
