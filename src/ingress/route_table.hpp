/// \file
/// The active routes: which services may serve a host and path, how long a request may be held and
/// how many attempts it gets. An immutable snapshot.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"
#include "eligibility/cold_rate_limiter.hpp"
#include "eligibility/region_binding.hpp"
#include "scaling/spot_plan.hpp"
#include "tenants/tenant_table.hpp"

namespace stoneport::ingress {

enum class RouteKind {
  kRepeatable,  ///< a request may run more than once
  kOnce,        ///< a request runs at most once
  kStream,      ///< a token stream; runs at most once unless it can be resumed
  kRollout,     ///< accepts batch jobs
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
  bool is_public = false;  ///< requires no key
  bool resumable = false;
  bool single_version = false;        ///< a text must come from a single weight version
  core::Duration timeout{};           ///< maximum time for which a request is held
  core::Duration target_latency{};    ///< latency within which an answer earns full credit
  std::uint32_t max_attempts = 1;     ///< maximum number of replicas that one request is sent to
  std::uint32_t priority = 0;         ///< 0 is served first
  std::vector<RouteTarget> targets;   ///< never empty
  core::Duration run_deadline{};      ///< rollout: time within which all results are due
  core::Duration queue_limit{};       ///< rollout: time after which an item may be given up
  eligibility::Regions regions = {};  ///< regions where its requests may be served; empty for any
};

struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 32u << 20;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Scaling limits of the services whose replica count may be changed.
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
  /// \param host as in a Host header; the port and case are ignored
  /// \return the route of that host with the longest matching prefix of \p path, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  /// \return whether \p host has a public route of \p kind.
  bool has_public_route(std::string_view host, RouteKind kind) const;
  /// \return the service rank of a request of \p tenant on \p route, 0 first: the tenant's priority
  /// takes precedence over the route's.
  std::uint32_t rank_of(const Route& route, const core::TenantName& tenant) const;
  /// \return the longest time for which a request with a single answer may be held.
  core::Duration longest_request() const;
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

/// Holds the newest route table; older tables are rejected.
class RouteTableHolder {
 public:
  /// \return whether \p table is newer than the active one and has replaced it.
  bool offer(std::shared_ptr<const RouteTable> table);
  /// \return null before the first table.
  const std::shared_ptr<const RouteTable>& current() const { return current_; }

 private:
  std::shared_ptr<const RouteTable> current_;
};

}  // namespace stoneport::ingress
