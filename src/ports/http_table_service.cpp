#include "ports/http_table_service.hpp"

#include "ports/json_fields.hpp"

namespace stoneport::ports {
namespace {
using nlohmann::json;

std::string rows_target(const std::string& table) {
  return "/v1/tables/" + http::percent_encode(table) + "/rows";
}

Row decode_row(const std::string& table, const JsonFields& fields) {
  Row row;
  row.key = RowKey{table, fields.text("key")};
  row.value = fields.text("value");
  row.revision = core::Revision(fields.unsigned64("revision"));
  row.written_by = core::WriteId(fields.text("written_by"));
  return row;
}

core::Result<Row> parse_row(const RowKey& key, const std::string& body) {
  return decode_json(body, [&key](const JsonFields& fields) {
    Row row = decode_row(key.table, fields);
    if (row.key != key) {
      fields.reject("key", "row differs from the requested one");
    }
    return row;
  });
}

core::Result<std::vector<Row>> parse_rows(const std::string& table, const std::string& body) {
  return decode_json(body, [&table](const JsonFields& fields) {
    std::vector<Row> rows;
    for (const JsonFields& element : fields.objects("rows")) {
      rows.push_back(decode_row(table, element));
    }
    return rows;
  });
}

json encode_condition(const RowCondition& condition) {
  return {{"table", condition.key.table},
          {"key", condition.key.key},
          {"revision", condition.revision.value()}};
}

json encode_write(const RowWrite& write) {
  json value = nullptr;
  if (write.value) {
    value = *write.value;
  }
  return {{"table", write.key.table}, {"key", write.key.key}, {"value", std::move(value)}};
}

core::Result<std::string> encode_transaction(const Transaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back(encode_condition(condition));
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    writes.push_back(encode_write(write));
  }
  return encode_json({{"write_id", transaction.write_id.value()},
                      {"conditions", std::move(conditions)},
                      {"writes", std::move(writes)}});
}

core::Result<core::Revision> parse_revision(const std::string& body) {
  auto revision = decode_json(
      body, [](const JsonFields& fields) { return core::Revision(fields.unsigned64("revision")); });
  if (!revision) {
    return core::make_error(core::ErrorCode::kOutcomeUnknown,
                            "the answer to a commit cannot be parsed: " + revision.error().message);
  }
  return revision;
}

}  // namespace

boost::asio::awaitable<core::Result<std::optional<Row>>> HttpTableService::read(RowKey key,
                                                                                TablePriority) {
  std::string target = rows_target(key.table) + "/" + http::percent_encode(key.key);
  auto body = co_await endpoint_.get(std::move(target));
  if (!body) {
    if (body.error().code == core::ErrorCode::kNotFound) {
      co_return std::optional<Row>();
    }
    co_return body.error();
  }
  auto row = parse_row(key, *body);
  if (!row) {
    co_return row.error();
  }
  co_return std::optional<Row>(std::move(*row));
}

boost::asio::awaitable<core::Result<std::vector<Row>>> HttpTableService::scan(std::string table,
                                                                              std::string prefix,
                                                                              core::Revision after,
                                                                              TablePriority) {
  std::string target = rows_target(table) + "?prefix=" + http::percent_encode(prefix) +
                       "&after=" + std::to_string(after.value());
  auto body = co_await endpoint_.get(std::move(target));
  if (!body) {
    co_return body.error();
  }
  co_return parse_rows(table, *body);
}

boost::asio::awaitable<core::Result<core::Revision>> HttpTableService::commit(
    Transaction transaction, TablePriority) {
  auto encoded = encode_transaction(transaction);
  if (!encoded) {
    co_return encoded.error();
  }
  auto body = co_await endpoint_.post("/v1/transactions", std::move(*encoded), CallKind::kEffect);
  if (!body) {
    co_return body.error();
  }
  co_return parse_revision(*body);
}

}  // namespace stoneport::ports
