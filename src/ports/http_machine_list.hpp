/// \file
/// HTTP client of the machine list (docs/EMULATOR.md).
#pragma once

#include "ports/http_endpoint.hpp"
#include "ports/machine_list.hpp"

namespace stoneport::ports {

class HttpMachineList : public MachineList {
 public:
  explicit HttpMachineList(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<std::vector<Machine>>> list() override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
