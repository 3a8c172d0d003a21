/// \file
/// Two daemons' step services over fake engines on one io_context, and a trainer
/// that checks what it is handed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "runtime/tasks.hpp"
#include "steps/step_service.hpp"
#include "support/fake_model_engine.hpp"
#include "support/run_task.hpp"

namespace stoneport::support {

class FakeScoring : public ports::ScoringService {
 public:
  boost::asio::awaitable<core::Result<double>> score(core::ServiceName, ports::ScoringRequest,
                                                     core::MonotonicTime) override {
    if (failures > 0) {
      --failures;
      co_return core::make_error(core::ErrorCode::kUnavailable, "fake scoring");
    }
    co_return 0.5;
  }
  std::uint32_t failures = 0;
};

class FakePublisher : public steps::PolicyPublisher {
 public:
  boost::asio::awaitable<core::Result<void>> publish(core::PolicyName, core::WeightVersion version,
                                                     std::uint64_t) override {
    if (fails) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "fake publisher");
    }
    newest_version = std::max(newest_version, version);
    co_return core::Result<void>();
  }
  core::WeightVersion newest(const core::PolicyName&) const override { return newest_version; }
  core::WeightVersion newest_version;
  bool fails = false;
};

/// A table service that is down until the test grants an epoch.
class FakeEpochs : public steps::EpochSource {
 public:
  boost::asio::awaitable<core::Result<core::Epoch>> acquire() override {
    if (!granted) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "fake epochs");
    }
    co_return *granted;
  }
  std::optional<core::Epoch> granted;
};

class StepWorld {
 public:
  static constexpr std::size_t kEngines = 3;

  StepWorld() {
    event_template.name = core::TemplateName("template");
    event_template.model = core::ModelName("model");
    event_template.max_tokens = 64;
    parameters.name = "event";
    parameters.event_template = event_template.name;
    parameters.policy = core::PolicyName("policy");
    parameters.scorers = {core::ServiceName("scorer")};
    apply_configuration();
    for (std::size_t index = 0; index < kEngines; ++index) {
      const auto engine = std::make_shared<FakeModelEngine>(context.get_executor());
      engine->peers = &factory.engines;
      factory.engines[{"127.0.0.1", static_cast<std::uint16_t>(index + 1)}] = engine;
      engines.push_back(engine);
    }
    apply_routing();
  }

  /// A daemon of its own; several share the engines.
  std::unique_ptr<steps::StepService> daemon(const std::string& node = "node") {
    return daemon(node, metrics);
  }
  /// A daemon whose counters are apart from those of the others.
  std::unique_ptr<steps::StepService> daemon(const std::string& node, core::Metrics& own_metrics) {
    steps::StepSettings settings;
    settings.sweep_interval = std::chrono::milliseconds(2);
    settings.straggler_interval = std::chrono::milliseconds(2);
    settings.backoff.first = std::chrono::milliseconds(1);
    settings.backoff.longest = std::chrono::milliseconds(5);
    settings.recovery_timeout = std::chrono::milliseconds(500);
    steps::StepDependencies dependencies{context.get_executor(),
                                         configuration.subscribe(context.get_executor()),
                                         routing.subscribe(context.get_executor()),
                                         factory,
                                         scoring,
                                         publisher,
                                         epochs,
                                         own_metrics,
                                         time,
                                         core::NodeId(node),
                                         7,
                                         settings};
    return std::make_unique<steps::StepService>(std::move(dependencies));
  }

  void apply_configuration() {
    auto next = std::make_shared<config::Configuration>();
    next->event_templates[event_template.name] = event_template;
    next->parameters[parameters.name] = parameters;
    configuration.publish(std::move(next));
  }

  /// \param digest what each engine reports, if anything
  void apply_routing(std::optional<routing::ReplicaDigest> digest = std::nullopt) {
    auto next = std::make_shared<routing::RoutingTable>();
    std::uint16_t port = 1;
    for (const auto& engine : engines) {
      routing::Replica replica;
      replica.id = core::ReplicaId("engine-" + std::to_string(port));
      replica.address = {"127.0.0.1", port++};
      replica.digest = digest;
      if (replica.digest) {
        replica.digest->version = engine->version;
      }
      next->models[event_template.model].push_back(std::move(replica));
    }
    routing.publish(std::move(next));
  }

