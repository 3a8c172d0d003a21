/// \file
/// Port to the weight store. Engines read weights from it directly; stoneport only queries the
/// available versions and the read bandwidth, to plan prefetches.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <vector>

#include "core/error.hpp"
#include "core/identifiers.hpp"

namespace stoneport::ports {

struct WeightSet {
  core::PolicyName policy;
  core::WeightVersion version;
  std::uint64_t size_bytes = 0;
};

struct WeightStoreStatus {
  std::vector<WeightSet> sets;
  std::uint64_t bytes_per_second = 0;  ///< bandwidth limit of all readers together
};

class WeightStore {
 public:
  virtual ~WeightStore() = default;
  virtual boost::asio::awaitable<core::Result<WeightStoreStatus>> status(
      core::PolicyName policy) = 0;
  /// Registers a published version, as a trainer does after uploading.
  virtual boost::asio::awaitable<core::Result<void>> publish(WeightSet set) = 0;
};

}  // namespace stoneport::ports
