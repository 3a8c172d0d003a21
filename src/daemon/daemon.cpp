#include "daemon/daemon.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/use_future.hpp>
#include <csignal>

#include "core/hash.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::daemon {
namespace {

namespace asio = boost::asio;

constexpr core::Duration kReadyPollInterval = std::chrono::milliseconds(50);

/// Ends the daemon when \p listening failed.
void require_listener(const char* name, const core::Result<void>& listening) {
  if (!listening) {
    spdlog::critical("{} listener: {}", name, listening.error().message);
    std::raise(SIGTERM);
  }
}

}  // namespace

Daemon::Daemon(config::DaemonSettings settings)
    : settings_(std::move(settings)),
      control_thread_("control"),
      control_(control_thread_.executor(), settings_, time_, metrics_),
      drain_(control_.gossip(),
             [this] { runtime::start(control_.executor(), "drain", drain_and_stop()); }),
      drain_timeouts_(metrics_.counter("stoneport_drain_timeouts_total",
                                       "Planned stops that cut off work in flight")),
      admin_(control_, drain_, settings_, event_context(), time_, metrics_),
      observer_(control_),
      event_warm_up_(control_.executor(), event_warm_up_inputs(), control_.gossip(),
                     control_.policy_versions(), time_, metrics_) {
  const std::uint64_t seed = core::hash64(settings_.node.value(), control_.incarnation().value());
  for (std::uint32_t index = 0; index < settings_.traffic_threads; ++index) {
    traffic_threads_.push_back(
        std::make_unique<runtime::EventLoopThread>("traffic-" + std::to_string(index)));
    traffic_workers_.push_back(std::make_unique<TrafficWorker>(traffic_threads_.back()->executor(),
                                                               settings_, control_, observer_,
                                                               time_, metrics_, seed + index));
  }
  if (settings_.trainer_listener) {
    steps_thread_ = std::make_unique<runtime::EventLoopThread>("steps");
    steps_worker_ = std::make_unique<StepsWorker>(steps_thread_->executor(), settings_, control_,
                                                  time_, metrics_, seed);
  }
}

Daemon::~Daemon() {
  stop_threads();
}

core::Result<void> Daemon::run() {
  const core::Result<void> started = start();
  if (!started) {
    return started;
  }
  const auto begin_drain = [this] {
    asio::post(control_.executor(), [this] { drain_.begin_drain("signal"); });
  };
  signals_.wait(begin_drain, [this] { toggle_log_level(); });
  stop_threads();
  return {};
}

std::shared_ptr<controllers::OperatorEventContext> Daemon::event_context() {
  auto context = std::make_shared<controllers::OperatorEventContext>();
  context->control = control_.executor();
  context->configuration = [this] { return control_.configuration().snapshots().current(); };
  context->steps = [this] { return step_reports(); };
  context->warm_up = [this](const core::EventName& event) { return event_warm_up_.find(event); };
  return context;
}

asio::awaitable<std::vector<rollout::StepReport>> Daemon::step_reports() {
  std::vector<rollout::StepReport> reports;
  if (steps_worker_) {
    asio::awaitable<std::vector<rollout::StepReport>> task = steps_worker_->reports();
    reports = co_await runtime::run_on(steps_worker_->executor(), std::move(task));
  }
  co_return reports;
}

controllers::EventWarmUpInputs Daemon::event_warm_up_inputs() {
  controllers::EventWarmUpInputs inputs;
  inputs.configuration = [this] { return control_.configuration().snapshots().current(); };
  inputs.routing = [this] { return control_.routing().current(); };
  if (settings_.trainer_listener) {
    inputs.reach = [this](const core::Address& address) {
      return runtime::run_on(steps_worker_->executor(), steps_worker_->reach(address));
    };
  }
  return inputs;
}

/// These listeners open only when the daemon is ready.
core::Result<void> Daemon::check_late_listeners() const {
  core::Result<void> free = http::check_address_free(settings_.caller_listener);
  if (free && settings_.trainer_listener) {
    free = http::check_address_free(*settings_.trainer_listener);
  }
  return free;
}

core::Result<void> Daemon::start() {
  core::Result<void> opened = check_late_listeners();
  if (opened) {
    opened = control_.open();
  }
  if (opened) {
    opened = admin_.listen();
  }
  if (!opened) {
    return opened;
  }
  control_thread_.run();
  for (const auto& thread : traffic_threads_) {
    thread->run();
  }
  if (steps_thread_) {
    steps_thread_->run();
  }
  asio::post(control_.executor(), [this] {
    control_.start();
    drain_.start();
    event_warm_up_.start();
  });
  runtime::start(control_.executor(), "serve-when-ready", serve_when_ready());
  return {};
}

asio::awaitable<void> Daemon::serve_when_ready() {
  while (!control_.ready()) {
    co_await runtime::sleep_for(kReadyPollInterval);
  }
  // The traffic threads share the address; with another process they must not.
  const core::Result<void> free = http::check_address_free(settings_.caller_listener);
  if (!free) {
    require_listener("caller", free);
    co_return;
  }
  // Posted after the snapshots, so that the first request finds them in place.
  for (const auto& worker : traffic_workers_) {
    asio::post(worker->executor(),
               [worker = worker.get()] { require_listener("caller", worker->listen()); });
  }
  if (steps_worker_) {
    asio::post(steps_worker_->executor(),
               [this] { require_listener("trainer", steps_worker_->listen()); });
  }
  spdlog::info("serving at configuration revision {}",
               control_.configuration().record().revision.value());
}

void Daemon::toggle_log_level() {
  verbose_ = !verbose_;
  const std::string level = verbose_ ? "debug" : settings_.log.level;
  if (core::set_log_level(level)) {
    spdlog::warn("log level is now {}", level);
  }
}

asio::awaitable<void> Daemon::drain_and_stop() {
  stop_accepting();
  const bool idle = co_await wait_until_idle(settings_.drain_timeout);
  if (!idle) {
    drain_timeouts_.Increment();
    spdlog::warn("drain: work was still in flight after {} s",
                 core::to_seconds(settings_.drain_timeout));
  }
  event_warm_up_.stop();
  co_await admin_.stop();
  co_await control_.stop();
  spdlog::info("drained");
  signals_.finish();
}

void Daemon::stop_accepting() {
  for (const auto& worker : traffic_workers_) {
    asio::post(worker->executor(), [worker = worker.get()] { worker->stop_accepting(); });
  }
  if (steps_worker_) {
    asio::post(steps_worker_->executor(), [this] { steps_worker_->stop_accepting(); });
  }
}

asio::awaitable<bool> Daemon::wait_until_idle(core::Duration limit) {
  std::vector<std::future<bool>> ends;
  for (const auto& worker : traffic_workers_) {
    ends.push_back(
        asio::co_spawn(worker->executor(), worker->wait_until_idle(limit), asio::use_future));
  }
  if (steps_worker_) {
    ends.push_back(asio::co_spawn(steps_worker_->executor(), steps_worker_->wait_until_idle(limit),
                                  asio::use_future));
  }
  bool all_idle = true;
  for (std::future<bool>& end : ends) {
    while (end.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
      co_await runtime::sleep_for(kReadyPollInterval);
    }
    const bool idle = end.get();
    all_idle = all_idle && idle;
  }
  co_return all_idle;
}

void Daemon::stop_threads() {
  for (const auto& thread : traffic_threads_) {
    thread->stop();
  }
  if (steps_thread_) {
    steps_thread_->stop();
  }
  control_thread_.stop();
}

}  // namespace stoneport::daemon
