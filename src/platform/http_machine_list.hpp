/// \file
/// The HTTP client of the machine list (docs/EMULATOR.md).
#pragma once

#include "platform/http_endpoint.hpp"
#include "platform/machine_list.hpp"

namespace stoneport::platform {

class HttpMachineList : public MachineList {
 public:
  explicit HttpMachineList(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<std::vector<Machine>>> list() override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::platform
