/// \file
/// Load of one process as shown to operators: capacity and avoided replicas by service and zone,
/// and the outcomes of requests.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "ingress/load_statistics.hpp"
#include "ingress/replica_directory.hpp"

namespace stoneport::node {

/// Replica to which this process sends no work as long as other replicas are available.
struct AvoidedReplica {
  core::ReplicaId replica;
  bool is_suspect = false;  ///< timed out or could not be reached
  bool is_ejected = false;  ///< failed too large a share of its calls
  core::Duration left{};    ///< time until it is neither suspect nor ejected
};

/// Load of the replicas of one service in one zone.
struct ZoneLoad {
  core::ZoneName zone;
  bool is_open = true;         ///< whether the zone is not evacuated
  std::uint32_t replicas = 0;  ///< number of replicas that accept work
  std::uint32_t places = 0;    ///< number of concurrent calls that these replicas accept
  std::uint32_t running = 0;   ///< calls and texts (generations of jobs) of this process there
  std::vector<AvoidedReplica> avoided;  ///< at most kMaxAvoidedListed
  std::uint32_t avoided_unnamed = 0;    ///< number of further avoided replicas
};

/// Maximum number of avoided replicas listed by name: operators inspect a few at most, for the
/// rest the count suffices.
inline constexpr std::size_t kMaxAvoidedListed = 16;

struct ServiceLoad {
  core::ServiceName service;
  ingress::LoadEntry requests;
  std::vector<ZoneLoad> zones;  ///< ordered by name
};

struct TenantLoad {
  core::TenantName tenant;  ///< empty for requests without a tenant
  ingress::LoadEntry requests;
};

struct LoadView {
  std::vector<ServiceLoad> services;  ///< services with replicas or requests, ordered by name
  ingress::LoadEntry other_services;  ///< sum over services without an entry of their own
  std::vector<TenantLoad> tenants;    ///< tenants with the most requests, ordered by name
  ingress::LoadEntry other_tenants;   ///< sum over tenants without an entry of their own
};

/// Builds the view. Iterates over all replicas, so call it per page view and not per request.
LoadView load_view(const ingress::ReplicaDirectory& directory,
                   const ingress::LoadStatistics& ledger, core::MonotonicTime now);

}  // namespace stoneport::node
