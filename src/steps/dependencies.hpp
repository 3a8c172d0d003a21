/// \file
/// What the steps of a daemon need from the rest of it. All calls are made on
/// the steps thread; an implementation that works elsewhere moves over itself.
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

/// Publishes policy versions: to the weight store and to the daemons.
class PolicyPublisher {
 public:
  virtual ~PolicyPublisher() = default;
  virtual boost::asio::awaitable<core::Result<void>> publish(core::PolicyName policy,
                                                             core::WeightVersion version,
                                                             std::uint64_t size_bytes) = 0;
  /// \return the newest version that this daemon has heard of, zero when none.
  virtual core::WeightVersion newest(const core::PolicyName& policy) const = 0;
};

/// Grants epochs from the table service.
class EpochSource {
 public:
  virtual ~EpochSource() = default;
  /// \return an epoch above every one granted before, to any daemon.
  virtual boost::asio::awaitable<core::Result<core::Epoch>> acquire() = 0;
};

/// Times and limits of the steps. The defaults are for production; tests shorten them.
struct StepSettings {
  core::Duration sweep_interval = std::chrono::milliseconds(50);
  core::Duration straggler_interval = std::chrono::milliseconds(500);
  /// A step whose trainer does not poll starts after this long all the same.
  core::Duration start_grace = std::chrono::milliseconds(500);
  core::Duration longest_wait = std::chrono::seconds(60);  ///< of one long poll
  /// Step deadlines without a word from the trainer until a step is given up.
  std::uint32_t abandon_after_deadlines = 2;
  /// A replacement waits this long for its first routing table.
  core::Duration routing_limit = std::chrono::seconds(10);
  core::Duration rebuild_limit = std::chrono::seconds(2);  ///< for engines to list streams
  core::Duration score_timeout = std::chrono::seconds(10);
  core::BackoffSettings backoff;
  std::uint32_t resume_tries = 3;
  std::uint32_t most_open_steps = 64;
  core::Duration retry_after = std::chrono::seconds(1);  ///< told to refused trainers
};

struct StepDependencies {
  boost::asio::any_io_executor executor;  ///< of the steps thread
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
  core::ZoneName zone;      ///< where this process runs; engines nearby come first
  core::RegionName region;  ///< where this process runs
};

}  // namespace stoneport::steps