  std::uint32_t generations() const {
    std::uint32_t total = 0;
    for (const auto& engine : engines) {
      total += engine->generations;
    }
    return total;
  }

  /// Runs everything until \p condition holds. \return whether it did in time.
  template <class Condition>
  bool run_until(Condition condition) {
    const core::MonotonicTime limit = time.now() + std::chrono::seconds(20);
    while (!condition()) {
      if (time.now() > limit) {
        return false;
      }
      run_task(context, pause());
    }
    return true;
  }

  boost::asio::io_context context;
  core::SystemTimeSource time;
  core::Metrics metrics;
  config::EventTemplate event_template;
  config::TenantParameters parameters;
  runtime::SnapshotPublisher<config::Configuration> configuration;
  runtime::SnapshotPublisher<routing::RoutingTable> routing;
  FakeEngineFactory factory;
  std::vector<std::shared_ptr<FakeModelEngine>> engines;
  FakeScoring scoring;
  FakePublisher publisher;
  FakeEpochs epochs;

 private:
  static boost::asio::awaitable<bool> pause() {
    co_await runtime::sleep_for(std::chrono::milliseconds(1));
    co_return true;
  }
};

/// Opens a step and polls it. Counts what must never happen.
class TestTrainer {
 public:
  TestTrainer(StepWorld& world, std::uint32_t prompts, std::uint32_t samples_per_prompt)
      : held(std::size_t{prompts} * samples_per_prompt), world_(world) {
    for (std::uint32_t prompt = 0; prompt < prompts; ++prompt) {
      content.prompts.push_back("prompt " + std::to_string(prompt));
    }
    content.samples_per_prompt = samples_per_prompt;
  }

  core::Result<steps::OpenAnswer> open(steps::StepService& daemon) {
    const auto answer = daemon.open(key, steps::OpenRequest{version, content, epoch_seen});
    if (answer) {
      epoch_seen = std::max(epoch_seen, answer->epoch);
    }
    return answer;
  }

  /// \param keep false: the answer is lost on its way
  core::Result<steps::PollAnswer> poll(steps::StepService& daemon, core::Duration wait,
                                       bool keep = true) {
    const auto runner = daemon.find(key, epoch_seen);
    if (!runner) {
      return runner.error();
    }
    steps::PollRequest request{held, epoch_seen, wait, 64};
    auto answer = run_task(world_.context, (*runner)->poll(std::move(request)));
    if (answer && keep) {
      take(*answer);
    }
    return answer;
  }

  /// Polls until all is held. \return whether that happened in time.
  bool complete(steps::StepService& daemon) {
    return world_.run_until([&] {
      const auto answer = poll(daemon, std::chrono::milliseconds(20));
      if (!answer && answer.error().code == core::ErrorCode::kNotFound) {
        open(daemon);
      }
      return held.count() == held.size();
    });
  }

  void take(const steps::PollAnswer& answer) {
    epoch_seen = std::max(epoch_seen, answer.epoch);
    for (const rollout::Sample& sample : answer.samples) {
      const std::size_t index = content.shape().index_of(sample.slot);
      duplicates += held.test(index) ? 1 : 0;
      held.set(index);
      const rollout::AgeRule rule{version, world_.parameters.age_bound};
      over_bound += rule.allows(rollout::oldest_version(sample.spans)) ? 0 : 1;
      wrong_spans += spans_are_true(sample) ? 0 : 1;
      samples.push_back(sample);
    }
    false_completions += answer.complete && held.count() != held.size() ? 1 : 0;
  }

  bool is_clean() const {
    return duplicates == 0 && over_bound == 0 && wrong_spans == 0 && false_completions == 0;
  }

  steps::StepKey key{core::EventName("event"), core::StepNumber(1)};
  steps::StepContent content;
  core::WeightVersion version{1};
  core::Epoch epoch_seen;
  rollout::SlotBitmap held;
  std::vector<rollout::Sample> samples;
  std::uint32_t duplicates = 0;
  std::uint32_t over_bound = 0;
  std::uint32_t wrong_spans = 0;
  std::uint32_t false_completions = 0;

 private:
  static bool spans_are_true(const rollout::Sample& sample) {
    std::string truth;
    for (const rollout::VersionSpan& span : sample.spans) {
      truth.append(span.token_count, static_cast<char>('a' + span.version.value()));
    }
    return truth == sample.text && truth.size() == sample.token_count;
  }

  StepWorld& world_;
};

}  // namespace stoneport::support
