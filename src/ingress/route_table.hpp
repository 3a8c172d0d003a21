/// \file
/// The routes in force: which services may serve a host and path, how long a
/// request may be held and how often it may be tried. An immutable snapshot.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "eligibility/cold_pace.hpp"
#include "eligibility/region_binding.hpp"
#include "scaling/spot_plan.hpp"
#include "tenants/tenant_table.hpp"

namespace stoneport::ingress {

enum class RouteKind {
  kRepeatable,  ///< a request may run more than once
  kOnce,        ///< a request runs at most once
  kStream,      ///< a token stream; runs at most once unless it may be resumed
  kRollout,     ///< takes batch jobs
};

struct RouteTarget {
  core::ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;         ///< in lower case, without a port
  std::string path_prefix;  ///< starts and ends with a slash
  RouteKind kind = RouteKind::kOnce;
  bool is_public = false;  ///< needs no key
  bool resumable = false;
  bool single_version = false;        ///< one weight version makes a whole text
  core::Duration timeout{};           ///< longest time a request is held
  core::Duration target_latency{};    ///< within which an answer earns its full credit
  std::uint32_t most_attempts = 1;    ///< replicas that one request may be sent to
  std::uint32_t priority = 0;         ///< 0 is served first
  std::vector<RouteTarget> targets;   ///< never empty
  core::Duration run_deadline{};      ///< rollout: all results are due after that
  core::Duration queue_limit{};       ///< rollout: an item may be given up after that
  eligibility::Regions regions = {};  ///< where its requests may be served; empty: anywhere
};

struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 32u << 20;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Services whose number of replicas may be ordered.
using ScalingByService = std::map<core::ServiceName, scaling::ScalingLimits>;

class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(std::uint64_t version, std::vector<Route> routes, ClientLimits limits,
             tenants::TenantTable tenants = {}, ScalingByService scaling = {},
             eligibility::ColdStarts cold_starts = {});

  std::uint64_t version() const { return version_; }
  const ClientLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const tenants::TenantTable& tenants() const { return tenants_; }
  const ScalingByService& scaling() const { return scaling_; }
  const eligibility::ColdStarts& cold_starts() const { return cold_starts_; }
  /// \param host as in a Host field; its port and case do not matter
  /// \return the route of that host with the longest prefix of \p path, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  /// \return whether \p host has a public route of \p kind.
  bool has_public_route(std::string_view host, RouteKind kind) const;
  /// \return when a request of \p tenant on \p route is served, 0 first: the tenant's priority goes
  /// before the route's.
  std::uint32_t rank_of(const Route& route, const core::TenantName& tenant) const;
  /// \return whether any route may send requests to \p service.
  bool uses(const core::ServiceName& service) const;

 private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  ClientLimits limits_;
  tenants::TenantTable tenants_;
  ScalingByService scaling_;
  eligibility::ColdStarts cold_starts_;
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;  ///< longest prefix first
};

/// \return \p host in lower case and without its port.
std::string normalized_host(std::string_view host);

/// Takes in route tables and hands out the newest; never goes back.
class RouteTableHolder {
 public:
  /// \return whether \p table is newer than the one in force, and so is in force now.
  bool offer(std::shared_ptr<const RouteTable> table);
  /// \return null before the first one.
  const std::shared_ptr<const RouteTable>& current() const { return current_; }

 private:
  std::shared_ptr<const RouteTable> current_;
};

}  // namespace stoneport::ingress
