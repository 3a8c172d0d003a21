/// \file
/// HTTP client of the weight store (docs/EMULATOR.md).
#pragma once

#include "ports/http_endpoint.hpp"
#include "ports/weight_store.hpp"

namespace stoneport::ports {

class HttpWeightStore : public WeightStore {
 public:
  explicit HttpWeightStore(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}

  boost::asio::awaitable<core::Result<WeightStoreStatus>> status(core::PolicyName policy) override;
  boost::asio::awaitable<core::Result<void>> publish(WeightSet set) override;

 private:
  HttpEndpoint endpoint_;
};

}  // namespace stoneport::ports
