#include "config/configuration_check.hpp"

#include <fmt/format.h>

#include "config/document.hpp"
#include "config/nearest_name.hpp"

namespace stoneport::config {
namespace {

Problem problem_in(DocumentGroup group, const std::string& name, const std::string& key,
                   const std::string& found, const std::string& allowed) {
  return Problem{to_string(DocumentKey{group, name}), 0, key, found, allowed};
}

/// Checks that \p wanted, when set, is among \p templates.
template <class Templates>
void check_reference(const TenantParameters& parameters, const std::string& key,
                     const core::TemplateName& wanted, const Templates& templates,
                     Problems& problems) {
  if (wanted.empty() || templates.contains(wanted)) {
    return;
  }
  std::vector<std::string> known;
  for (const auto& [name, item] : templates) {
    known.push_back(name.value());
  }
  const std::string allowed = known.empty()
                                  ? "a published template; there is none"
                                  : fmt::format("a published template; the nearest is '{}'",
                                                nearest_name(wanted.value(), known));
  problems.push_back(
      problem_in(DocumentGroup::kParameters, parameters.name, key, wanted.value(), allowed));
}

void check_one_template_per_service(const Configuration& configuration, Problems& problems) {
  std::map<core::ServiceName, core::TemplateName> owners;
  for (const auto& [name, service_template] : configuration.service_templates) {
    const auto [owner, inserted] = owners.emplace(service_template.service, name);
    if (!inserted) {
      problems.push_back(problem_in(
          DocumentGroup::kTemplates, name.value(), "service", service_template.service.value(),
          fmt::format("a service without a template; it has '{}'", owner->second.value())));
    }
  }
}

void check_one_fill_per_tenant(const Configuration& configuration, Problems& problems) {
  std::map<std::pair<core::TenantName, core::TemplateName>, std::string> owners;
  for (const auto& [name, parameters] : configuration.parameters) {
    if (parameters.service_template.empty()) {
      continue;
    }
    const auto [owner, inserted] =
        owners.emplace(std::pair(parameters.tenant, parameters.service_template), name);
    if (!inserted) {
      problems.push_back(problem_in(
          DocumentGroup::kParameters, name, "service_template", parameters.service_template.value(),
          fmt::format("a template that the tenant has not filled in; '{}' does", owner->second)));
    }
  }
}

}  // namespace

Problems check_configuration(const Configuration& configuration) {
  Problems problems;
  for (const auto& [name, parameters] : configuration.parameters) {
    check_reference(parameters, "event_template", parameters.event_template,
                    configuration.event_templates, problems);
    check_reference(parameters, "service_template", parameters.service_template,
                    configuration.service_templates, problems);
  }
  check_one_template_per_service(configuration, problems);
  check_one_fill_per_tenant(configuration, problems);
  return problems;
}

}  // namespace stoneport::config
