#include "filters/caller_handler.hpp"

#include "filters/back_end_exchange.hpp"
#include "filters/caller_headers.hpp"

namespace stoneport::filters {
namespace asio = boost::asio;
namespace {
constexpr std::string_view kCompletionsPath = "/v1/completions";
}  // namespace

http::ServerLimits caller_server_limits(http::ServerLimits limits) {
  limits.refusal_headers.set(kOutcomeHeader, std::string(to_string(OutcomeKind::kNotRun)));
  limits.refusal_headers.set("Retry-After", "1");
  return limits;
}

CallerHandler::CallerHandler(CallerDependencies dependencies)
    : time_(dependencies.time),
      metrics_(dependencies.metrics),
      directories_(dependencies.configuration),
      pools_({dependencies.node, dependencies.zone, dependencies.region, dependencies.subset_size,
              dependencies.seed},
             dependencies.routing_table, dependencies.client),
      stream_ids_(dependencies.node, dependencies.seed),
      outcome_(metrics_, dependencies.seed),
      service_(directories_),
      service_admission_(dependencies.service_admission, dependencies.traffic_threads,
                         dependencies.seed, time_, metrics_),
      claim_(dependencies.claims, metrics_),
      attempt_(pools_, dependencies.client, dependencies.observer, time_, metrics_),
      completion_request_(directories_, pools_, dependencies.completion_deadlines),
      completion_admission_(dependencies.completion_admission, dependencies.traffic_threads,
                            dependencies.seed, time_, metrics_),
      completion_(pools_, dependencies.engines, dependencies.observer, time_, stream_ids_,
                  metrics_),
      service_chain_{&outcome_, &identity_, &service_, &service_admission_, &claim_, &attempt_},
      completion_chain_{&outcome_, &identity_, &completion_request_, &completion_admission_,
                        &completion_} {}

/// A path that is neither is refused by the service filter.
const CallerHandler::Chain& CallerHandler::chain_for(const http::RequestHead& request) const {
  const bool is_completion = http::path_of(request.target) == kCompletionsPath;
  return is_completion ? completion_chain_ : service_chain_;
}

asio::awaitable<void> CallerHandler::handle(const http::RequestHead& request,
                                            http::BodySource& body,
                                            http::ResponseWriter& response) {
  RequestContext context;
  context.head = &request;
  context.body = &body;
  context.content_length = body_length(request.headers, 0);
  context.response = &response;
  context.arrived_at = time_.now();
  ++requests_in_flight_;
  const FilterChain chain(chain_for(request));
  co_await chain.proceed(context);
  --requests_in_flight_;
}

}  // namespace stoneport::filters
