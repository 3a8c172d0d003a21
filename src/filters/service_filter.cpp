#include "filters/service_filter.hpp"

#include <algorithm>

#include "filters/caller_headers.hpp"
#include "routing/deadline.hpp"

namespace stoneport::filters {
namespace {

bool is_repeatable_by_default(const config::ServiceTemplate& service, const std::string& method) {
  const auto& methods = service.repeatable_methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

}  // namespace

const CallerDirectory& DirectoryCache::current() {
  std::shared_ptr<const config::Configuration> newest = view_->get();
  if (!directory_ || directory_->configuration() != newest) {
    directory_.emplace(std::move(newest));
  }
  return *directory_;
}

std::optional<ServiceTarget> parse_service_target(std::string_view target) {
  if (!target.starts_with(kServicesPrefix)) {
    return std::nullopt;
  }
  const std::string_view after_prefix = target.substr(kServicesPrefix.size());
  const std::size_t end = std::min(after_prefix.find_first_of("/?"), after_prefix.size());
  const std::string_view encoded = after_prefix.substr(0, end);
  if (encoded.empty()) {
    return std::nullopt;
  }
  ServiceTarget result;
  const std::vector<std::string> segments = http::path_segments("/" + std::string(encoded));
  result.service = core::ServiceName(segments.empty() ? std::string(encoded) : segments.front());
  const std::string_view rest = after_prefix.substr(end);
  result.rest = rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
  return result;
}

std::optional<Refused> ServiceFilter::prepare(RequestContext& request) {
  std::optional<ServiceTarget> target = parse_service_target(request.head->target);
  if (!target) {
    return not_run(core::make_error(core::ErrorCode::kNotFound, "the path names no service"));
  }
  const CallerDirectory& directory = directories_.current();
  const config::ServiceTemplate* service = directory.service(target->service);
  if (service == nullptr) {
    return not_run(core::make_error(core::ErrorCode::kNotFound,
                                    "no service named " + target->service.value()));
  }
  const routing::DeadlineRules rules{service->default_deadline, service->longest_deadline};
  const auto deadline = routing::request_deadline(request.head->headers.find(kDeadlineHeader),
                                                  rules, request.arrived_at);
  if (!deadline) {
    return not_run(deadline.error());
  }
  const config::TenantParameters* parameters =
      directory.parameters(request.caller.tenant, service->name);
  request.configuration = directory.configuration();
  request.service = std::move(target->service);
  request.target = std::move(target->rest);
  request.service_template = service;
  request.deadline = *deadline;
  request.priority = effective_priority(parameters, request.caller.priority);
  request.tenant_concurrency = parameters ? parameters->concurrency : kUsualConcurrency;
  request.repeatable =
      request.caller.repeatable.value_or(is_repeatable_by_default(*service, request.head->method));
  return std::nullopt;
}

boost::asio::awaitable<Outcome> ServiceFilter::handle(RequestContext& request, FilterChain rest) {
  std::optional<Refused> refusal = prepare(request);
  if (refusal) {
    return ended_with(std::move(*refusal));
  }
  return rest.proceed(request);
}

}  // namespace stoneport::filters
