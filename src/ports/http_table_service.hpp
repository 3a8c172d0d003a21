/// \file
/// The bare HTTP client of the table service (docs/EMULATOR.md): one call, one
/// request, no retry. GuardedTableService stands around it.
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
  /// kOutcomeUnknown also where a success could not be read.
  boost::asio::awaitable<core::Result<core::Revision>> commit(Transaction transaction,
                                                              TablePriority priority) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
