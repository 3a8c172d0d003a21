#include "daemon/store_epoch_source.hpp"

#include <nlohmann/json.hpp>

#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

constexpr int kMostTries = 8;
const ports::RowKey kEpochRow{"epochs", "steps"};

core::Result<core::Epoch> parse_epoch(const std::string& text) {
  const nlohmann::json value = core::parse_json(text).value_or(nlohmann::json());
  if (!value.is_object() || !value.contains("epoch") || !value["epoch"].is_number_unsigned()) {
    return core::make_error(core::ErrorCode::kProtocol, "the epoch row is not readable");
  }
  return core::Epoch(value["epoch"].get<std::uint64_t>());
}

}  // namespace

StoreEpochSource::StoreEpochSource(asio::any_io_executor control, ports::TableService& table,
                                   const core::NodeId& node, core::Incarnation incarnation)
    : control_(std::move(control)), table_(table), write_ids_("epoch", node, incarnation) {}

asio::awaitable<core::Result<core::Epoch>> StoreEpochSource::acquire() {
  return runtime::run_on(control_, acquire_here());
}

asio::awaitable<core::Result<core::Epoch>> StoreEpochSource::acquire_here() {
  core::Result<core::Epoch> taken = core::Epoch();
  for (int attempt = 0; attempt < kMostTries; ++attempt) {
    taken = co_await take_next();
    if (taken || taken.error().code != core::ErrorCode::kConflict) {
      break;
    }
  }
  co_return taken;
}

asio::awaitable<core::Result<core::Epoch>> StoreEpochSource::take_next() {
  const auto row = co_await table_.read(kEpochRow, ports::TablePriority::kOwnership);
  if (!row) {
    co_return row.error();
  }
  core::Epoch last;
  core::Revision revision;
  if (row->has_value()) {
    const core::Result<core::Epoch> parsed = parse_epoch((*row)->value);
    if (!parsed) {
      co_return parsed.error();
    }
    last = *parsed;
    revision = (*row)->revision;
  }
  const core::Epoch next = last.next();
  ports::Transaction transaction;
  transaction.write_id = write_ids_.next();
  transaction.conditions.push_back({kEpochRow, revision});
  transaction.writes.push_back({kEpochRow, core::write_json({{"epoch", next.value()}})});
  const auto committed =
      co_await table_.commit(std::move(transaction), ports::TablePriority::kOwnership);
  if (!committed) {
    co_return committed.error();
  }
  co_return next;
}

}  // namespace stoneport::daemon
