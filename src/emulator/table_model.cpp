#include "emulator/table_model.hpp"

namespace stoneport::emulator {

core::Result<std::uint64_t> TableModel::commit(const TableTransaction& transaction) {
  const auto committed = committed_.find(transaction.write_id);
  if (committed != committed_.end()) {
    ++repeated_commits_;
    return committed->second;
  }
  for (const TableCondition& condition : transaction.conditions) {
    const TableRow* row = find(condition.table, condition.key);
    const std::uint64_t actual = row == nullptr ? 0 : row->revision;
    if (actual != condition.revision) {
      return core::make_error(
          core::ErrorCode::kConflict,
          condition.table + "/" + condition.key + " is at revision " + std::to_string(actual));
    }
  }
  ++revision_;
  for (const TableWrite& write : transaction.writes) {
    Rows& rows = tables_[write.table];
    if (write.value) {
      rows[write.key] = {*write.value, revision_, transaction.write_id};
    } else {
      rows.erase(write.key);
    }
  }
  committed_[transaction.write_id] = revision_;
  return revision_;
}

const TableRow* TableModel::find(const std::string& table, const std::string& key) const {
  const Rows& known = rows(table);
  const auto found = known.find(key);
  return found == known.end() ? nullptr : &found->second;
}

const TableModel::Rows& TableModel::rows(const std::string& table) const {
  static const Rows none;
  const auto found = tables_.find(table);
  return found == tables_.end() ? none : found->second;
}

}  // namespace stoneport::emulator
