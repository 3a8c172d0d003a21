#include "filters/caller_directory.hpp"

#include <algorithm>

namespace stoneport::filters {
namespace {

template <class Map, class Key>
auto find_or_null(const Map& map, const Key& key) -> typename Map::mapped_type {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

CallerDirectory::CallerDirectory(std::shared_ptr<const config::Configuration> configuration)
    : configuration_(std::move(configuration)) {
  for (const auto& [name, service_template] : configuration_->service_templates) {
    services_.emplace(service_template.service, &service_template);
  }
  for (const auto& [name, parameters] : configuration_->parameters) {
    index_parameters(parameters);
  }
}

void CallerDirectory::index_parameters(const config::TenantParameters& parameters) {
  if (!parameters.service_template.empty()) {
    of_service_template_[parameters.service_template].emplace(parameters.tenant, &parameters);
    return;
  }
  const auto event_template = configuration_->event_templates.find(parameters.event_template);
  if (event_template == configuration_->event_templates.end()) {
    return;
  }
  const config::TenantParameters*& best =
      of_model_[event_template->second.model][parameters.tenant];
  if (best == nullptr || best->priority < parameters.priority) {
    best = &parameters;
  }
}

const config::ServiceTemplate* CallerDirectory::service(const core::ServiceName& name) const {
  return find_or_null(services_, name);
}

const config::TenantParameters* CallerDirectory::parameters(
    const core::TenantName& tenant, const core::TemplateName& service_template) const {
  const auto found = of_service_template_.find(service_template);
  return found == of_service_template_.end() ? nullptr : find_or_null(found->second, tenant);
}

const config::TenantParameters* CallerDirectory::model_parameters(
    const core::TenantName& tenant, const core::ModelName& model) const {
  const auto found = of_model_.find(model);
  return found == of_model_.end() ? nullptr : find_or_null(found->second, tenant);
}

std::int32_t effective_priority(const config::TenantParameters* parameters,
                                std::optional<std::int32_t> requested) {
  const std::int32_t of_tenant = parameters == nullptr ? 0 : parameters->priority;
  return std::min(of_tenant, requested.value_or(of_tenant));
}

}  // namespace stoneport::filters
