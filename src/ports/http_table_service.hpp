/// \file
/// HTTP client of the table service (docs/EMULATOR.md). Each call sends one request and is not
/// retried; GuardedTableService adds retries.
#pragma once

#include "ports/http_endpoint.hpp"
#include "ports/table_service.hpp"

namespace stoneport::ports {

class HttpTableService : public TableService {
 public:
  explicit HttpTableService(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<std::optional<Row>>> read(RowKey key,
                                                                TablePriority priority) override;
  boost::asio::awaitable<core::Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                                              core::Revision after,
                                                              TablePriority priority) override;
  /// Returns kOutcomeUnknown also if a success response cannot be parsed.
  boost::asio::awaitable<core::Result<core::Revision>> commit(Transaction transaction,
                                                              TablePriority priority) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
