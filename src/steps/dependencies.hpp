/// \file
/// Dependencies of the steps on the rest of the daemon. All calls are made on the steps thread;
/// implementations that run on another thread must switch to it themselves.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

#include "config/configuration.hpp"
#include "core/backoff.hpp"
#include "core/error.hpp"
#include "core/identifiers.hpp"
#include "core/metrics.hpp"
#include "core/time.hpp"
#include "ports/model_engine.hpp"
#include "ports/scoring_service.hpp"
#include "routing/routing_table.hpp"
#include "runtime/snapshot.hpp"

namespace stoneport::steps {

/// Publishes policy versions to the weight store and the daemons.
class PolicyPublisher {
 public:
  virtual ~PolicyPublisher() = default;
  virtual boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                             core::WeightVersion version,
                                                             std::uint64_t size_bytes) = 0;
  /// \return the newest version known to this daemon, or zero when none is.
  virtual core::WeightVersion newest(const core::PolicyName& policy) const = 0;
};

/// Acquires epochs from the table service.
class EpochSource {
 public:
  virtual ~EpochSource() = default;
  /// \return an epoch higher than any granted before to any daemon.
  virtual boost::asio::awaitable<core::Result<core::Epoch>> acquire() = 0;
};

/// Timeouts and limits of the steps. The defaults are for production; tests shorten them.
struct StepSettings {
  core::Duration sweep_interval = std::chrono::milliseconds(50);
  core::Duration straggler_interval = std::chrono::milliseconds(500);
  /// Time after which a step starts even if its trainer has not polled.
  core::Duration start_grace = std::chrono::milliseconds(500);
  core::Duration max_poll_wait = std::chrono::seconds(60);  ///< maximum wait of a long poll
  /// Number of step deadlines without contact from the trainer after which a step is abandoned.
  std::uint32_t abandon_after_deadlines = 2;
  /// Maximum time that a replacement daemon waits for its first routing table.
  core::Duration routing_timeout = std::chrono::seconds(10);
  core::Duration recovery_timeout = std::chrono::seconds(2);  ///< for engines to list their streams
  core::Duration score_timeout = std::chrono::seconds(10);
  core::BackoffSettings backoff;
  std::uint32_t resume_tries = 3;
  std::uint32_t max_open_steps = 64;
  core::Duration retry_after = std::chrono::seconds(1);  ///< sent to refused trainers
};

struct StepDependencies {
  boost::asio::any_io_executor executor;  ///< executor of the steps thread
  std::shared_ptr<runtime::SnapshotView<config::Configuration>> configuration;
  std::shared_ptr<runtime::SnapshotView<routing::RoutingTable>> routing;
  ports::ModelEngineFactory& engines;
  ports::ScoringService& scoring;
  PolicyPublisher& policies;
  EpochSource& epochs;
  core::Metrics& metrics;
  const core::TimeSource& time;
  core::NodeId node;
  std::uint64_t seed = 0;
  StepSettings settings;
  core::ZoneName zone;      ///< zone of this process; nearby engines are preferred
  core::RegionName region;  ///< region of this process
};

}  // namespace stoneport::steps
