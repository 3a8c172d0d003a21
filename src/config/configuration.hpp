/// \file
/// What operators publish: templates for rollout events and for services, and
/// parameters per tenant. A Configuration is one immutable, validated whole; the
/// control thread owns it and publishes it as a snapshot.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/identifiers.hpp"
#include "core/time.hpp"

namespace stoneport::config {

/// How the rollouts of an event are made, whoever the tenant.
struct EventTemplate {
  core::TemplateName name;
  core::ModelName model;
  std::uint32_t samples_per_prompt = 8;
  std::uint32_t max_tokens = 2048;
  double temperature = 1.0;
  /// Extra samples started per group, as a share; the first to finish count,
  /// which favours short samples. 0 = none.
  double over_sampling = 0;
  core::Duration warm_up = std::chrono::seconds(30);  ///< before the scheduled start
  bool allow_migration = true;
};

/// How requests to an ordinary service are treated, whoever the tenant.
struct ServiceTemplate {
  core::TemplateName name;
  core::ServiceName service;
  core::Duration default_deadline = std::chrono::seconds(10);
  core::Duration longest_deadline = std::chrono::seconds(120);
  /// Methods that may be sent again without asking, such as GET.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD", "OPTIONS"};
  std::uint32_t max_attempts = 3;
  /// Retries allowed per first attempt, as a share, over a sliding window.
  double retry_budget = 0.1;
  std::uint32_t max_in_flight_per_replica = 256;
};

/// Fills in one template for one tenant. For an event template this is the
/// event itself, and `name` is its EventName.
struct TenantParameters {
  std::string name;
  core::TenantName tenant;
  core::TemplateName event_template;    ///< empty when for a service
  core::TemplateName service_template;  ///< empty when for an event
  core::PolicyName policy;
  std::vector<core::ServiceName> scorers;
  /// Most versions a delivered sample may lag behind the trainer's current one.
  std::uint32_t age_bound = 1;
  std::int32_t priority = 0;  ///< higher is served first
  std::optional<core::WallTime> scheduled_start;
  core::Duration step_deadline = std::chrono::minutes(4);
  std::uint32_t concurrency = 1024;  ///< streams or requests in flight, per daemon
};

/// All that is in force at one revision.
struct Configuration {
  core::Revision revision;
  std::map<core::TemplateName, EventTemplate> event_templates;
  std::map<core::TemplateName, ServiceTemplate> service_templates;
  std::map<std::string, TenantParameters> parameters;

  /// \return the parameters named \p event and the template they fill, where
  /// both are in force and the parameters are for an event.
  struct Event {
    const TenantParameters* parameters = nullptr;
    const EventTemplate* event_template = nullptr;
  };
  std::optional<Event> find_event(const core::EventName& event) const;
  /// \return the template of \p service, or null.
  const ServiceTemplate* find_service(const core::ServiceName& service) const;
  /// \return the parameters of \p tenant for \p service_template, or null.
  const TenantParameters* find_service_parameters(const core::TenantName& tenant,
                                                  const core::TemplateName& service_template) const;
};

}  // namespace stoneport::config
