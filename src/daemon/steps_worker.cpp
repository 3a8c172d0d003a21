#include "daemon/steps_worker.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

/// Time for the last answer to leave after the last step has ended.
constexpr core::Duration kLastAnswerLimit = std::chrono::seconds(5);

}  // namespace

StepsWorker::StepsWorker(asio::any_io_executor executor, const config::DaemonSettings& settings,
                         ControlPlane& control, const core::TimeSource& time,
                         core::Metrics& metrics, std::uint64_t seed)
    : executor_(std::move(executor)),
      address_(settings.trainer_listener.value_or(core::Address())),
      client_(executor_, "steps", metrics),
      engines_(client_, time),
      scoring_(ports::HttpEndpoint(client_, settings.scoring_service, time)),
      policies_(control, executor_),
      epochs_(control.executor(), control.table(), settings.node, control.incarnation()),
      service_({
          .executor = executor_,
          .configuration = control.configuration().snapshots().subscribe(executor_),
          .routing = control.routing().publisher().subscribe(executor_),
          .engines = engines_,
          .scoring = scoring_,
          .policies = policies_,
          .epochs = epochs_,
          .metrics = metrics,
          .time = time,
          .node = settings.node,
          .seed = seed,
          .settings = {},
          .zone = settings.zone,
          .region = settings.region,
      }),
      handler_(service_),
      server_(executor_, "trainer", http::ServerLimits(), handler_, metrics) {}

core::Result<void> StepsWorker::listen() {
  service_.start();
  return server_.listen(address_);
}

asio::awaitable<std::vector<rollout::StepReport>> StepsWorker::reports() const {
  co_return service_.reports();
}

asio::awaitable<bool> StepsWorker::reach(core::Address address) {
  const std::shared_ptr<ports::ModelEngine> engine = engines_.engine_at(std::move(address));
  const core::Result<ports::EngineReport> report = co_await engine->report();
  co_return report.has_value();
}

asio::awaitable<bool> StepsWorker::wait_until_idle(core::Duration limit) {
  const bool steps_ended = co_await service_.wait_until_idle(limit);
  server_.stop_accepting();
  const bool answers_left = co_await server_.wait_until_idle(kLastAnswerLimit);
  co_return steps_ended&& answers_left;
}

}  // namespace stoneport::daemon
