/// \file
/// All steps of this daemon: who may work on which, and since when. The trainer
/// interface calls it. Lives on the steps thread; stop that thread's loop before
/// destroying it.
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
  core::WeightVersion policy_version;  ///< the trainer's current one
  StepContent content;
  core::Epoch epoch_seen;
};
struct OpenAnswer {
  core::Epoch epoch;
  std::size_t samples_expected = 0;
};

class StepService {
 public:
  explicit StepService(StepDependencies dependencies);

  /// Asks for an epoch in the background. Steps may be opened before it is granted.
  void start();

  /// Records the trainer's new current version at once, then publishes it.
  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                     core::WeightVersion version,
                                                     std::uint64_t size_bytes);
  /// Opens a step, or confirms that it is open with the same content. A step that
  /// another daemon had in the meantime is taken back under a higher epoch.
  /// \return kNotFound for an unknown event, kConflict for another content,
  /// kUnavailable while draining, kRateLimited when too many are open.
  core::Result<OpenAnswer> open(const StepKey& key, OpenRequest request);
  /// \return the step, or kFenced when the trainer has seen a higher epoch. That
  /// ends the step here: from then on, and for any step that is not open here,
  /// kNotFound tells the trainer to open it.
  core::Result<std::shared_ptr<StepRunner>> find(const StepKey& key, core::Epoch epoch_seen);
  /// The trainer says in passing which version is its current one.
  void observe_version(const StepKey& key, core::WeightVersion version);
  core::Result<void> cancel(const StepKey& key);

  /// No new steps from now on; open ones go on.
  void begin_drain();
  /// Waits until no open step has work left.
  /// \return whether that happened within \p limit.
  boost::asio::awaitable<bool> wait_until_idle(core::Duration limit);
  std::size_t open_steps() const { return runners_.size(); }
  /// \return the state of each step that is worked on, in order of event and step.
  std::vector<rollout::StepReport> reports() const;

 private:
  boost::asio::awaitable<void> acquire_epoch();
  std::shared_ptr<StepRunner> live(const StepKey& key);
  core::Error fence(const StepKey& key);
  void close_completed_before(const StepKey& key);
  void forget(const StepKey& key, StepStop reason);
  void forget_stopped();
  core::Result<void> admit(const StepKey& key) const;

  StepContext context_;
  rollout::EventOwnership ownership_;
  std::map<StepKey, std::shared_ptr<StepRunner>> runners_;
  bool draining_ = false;
};

}  // namespace stoneport::steps
