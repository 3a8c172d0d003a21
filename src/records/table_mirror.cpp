#include "records/table_mirror.hpp"

namespace stoneport::records {

struct TableMirror::Copy {
  Records records;
  Listener listener;

  void take(RowChanges changes) {
    for (ports::Record& record : changes.written) {
      std::string key = record.key;
      records[std::move(key)] = std::move(record);
    }
    for (const std::string& key : changes.removed) {
      records.erase(key);
    }
    if (!changes.more) {
      listener(records);
    }
  }
};

TableMirror::TableMirror(boost::asio::any_io_executor executor, ports::RecordStore& store,
                         std::string table, std::string partition, Listener listener,
                         TableFollowerOptions options)
    : copy_(std::make_shared<Copy>(Copy{{}, std::move(listener)})),
      follower_(
          std::move(executor), store, std::move(table), std::move(partition),
          [copy = copy_](RowChanges changes) { copy->take(std::move(changes)); }, options) {}

TableMirror::~TableMirror() = default;

const TableMirror::Records& TableMirror::records() const {
  return copy_->records;
}

}  // namespace stoneport::records
