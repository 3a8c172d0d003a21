/// \file
/// Port to the platform's interface for tasks that only the coordinator performs: usage reports and
/// replica orders. Clients are not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ports {

/// Identity of the calling coordinator. A later term has a higher fencing token.
struct DutyHolder {
  std::string name;
  core::Epoch fence;
};

/// Number of requests that started to run, by tenant.
using TenantCounts = std::map<core::TenantName, std::uint64_t>;

struct UsageReport {
  std::uint64_t window = 0;  ///< its start in window lengths since the Unix epoch
  TenantCounts counts;
};

/// Desired number of replicas of one kind (spot or on-demand) of a service in a zone.
struct ReplicaOrder {
  core::ServiceName service;
  core::ZoneName zone;
  std::uint32_t count = 0;
  bool spot = false;  ///< cheaper replicas that the platform may reclaim
};

class DutyClient {
 public:
  virtual ~DutyClient() = default;
  /// \return kRateLimited or kUnavailable if the report was certainly not accepted; kOutcomeUnknown
  /// if it may have been; kInvalidArgument if it can never be accepted.
  virtual boost::asio::awaitable<core::Result<void>> report_usage(DutyHolder holder,
                                                                  UsageReport report,
                                                                  core::Duration timeout) = 0;
  /// \return kConflict if the zone currently has no capacity; otherwise as report_usage().
  virtual boost::asio::awaitable<core::Result<void>> order_replicas(DutyHolder holder,
                                                                    ReplicaOrder order,
                                                                    core::Duration timeout) = 0;
};

}  // namespace stoneport::ports
