/// \file
/// The semantics of the table service in memory, without faults or coroutines.
/// A committed write id answers its first revision again.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/error.hpp"
#include "ports/table_service.hpp"

namespace stoneport::support {

class MemoryTables {
 public:
  std::optional<ports::Row> find(const ports::RowKey& key) const {
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  std::vector<ports::Row> scan(const std::string& table, const std::string& prefix,
                               core::Revision after) const {
    std::vector<ports::Row> found;
    for (auto row = rows_.lower_bound({table, prefix}); row != rows_.end(); ++row) {
      if (row->first.table != table || row->first.key.rfind(prefix, 0) != 0) {
        break;
      }
      if (row->second.revision > after) {
        found.push_back(row->second);
      }
    }
    return found;
  }

  core::Result<core::Revision> commit(const ports::Transaction& transaction) {
    const auto known = committed_.find(transaction.write_id);
    if (known != committed_.end()) {
      return known->second;
    }
    for (const ports::RowCondition& condition : transaction.conditions) {
      if (revision_of(condition.key) != condition.revision) {
        return core::make_error(core::ErrorCode::kConflict, "another revision");
      }
    }
    revision_ = revision_.next();
    committed_[transaction.write_id] = revision_;
    for (const ports::RowWrite& write : transaction.writes) {
      apply(write, transaction.write_id);
    }
    return revision_;
  }

  core::Revision revision() const { return revision_; }

 private:
  core::Revision revision_of(const ports::RowKey& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? core::Revision() : found->second.revision;
  }

  void apply(const ports::RowWrite& write, const core::WriteId& write_id) {
    if (write.value) {
      rows_[write.key] = ports::Row{write.key, *write.value, revision_, write_id};
    } else {
      rows_.erase(write.key);
    }
  }

  std::map<ports::RowKey, ports::Row> rows_;
  std::map<core::WriteId, core::Revision> committed_;
  core::Revision revision_;
};

}  // namespace stoneport::support
