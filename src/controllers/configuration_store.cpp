#include "controllers/configuration_store.hpp"

#include <fmt/format.h>

#include "core/json_text.hpp"

namespace stoneport::controllers {
namespace {

namespace asio = boost::asio;
using config::DocumentKey;
using config::DocumentRecord;
using ports::RowKey;

const std::string kTable = "configuration";
const std::string kDocumentPrefix = "documents/";

RowKey head_key() {
  return RowKey{kTable, "head"};
}

RowKey document_key(const DocumentKey& key) {
  return RowKey{kTable, kDocumentPrefix + to_string(key)};
}

std::string history_prefix(const DocumentKey& key) {
  return "history/" + to_string(key) + "/";
}

/// Zero-padded so that keys sort by revision.
RowKey history_key(const DocumentKey& key, core::Revision revision) {
  return RowKey{kTable, fmt::format("{}{:012}", history_prefix(key), revision.value())};
}

core::Error bad_row(const std::string& key) {
  return core::make_error(core::ErrorCode::kProtocol, "the stored row '" + key + "' is malformed");
}

core::Result<DocumentRecord> parse_record(const ports::Row& row) {
  const std::optional<nlohmann::json> value = core::parse_json(row.value);
  if (!value) {
    return bad_row(row.key.key);
  }
  core::Result<DocumentRecord> record = config::document_record_from_json(*value);
  if (record.has_error()) {
    return bad_row(row.key.key);
  }
  return record;
}

core::Result<ConfigurationHead> parse_head(const ports::Row& row) {
  const nlohmann::json value = core::parse_json(row.value).value_or(nlohmann::json());
  const bool shaped = value.is_object() && value.contains("revision") && value.contains("hash") &&
                      value["revision"].is_number_unsigned() && value["hash"].is_string();
  const auto hash = shaped ? config::parse_hash(value["hash"].get<std::string>()) : std::nullopt;
  if (!hash) {
    return bad_row(row.key.key);
  }
  return ConfigurationHead{core::Revision(value["revision"].get<std::uint64_t>()), *hash,
                           row.revision};
}

std::string head_value(const config::ConfigurationRecord& record) {
  const nlohmann::json value = {{"revision", record.revision.value()},
                                {"hash", config::format_hash(config::hash_of(record))}};
  return value.dump();
}

ports::Transaction transaction_for(const config::PublishCommit& commit,
                                   const ConfigurationHead& head, core::Revision document_row) {
  const DocumentRecord& document = commit.record.documents.at(commit.key);
  const std::string document_value = to_json_value(document).dump();
  ports::Transaction transaction;
  transaction.conditions.push_back({head_key(), head.row});
  transaction.conditions.push_back({document_key(commit.key), document_row});
  transaction.writes.push_back({document_key(commit.key), document_value});
  transaction.writes.push_back({history_key(commit.key, commit.record.revision), document_value});
  transaction.writes.push_back({head_key(), head_value(commit.record)});
  return transaction;
}

}  // namespace

asio::awaitable<core::Result<ConfigurationHead>> ConfigurationStore::read_head(
    ports::TablePriority priority) {
  core::Result<std::optional<ports::Row>> row = co_await table_.read(head_key(), priority);
  if (row.has_error()) {
    co_return row.error();
  }
  if (!*row) {
    co_return ConfigurationHead{};
  }
  co_return parse_head(**row);
}

asio::awaitable<core::Result<std::map<DocumentKey, DocumentRecord>>>
ConfigurationStore::read_documents(core::Revision after, ports::TablePriority priority) {
  core::Result<std::vector<ports::Row>> rows =
      co_await table_.scan(kTable, kDocumentPrefix, after, priority);
  if (rows.has_error()) {
    co_return rows.error();
  }
  std::map<DocumentKey, DocumentRecord> documents;
  for (const ports::Row& row : *rows) {
    const auto key = config::parse_document_key(row.key.key.substr(kDocumentPrefix.size()));
    core::Result<DocumentRecord> record = parse_record(row);
    if (!key || record.has_error()) {
      co_return bad_row(row.key.key);
    }
    documents.emplace(*key, std::move(*record));
  }
  co_return documents;
}

asio::awaitable<core::Result<ConfigurationHead>> ConfigurationStore::commit(
    config::PublishCommit commit, ConfigurationHead head) {
  const auto priority = ports::TablePriority::kInteractive;
  core::Result<std::optional<ports::Row>> row =
      co_await table_.read(document_key(commit.key), priority);
  if (row.has_error()) {
    co_return core::make_error(core::ErrorCode::kUnavailable, row.error().message);
  }
  const core::Revision document_row = *row ? (*row)->revision : core::Revision();
  if (document_row > head.row) {
    co_return core::make_error(core::ErrorCode::kConflict, "the document was changed concurrently");
  }
  ports::Transaction transaction = transaction_for(commit, head, document_row);
  transaction.write_id = core::WriteId(fmt::format("{}/{}", write_prefix_, ++writes_));
  core::Result<core::Revision> committed = co_await table_.commit(std::move(transaction), priority);
  if (committed.has_error()) {
    co_return committed.error();
  }
  co_return ConfigurationHead{commit.record.revision, config::hash_of(commit.record), *committed};
}

asio::awaitable<core::Result<std::vector<DocumentRecord>>> ConfigurationStore::history(
    DocumentKey key) {
  core::Result<std::vector<ports::Row>> rows = co_await table_.scan(
      kTable, history_prefix(key), core::Revision(), ports::TablePriority::kInteractive);
  if (rows.has_error()) {
    co_return rows.error();
  }
  std::vector<DocumentRecord> records;
  for (const ports::Row& row : *rows) {
    core::Result<DocumentRecord> record = parse_record(row);
    if (record.has_error()) {
      co_return record.error();
    }
    records.push_back(std::move(*record));
  }
  co_return records;
}

asio::awaitable<core::Result<DocumentRecord>> ConfigurationStore::published_at(
    DocumentKey key, core::Revision revision) {
  core::Result<std::optional<ports::Row>> row =
      co_await table_.read(history_key(key, revision), ports::TablePriority::kInteractive);
  if (row.has_error()) {
    co_return row.error();
  }
  if (!*row) {
    co_return core::make_error(
        core::ErrorCode::kNotFound,
        fmt::format("{} was not published at revision {}", to_string(key), revision.value()));
  }
  co_return parse_record(**row);
}

}  // namespace stoneport::controllers
