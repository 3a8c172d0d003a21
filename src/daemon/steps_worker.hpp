/// \file
/// The steps thread of a daemon beside a trainer: the trainer's listener, the
/// steps and their clients. Everything in it runs on that thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "config/settings.hpp"
#include "daemon/control_bridges.hpp"
#include "daemon/control_plane.hpp"
#include "daemon/store_epoch_source.hpp"
#include "http/server.hpp"
#include "ports/http_model_engine.hpp"
#include "ports/http_scoring_service.hpp"
#include "steps/trainer_handler.hpp"

namespace stoneport::daemon {

class StepsWorker {
 public:
  StepsWorker(boost::asio::any_io_executor executor, const config::DaemonSettings& settings,
              ControlPlane& control, const core::TimeSource& time, core::Metrics& metrics,
              std::uint64_t seed);

  const boost::asio::any_io_executor& executor() const { return executor_; }
  core::Result<void> listen();
  /// \return the state of each open step.
  boost::asio::awaitable<std::vector<rollout::StepReport>> reports() const;
  /// Opens a connection of the steps' client to an engine, or uses a kept one.
  /// \return whether the engine answered.
  boost::asio::awaitable<bool> reach(core::Address address);
  /// Takes no new steps. The listener stays open: the trainer fetches the samples
  /// of the open ones through it.
  void stop_accepting() { service_.begin_drain(); }
  /// Waits until the open steps are over, then closes the listener.
  /// \return whether that happened within \p limit.
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit);

 private:
  boost::asio::any_io_executor executor_;
  core::Address address_;
  http::Client client_;
  ports::HttpModelEngineFactory engines_;
  ports::HttpScoringService scoring_;
  ControlPolicyPublisher policies_;
  StoreEpochSource epochs_;
  steps::StepService service_;
  steps::TrainerHandler handler_;
  http::Server server_;
};

}  // namespace stoneport::daemon
