#include "config/document_schemas.hpp"

#include <fmt/format.h>

namespace stoneport::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr auto kRequired = Presence::kRequired;
constexpr std::uint32_t kMostSamplesPerPrompt = 1024;
constexpr std::uint32_t kMostTokens = 1'000'000;
constexpr double kHottestTemperature = 10;
constexpr double kMostOverSampling = 4;
constexpr std::uint32_t kMostAttempts = 10;
constexpr std::uint32_t kMostInFlight = 1'000'000;
constexpr std::uint32_t kLargestAgeBound = 1000;
constexpr std::int32_t kPriorityRange = 100;

Schema<EventTemplate> build_event_template_schema() {
  Schema<EventTemplate> schema;
  schema
      .add(
          "name", "name of the template", [](auto& d) -> auto& { return d.name; },
          name_codec<core::TemplateName>(), kRequired)
      .add(
          "model", "model whose engines make the rollouts",
          [](auto& d) -> auto& { return d.model; }, name_codec<core::ModelName>(), kRequired)
      .add(
          "samples_per_prompt", "samples of each prompt, its group",
          [](auto& d) -> auto& { return d.samples_per_prompt; },
          number_codec<std::uint32_t>(1, kMostSamplesPerPrompt))
      .add(
          "max_tokens", "longest sample", [](auto& d) -> auto& { return d.max_tokens; },
          number_codec<std::uint32_t>(1, kMostTokens))
      .add(
          "temperature", "sampling temperature", [](auto& d) -> auto& { return d.temperature; },
          real_codec(0, kHottestTemperature))
      .add(
          "over_sampling", "extra samples started per group, as a share; favours short samples",
          [](auto& d) -> auto& { return d.over_sampling; }, real_codec(0, kMostOverSampling))
      .add(
          "warm_up", "preparation before the scheduled start",
          [](auto& d) -> auto& { return d.warm_up; },
          duration_codec(core::Duration::zero(), hours(1)))
      .add(
          "allow_migration", "whether a long stream may move to another engine",
          [](auto& d) -> auto& { return d.allow_migration; }, boolean_codec());
  return schema;
}

Schema<ServiceTemplate> build_service_template_schema() {
  const auto deadline = duration_codec(milliseconds(1), hours(24));
  const auto method =
      choice_codec({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "TRACE"});
  Schema<ServiceTemplate> schema;
  schema
      .add(
          "name", "name of the template", [](auto& d) -> auto& { return d.name; },
          name_codec<core::TemplateName>(), kRequired)
      .add(
          "service", "service that the template is for", [](auto& d) -> auto& { return d.service; },
          name_codec<core::ServiceName>(), kRequired)
      .add(
          "default_deadline", "deadline of a request that names none",
          [](auto& d) -> auto& { return d.default_deadline; }, deadline)
      .add(
          "longest_deadline", "a longer deadline is cut to this one",
          [](auto& d) -> auto& { return d.longest_deadline; }, deadline)
      .add(
          "repeatable_methods", "methods that may be sent again without asking",
          [](auto& d) -> auto& { return d.repeatable_methods; }, list_codec(method))
      .add(
          "max_attempts", "most attempts of one repeatable request",
          [](auto& d) -> auto& { return d.max_attempts; },
          number_codec<std::uint32_t>(1, kMostAttempts))
      .add(
          "retry_budget", "retries allowed per first attempt, as a share",
          [](auto& d) -> auto& { return d.retry_budget; }, real_codec(0, 1))
      .add(
          "max_in_flight_per_replica", "requests in flight at one replica, per daemon",
          [](auto& d) -> auto& { return d.max_in_flight_per_replica; },
          number_codec<std::uint32_t>(1, kMostInFlight));
  return schema;
}

