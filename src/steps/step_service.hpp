/// \file
/// Manages all steps of this daemon and their ownership. Called by the trainer interface. Used on
/// the steps thread, whose loop must be stopped before the service is destroyed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <utility>

#include "rollout/event_ownership.hpp"
#include "steps/step_context.hpp"
#include "steps/step_runner.hpp"

namespace stoneport::steps {

struct StepKey {
  core::EventName event;
  core::StepNumber step;
  auto operator<=>(const StepKey&) const = default;
};

struct OpenRequest {
  core::WeightVersion policy_version;  ///< the trainer's current version
  StepContent content;
  core::Epoch epoch_seen;
};
struct OpenAnswer {
  core::Epoch epoch;
  std::size_t samples_expected = 0;
};

/// Opens, finds, cancels and drains steps.
class StepService {
 public:
  explicit StepService(StepDependencies dependencies);

  /// Acquires an epoch in the background. Steps may be opened before it is granted.
  void start();

  /// Records the trainer's new current version, then publishes it.
  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                     core::WeightVersion version,
                                                     std::uint64_t size_bytes);
  /// Opens a step, or confirms that it is open with the same content. A step that another daemon
  /// owned in the meantime is taken back under a higher epoch.
  /// \return kInvalidArgument for an invalid event name, kNotFound for an unknown event, kConflict
  /// if the step is open with different content, kUnavailable while draining, kRateLimited when
  /// too many steps are open.
  core::Result<OpenAnswer> open(const StepKey& key, OpenRequest request);
  /// \return the step, or kFenced when the trainer has seen a higher epoch, which also stops the
  /// step on this daemon. kNotFound for a step that is not open, which the trainer must then open.
  core::Result<std::shared_ptr<StepRunner>> find(const StepKey& key, core::Epoch epoch_seen);
  /// Records the trainer's current version as reported with another request.
  void observe_version(const StepKey& key, core::WeightVersion version);
  core::Result<void> cancel(const StepKey& key);

  /// Refuses new steps from now on; open ones continue.
  void begin_drain();
  /// Waits until all open steps are finished.
  /// \return whether they were within \p limit.
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit);
  std::size_t open_steps() const { return runners_.size(); }
  /// \return the state of each active step, ordered by event and step.
  std::vector<rollout::StepReport> reports() const;

 private:
  boost::asio::awaitable<void> acquire_epoch();
  std::shared_ptr<StepRunner> live(const StepKey& key);
  core::Error fence(const StepKey& key);
  void close_completed_before(const StepKey& key);
  void forget(const StepKey& key, StepStopReason reason);
  void forget_stopped();
  core::Result<void> admit(const StepKey& key) const;

  StepContext context_;
  rollout::EventOwnership ownership_;
  std::map<StepKey, std::shared_ptr<StepRunner>> runners_;
  bool draining_ = false;
};

}  // namespace stoneport::steps
