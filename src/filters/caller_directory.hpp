/// \file
/// One configuration, indexed for look-ups by request. Built on a traffic thread
/// when a new configuration arrives there.
#pragma once

#include <memory>
#include <unordered_map>

#include "config/configuration.hpp"

namespace stoneport::filters {

/// Requests of one tenant at once where no parameters say otherwise.
inline constexpr std::uint32_t kUsualConcurrency = 1024;

class CallerDirectory {
 public:
  explicit CallerDirectory(std::shared_ptr<const config::Configuration> configuration);

  const std::shared_ptr<const config::Configuration>& configuration() const {
    return configuration_;
  }
  /// \return the service's template, or null.
  const config::ServiceTemplate* service(const core::ServiceName& name) const;
  /// \return the tenant's parameters for the template, or null.
  const config::TenantParameters* parameters(const core::TenantName& tenant,
                                             const core::TemplateName& service_template) const;
  /// \return the parameters of the tenant's events on \p model with the highest
  /// priority, or null.
  const config::TenantParameters* model_parameters(const core::TenantName& tenant,
                                                   const core::ModelName& model) const;

 private:
  void index_parameters(const config::TenantParameters& parameters);

  std::shared_ptr<const config::Configuration> configuration_;
  std::unordered_map<core::ServiceName, const config::ServiceTemplate*> services_;
  using OfTenant = std::unordered_map<core::TenantName, const config::TenantParameters*>;
  std::unordered_map<core::TemplateName, OfTenant> of_service_template_;
  std::unordered_map<core::ModelName, OfTenant> of_model_;
};

/// \return the priority in force: the tenant's; a caller may ask for less, not
/// for more. Without parameters the tenant's is 0.
std::int32_t effective_priority(const config::TenantParameters* parameters,
                                std::optional<std::int32_t> requested);

}  // namespace stoneport::filters
