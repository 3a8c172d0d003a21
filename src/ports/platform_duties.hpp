/// \file
/// Port to the platform's interface for duties that one process does for all: reports of
/// usage and orders of replicas. A client belongs to one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::ports {

/// Who calls. Of two holders the later one has the higher fence.
struct DutyHolder {
  std::string name;
  core::Epoch fence;
};

/// Requests that began to run, by tenant.
using TenantCounts = std::map<core::TenantName, std::uint64_t>;

struct UsageReport {
  std::uint64_t window = 0;  ///< counted from the start of 1970, in lengths of a window
  TenantCounts counts;
};

/// How many replicas of one kind a service is to have in a zone.
struct ReplicaOrder {
  core::ServiceName service;
  core::ZoneName zone;
  std::uint32_t count = 0;
  bool spot = false;  ///< cheaper ones, which the platform may take away
};

class DutyClient {
 public:
  virtual ~DutyClient() = default;
  /// \return kRateLimited or kUnavailable when the report surely was not taken;
  /// kOutcomeUnknown when it may have been; kInvalidArgument when it never will be.
  virtual boost::asio::awaitable<core::Result<void>> report_usage(DutyHolder holder,
                                                                  UsageReport report,
                                                                  core::Duration timeout) = 0;
  /// \return kConflict where none are to be had there now; otherwise as report_usage().
  virtual boost::asio::awaitable<core::Result<void>> order_replicas(DutyHolder holder,
                                                                    ReplicaOrder order,
                                                                    core::Duration timeout) = 0;
};

}  // namespace stoneport::ports
