/// \file
/// What one process knows of the load, for operators: for each service and zone the places and
/// the replicas that get no work from here, and what became of the requests. Plain code.
#pragma once

#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "ingress/load_statistics.hpp"
#include "ingress/replica_directory.hpp"

namespace stoneport::node {

/// A replica that gets no work from this process while others can.
struct AvoidedReplica {
  core::ReplicaId replica;
  bool is_suspect = false;  ///< it was silent or could not be reached
  bool is_ejected = false;  ///< it failed too large a share of its calls
  core::Duration left{};    ///< until neither is so any more
};

/// The replicas of one service in one zone.
struct ZoneLoad {
  core::ZoneName zone;
  bool is_open = true;         ///< it is not evacuated
  std::uint32_t replicas = 0;  ///< that accept work
  std::uint32_t places = 0;    ///< calls that these take at once
  std::uint32_t running = 0;   ///< calls and texts of this process there
  std::vector<AvoidedReplica> avoided;
  std::uint32_t avoided_unnamed = 0;  ///< beyond kMostAvoidedNamed
};

/// An operator looks into a few replicas at most; beyond them the number says enough.
inline constexpr std::size_t kMostAvoidedNamed = 16;

struct ServiceLoad {
  core::ServiceName service;
  ingress::LoadEntry requests;
  std::vector<ZoneLoad> zones;  ///< in order of name
};

struct TenantLoad {
  core::TenantName tenant;  ///< empty for requests of nobody's
  ingress::LoadEntry requests;
};

struct LoadView {
  std::vector<ServiceLoad> services;  ///< with replicas or requests, in order of name
  ingress::LoadEntry other_services;  ///< without an entry of their own
  std::vector<TenantLoad> tenants;    ///< who ask most, in order of name
  ingress::LoadEntry other_tenants;   ///< without an entry of their own
};

/// Looks at all replicas: for a page that is asked for, not for each request.
LoadView load_view(const ingress::ReplicaDirectory& directory,
                   const ingress::LoadStatistics& ledger, core::MonotonicTime now);

}  // namespace stoneport::node
