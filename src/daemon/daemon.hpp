/// \file
/// One stoneportd: its threads, and the order in which its parts start, drain
/// and stop.
///
/// The control thread owns the ControlPlane and the AdminInterface; each traffic
/// thread owns one TrafficWorker; the steps thread, only beside a trainer, owns
/// the StepsWorker. run() is called on the main thread, which handles signals.
#pragma once

#include <memory>
#include <vector>

#include "config/settings.hpp"
#include "controllers/event_warm_up_controller.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "daemon/admin_interface.hpp"
#include "daemon/control_bridges.hpp"
#include "daemon/control_plane.hpp"
#include "daemon/signal_waiter.hpp"
#include "daemon/steps_worker.hpp"
#include "daemon/traffic_worker.hpp"
#include "runtime/event_loop_thread.hpp"

namespace stoneport::daemon {

class Daemon {
 public:
  explicit Daemon(config::DaemonSettings settings);
  ~Daemon();

  /// Serves until SIGTERM or SIGINT, then drains and stops. SIGHUP switches the
  /// log level between the configured one and debug.
  /// \return an error when a listener could not be bound; nothing was served then.
  core::Result<void> run();

 private:
  core::Result<void> check_late_listeners() const;
  core::Result<void> start();
  std::shared_ptr<controllers::OperatorEventContext> event_context();
  /// \return the state of the steps thread's open steps; none without that thread.
  boost::asio::awaitable<std::vector<rollout::StepReport>> step_reports();
  controllers::EventWarmUpInputs event_warm_up_inputs();
  void stop_threads();
  boost::asio::awaitable<void> serve_when_ready();
  /// Stops accepting, waits for what is in flight, hands over, ends run().
  boost::asio::awaitable<void> drain_and_stop();
  void stop_accepting();
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit);
  void toggle_log_level();

  const config::DaemonSettings settings_;
  SignalWaiter signals_;
  core::SystemTimeSource time_;
  core::Metrics metrics_;
  bool verbose_ = false;

  // The loops are declared before, and so destroyed after, what runs on them.
  runtime::EventLoopThread control_thread_;
  std::vector<std::unique_ptr<runtime::EventLoopThread>> traffic_threads_;
  std::unique_ptr<runtime::EventLoopThread> steps_thread_;

  ControlPlane control_;
  controllers::DrainController drain_;
  prometheus::Counter& drain_timeouts_;
  AdminInterface admin_;
  ControlReplicaObserver observer_;
  std::vector<std::unique_ptr<TrafficWorker>> traffic_workers_;
  std::unique_ptr<StepsWorker> steps_worker_;
  controllers::EventWarmUpController event_warm_up_;
};

}  // namespace stoneport::daemon
