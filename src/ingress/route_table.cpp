#include "ingress/route_table.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace stoneport::ingress {

std::string normalized_host(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](char character) {
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
  });
  return name;
}

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes, ClientLimits limits,
                       tenants::TenantTable tenants, ScalingByService scaling,
                       eligibility::ColdStarts cold_starts)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      tenants_(std::move(tenants)),
      scaling_(std::move(scaling)),
      cold_starts_(std::move(cold_starts)) {
  for (std::size_t index = 0; index < routes_.size(); ++index) {
    by_host_[routes_[index].host].push_back(index);
  }
  for (const Route& route : routes_) {
    for (const RouteTarget& target : route.targets) {
      const auto start = cold_starts_.find(target.service);
      if (start != cold_starts_.end()) {
        start->second.takes_clients |= route.kind != RouteKind::kRollout;
      }
    }
  }
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
      return routes_[left].path_prefix.size() > routes_[right].path_prefix.size();
    });
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto found = by_host_.find(normalized_host(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix)) {
      return &routes_[index];
    }
  }
  return nullptr;
}

bool RouteTable::has_public_route(std::string_view host, RouteKind kind) const {
  const auto found = by_host_.find(normalized_host(host));
  if (found == by_host_.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(), [&](std::size_t index) {
    return routes_[index].is_public && routes_[index].kind == kind;
  });
}

std::uint32_t RouteTable::rank_of(const Route& route, const core::TenantName& tenant) const {
  const tenants::Tenant* known = tenants_.find(tenant);
  return known != nullptr ? known->priority.value_or(route.priority) : route.priority;
}

core::Duration RouteTable::longest_request() const {
  core::Duration longest{};
  for (const Route& route : routes_) {
    const bool has_single_answer =
        route.kind == RouteKind::kRepeatable || route.kind == RouteKind::kOnce;
    if (has_single_answer) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

bool RouteTable::uses(const core::ServiceName& service) const {
  return std::any_of(routes_.begin(), routes_.end(), [&](const Route& route) {
    return std::any_of(route.targets.begin(), route.targets.end(),
                       [&](const RouteTarget& target) { return target.service == service; });
  });
}

bool RouteTableHolder::offer(std::shared_ptr<const RouteTable> table) {
  if (current_ && table->version() <= current_->version()) {
    return false;
  }
  current_ = std::move(table);
  return true;
}

}  // namespace stoneport::ingress