Schema<TenantParameters> build_tenant_parameters_schema() {
  Schema<TenantParameters> schema;
  schema
      .add(
          "name", "name of the parameters; for an event, the event's name",
          [](auto& d) -> auto& { return d.name; }, name_text_codec(), kRequired)
      .add(
          "tenant", "tenant that they are for", [](auto& d) -> auto& { return d.tenant; },
          name_codec<core::TenantName>(), kRequired)
      .add(
          "event_template", "event template that they fill in",
          [](auto& d) -> auto& { return d.event_template; },
          unset_when_empty(name_codec<core::TemplateName>()))
      .add(
          "service_template", "service template that they fill in",
          [](auto& d) -> auto& { return d.service_template; },
          unset_when_empty(name_codec<core::TemplateName>()))
      .add(
          "policy", "policy under training", [](auto& d) -> auto& { return d.policy; },
          unset_when_empty(name_codec<core::PolicyName>()))
      .add(
          "scorers", "scoring services that each sample goes through",
          [](auto& d) -> auto& { return d.scorers; }, list_codec(name_codec<core::ServiceName>()))
      .add(
          "age_bound", "most versions that a delivered sample may lag behind the trainer",
          [](auto& d) -> auto& { return d.age_bound; },
          number_codec<std::uint32_t>(0, kLargestAgeBound))
      .add(
          "priority", "higher is served first", [](auto& d) -> auto& { return d.priority; },
          number_codec<std::int32_t>(-kPriorityRange, kPriorityRange))
      .add(
          "scheduled_start", "start of the event",
          [](auto& d) -> auto& { return d.scheduled_start; }, optional_codec(wall_time_codec()))
      .add(
          "step_deadline", "time allowed for one step",
          [](auto& d) -> auto& { return d.step_deadline; },
          duration_codec(milliseconds(10), hours(24)))
      .add(
          "concurrency", "streams or requests in flight, per daemon",
          [](auto& d) -> auto& { return d.concurrency; },
          number_codec<std::uint32_t>(1, kMostInFlight));
  return schema;
}

/// Appends a problem at the place of \p key when \p holds is false.
void expect(bool holds, const SourceDocument& source, const std::string& key,
            const std::string& found, const std::string& allowed, Problems& problems) {
  if (!holds) {
    problems.push_back(problem_at(source, key, found, allowed));
  }
}

void check_event_fields(const TenantParameters& document, const SourceDocument& source,
                        Problems& problems) {
  expect(!document.policy.empty(), source, "policy", "nothing",
         "a policy, as the parameters are for an event", problems);
}

void check_service_fields(const TenantParameters& document, const SourceDocument& source,
                          Problems& problems) {
  const std::string allowed = "nothing, as the parameters are for a service";
  expect(document.policy.empty(), source, "policy", document.policy.value(), allowed, problems);
  expect(document.scorers.empty(), source, "scorers",
         fmt::format("{} scoring services", document.scorers.size()), allowed, problems);
  expect(!document.scheduled_start, source, "scheduled_start", "a start", allowed, problems);
}

}  // namespace

const Schema<EventTemplate>& event_template_schema() {
  static const Schema<EventTemplate> schema = build_event_template_schema();
  return schema;
}

const Schema<ServiceTemplate>& service_template_schema() {
  static const Schema<ServiceTemplate> schema = build_service_template_schema();
  return schema;
}

const Schema<TenantParameters>& tenant_parameters_schema() {
  static const Schema<TenantParameters> schema = build_tenant_parameters_schema();
  return schema;
}

Problems check_fields(const EventTemplate&, const SourceDocument&) {
  return {};
}

Problems check_fields(const ServiceTemplate& document, const SourceDocument& source) {
  Problems problems;
  expect(document.default_deadline <= document.longest_deadline, source, "default_deadline",
         format_duration(document.default_deadline),
         "at most longest_deadline, which is " + format_duration(document.longest_deadline),
         problems);
  return problems;
}

Problems check_fields(const TenantParameters& document, const SourceDocument& source) {
  Problems problems;
  const bool for_event = !document.event_template.empty();
  const bool for_service = !document.service_template.empty();
  const std::string allowed = "exactly one of event_template and service_template";
  expect(for_event || for_service, source, "event_template", "neither template", allowed, problems);
  expect(!for_event || !for_service, source, "service_template", "both templates", allowed,
         problems);
  if (for_event && !for_service) {
    check_event_fields(document, source, problems);
  }
  if (for_service && !for_event) {
    check_service_fields(document, source, problems);
  }
  return problems;
}

}  // namespace stoneport::config
