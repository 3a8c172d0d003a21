#include "config/configuration.hpp"

namespace stoneport::config {

std::optional<Configuration::Event> Configuration::find_event(const core::EventName& event) const {
  const auto found = parameters.find(event.value());
  if (found == parameters.end()) {
    return std::nullopt;
  }
  const auto event_template = event_templates.find(found->second.event_template);
  if (event_template == event_templates.end()) {
    return std::nullopt;
  }
  return Event{&found->second, &event_template->second};
}

const ServiceTemplate* Configuration::find_service(const core::ServiceName& service) const {
  for (const auto& [name, candidate] : service_templates) {
    if (candidate.service == service) {
      return &candidate;
    }
  }
  return nullptr;
}

const TenantParameters* Configuration::find_service_parameters(
    const core::TenantName& tenant, const core::TemplateName& service_template) const {
  for (const auto& [name, candidate] : parameters) {
    if (candidate.tenant == tenant && candidate.service_template == service_template) {
      return &candidate;
    }
  }
  return nullptr;
}

}  // namespace stoneport::config
