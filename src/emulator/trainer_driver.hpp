/// \file
/// The emulated trainer: opens steps at its local daemon, polls for samples,
/// publishes versions and checks all it gets. Lives on the control event loop.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "emulator/model_clock.hpp"
#include "emulator/trainer_ledger.hpp"
#include "emulator/weight_source.hpp"
#include "http/client.hpp"

namespace stoneport::emulator {

class TrainerDriver {
 public:
  /// \param weights where a published version is uploaded; outlives the driver
  TrainerDriver(boost::asio::any_io_executor executor, std::string name, core::Address daemon,
                WeightSource& weights, const GroundTruth& truth, const ModelClock& clock,
                core::Metrics& metrics);

  const std::string& name() const { return name_; }
  /// Starts a run. \return kConflict while one goes on.
  core::Result<void> start(TrainerRun run);
  /// Publishes the next version as soon as the outstanding poll has returned.
  void publish_soon() { publish_requested_ = true; }
  /// Makes the run end after the outstanding call, as failed; the daemon is told
  /// that the step is cancelled.
  void stop() { stopping_ = true; }
  /// Talks to another daemon from the next call on.
  void set_daemon(core::Address daemon) { daemon_ = std::move(daemon); }
  TrainerReport report() const;
  const TrainerSwitches& switches() const { return switches_; }
  /// Changes the run that goes on.
  void set_switches(const TrainerSwitches& switches);

 private:
  /// What became of one call to the daemon.
  enum class CallOutcome { kDone, kStepUnknown, kTryAgain, kRefused };
  struct Call {
    CallOutcome outcome = CallOutcome::kTryAgain;
    std::string body;
  };

  boost::asio::awaitable<void> run_all(TrainerRun run);
  boost::asio::awaitable<core::Result<void>> run_step(const TrainerRun& run, std::uint64_t step);
  boost::asio::awaitable<core::Result<void>> open_step(const TrainerRun& run, std::uint64_t step,
                                                       core::MonotonicTime deadline);
  boost::asio::awaitable<core::Result<void>> poll(const TrainerRun& run, std::uint64_t step,
                                                  core::MonotonicTime deadline);
  boost::asio::awaitable<void> publish_next(const TrainerRun& run, core::MonotonicTime deadline);
  boost::asio::awaitable<void> cancel_step(const TrainerRun& run, std::uint64_t step);
  boost::asio::awaitable<Call> call(std::string method, std::string target, std::string body,
                                    core::MonotonicTime deadline);
  core::Result<void> check_going_on(core::MonotonicTime deadline) const;
  void take_answer(const PollAnswer& answer);

  boost::asio::any_io_executor executor_;
  std::string name_;
  core::Address daemon_;
  WeightSource& weights_;
  const GroundTruth& truth_;
  const ModelClock& clock_;
  core::SystemTimeSource time_;
  http::Client client_;
  std::unique_ptr<TrainerLedger> ledger_;
  std::vector<std::string> prompts_;
  core::WeightVersion step_version_;  ///< at the step's begin; a step is opened again as it was
  std::string refusal_;               ///< the daemon's last answer of an unexpected kind
  TrainerSwitches switches_;
  bool running_ = false;
  bool stopping_ = false;
  bool publish_requested_ = false;
};

}  // namespace stoneport::emulator
