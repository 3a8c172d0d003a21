#include "filters/completion_request_filter.hpp"

#include "filters/caller_headers.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {
constexpr unsigned kMethodNotAllowed = 405;
}  // namespace

asio::awaitable<Outcome> CompletionRequestFilter::handle(RequestContext& request,
                                                         FilterChain rest) {
  if (request.head->method != "POST") {
    Refused refusal =
        not_run(core::make_error(core::ErrorCode::kInvalidArgument, "completions take POST"));
    refusal.status = kMethodNotAllowed;
    co_return refusal;
  }
  core::Result<std::string> body = co_await http::read_whole(*request.body, kLongestCompletionBody);
  if (!body) {
    if (request.response->client_gone()) {
      co_return caller_left(OutcomeKind::kNotRun);
    }
    co_return not_run(body.error());
  }
  std::optional<Refused> refusal = prepare(request, *body);
  if (refusal) {
    co_return std::move(*refusal);
  }
  co_return co_await rest.proceed(request);
}

std::optional<Refused> CompletionRequestFilter::prepare(RequestContext& request,
                                                        const std::string& body) {
  core::Result<CompletionRequest> parsed = parse_completion_request(body);
  if (!parsed) {
    return not_run(parsed.error());
  }
  if (!pools_.knows_model(parsed->model)) {
    return not_run(
        core::make_error(core::ErrorCode::kNotFound, "no model named " + parsed->model.value()));
  }
  const auto deadline = routing::request_deadline(request.head->headers.find(kDeadlineHeader),
                                                  rules_, request.arrived_at);
  if (!deadline) {
    return not_run(deadline.error());
  }
  const config::TenantParameters* parameters =
      directories_.current().model_parameters(request.caller.tenant, parsed->model);
  request.completion = std::move(*parsed);
  request.deadline = *deadline;
  request.priority = effective_priority(parameters, request.caller.priority);
  request.tenant_concurrency = parameters ? parameters->concurrency : kUsualConcurrency;
  request.repeatable = true;
  return std::nullopt;
}

}  // namespace stoneport::filters
