/// \file
/// Fixture of the coordinator's tests: processes that share one store and one set of replicas, both
/// in memory and with injected faults, on one io_context.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "core/json_text.hpp"
#include "jobs/coordinator.hpp"
#include "support/fake_record_store.hpp"
#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::jobs {

using std::chrono::milliseconds;
using support::FakeRecordStore;
using support::FakeReplicaClient;

class CountParser : public JobParser {
 public:
  core::Result<Job> parse(const JobSubmission& submission) const override {
    Job job;
    job.id = submission.id;
    job.host = submission.host;
    job.path = submission.path;
    job.model = core::ModelName("model");
    job.oldest_version = oldest_version;
    const int count = std::stoi(submission.body);
    for (int index = 0; index < count; ++index) {
      JobItem item;
      const std::string& prefix = shared_prefix.empty() ? submission.id : shared_prefix;
      item.id = prefix + "." + std::to_string(index);
      item.path = "/jobs/" + item.id;
      item.group = std::to_string(index / 4);
      item.body = "body of " + item.id;
      item.expected_tokens = guess_factor * (10 + static_cast<std::uint64_t>(index));
      ScoringCall scoring{"score-" + item.id, "host", "/score/x", "rate"};
      item.scoring = scoring;
      job.items.push_back(std::move(item));
    }
    return job;
  }
  core::WeightVersion oldest_version{1};
  std::string shared_prefix;  ///< of the items' ids, so that another job can resubmit them
  std::uint64_t guess_factor = 1;
};

inline constexpr std::size_t kReplicas = 3;

/// Processes that share one store and one set of replicas.
struct World {
  struct Process {
    Process(World& world, const std::string& name,
            core::Duration retention = std::chrono::seconds(120),
            core::Duration takeover_after = milliseconds(60))
        : store(world.store), directory(world.zone_regions), jobs(store, world.time, metrics) {
      CoordinatorSettings settings;
      settings.term.holder = name;
      settings.region = world.region;
      settings.min_term_duration = milliseconds(20);
      settings.foreign_term_silence = milliseconds(400);
      settings.retention = retention;
      settings.sweep_interval = milliseconds(50);
      settings.writer.heartbeat_interval = milliseconds(10);
      settings.writer.checkpoint_interval = milliseconds(20);
      settings.term.takeover_after = takeover_after;
      settings.term.bid_spread = milliseconds(5);
      settings.term.tick = milliseconds(5);
      settings.term.feed_interval = milliseconds(5);
      settings.term.longest_gap = milliseconds(2000);
      settings.tick = milliseconds(5);
      settings.dispatcher.min_silence = milliseconds(60);
      settings.order_pause = world.order_pause;
      settings.dispatcher.suspicion = milliseconds(200);
      settings.dispatcher.fair_steps = world.fair_steps;
      routes.offer(world.table);
      directory.update(world.records);
      ingress::ForwarderSettings forwarding;
      forwarder = std::make_unique<ingress::Forwarder>(directory, world.replicas, forwarding, 1,
                                                       world.time, metrics);
      CoordinatorInputs inputs{world.context.get_executor(),
                               store,
                               jobs,
                               world.parser,
                               directory,
                               routes,
                               world.replicas,
                               *forwarder,
                               [&world] { return world.named; },
                               [this] { return eligible; },
                               [this](const std::string&) { return status; },
                               world.time,
                               metrics,
                               [this] { return is_preferred_elsewhere; }};
      coordinator = std::make_unique<Coordinator>(std::move(inputs), settings, 7);
      coordinator->start();
    }
    support::CuttableRecordStore store;
    core::Metrics metrics;
    ingress::RouteTableHolder routes;
    ingress::ReplicaDirectory directory;
    JobStore jobs;
    std::unique_ptr<ingress::Forwarder> forwarder;
    std::unique_ptr<Coordinator> coordinator;
    bool eligible = true;
    HolderStatus status = HolderStatus::kUnknown;  ///< what the members report about any holder
    bool is_preferred_elsewhere = false;
  };

  World() {
    ingress::Route rollout;
    rollout.name = "rollout";
    rollout.host = "host";
    rollout.path_prefix = "/jobs/";
    rollout.kind = ingress::RouteKind::kRollout;
    rollout.timeout = std::chrono::seconds(10);
    rollout.max_attempts = 3;
    rollout.targets = {{core::ServiceName("models"), 1}};
    rollout.queue_limit = std::chrono::seconds(30);
    rollout.run_deadline = std::chrono::seconds(8);
    ingress::Route score = rollout;
    score.name = "score";
    score.path_prefix = "/score/";
    score.kind = ingress::RouteKind::kRepeatable;
    score.targets = {{core::ServiceName("rating"), 1}};
    table = std::make_shared<ingress::RouteTable>(1, std::vector<ingress::Route>{rollout, score},
                                                  ingress::ClientLimits());
    for (std::size_t index = 0; index < kReplicas; ++index) {
      add_replica("m" + std::to_string(index), "models");
    }
    add_replica("r0", "rating");
  }

  void add_replica(const std::string& id, const std::string& service) {
    ingress::ReplicaRecord record;
    record.id = core::ReplicaId(id);
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + records.size())};
    record.service = core::ServiceName(service);
    record.slots = 4;
    record.versions[core::ModelName("model")] = core::WeightVersion(1);
    records.push_back(record);
    replicas.replicas[id] = {};
  }

  /// Binds the jobs' route, and optionally that of rating calls, to \p regions, for processes
  /// started later.
  void bind_routes(const eligibility::Regions& regions, bool binds_scores) {
    std::vector<ingress::Route> routes = table->routes();
    routes[0].regions = regions;
    if (binds_scores) {
      routes[1].regions = regions;
    }
    table = std::make_shared<ingress::RouteTable>(table->version() + 1, std::move(routes),
                                                  ingress::ClientLimits());
  }

  void submit(Process& process, const std::string& id, int items) {
    JobSubmission submission{id, "host", "/jobs/", std::to_string(items)};
    const auto accepted = support::run_task(
        context, process.jobs.accept(std::move(submission), static_cast<std::uint32_t>(items)));
    CPPUNIT_ASSERT(accepted.has_value());
  }

  std::vector<JobResult> results(Process& process, const std::string& id) {
    const auto page = support::run_task(context, process.jobs.read({}, id, 0, core::Duration(0)));
    return page ? page->results : std::vector<JobResult>();
  }

  /// Runs everything until \p done holds. \return whether it did within 8 s.
  bool run_until(const std::function<bool()>& done) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    while (!done()) {
      if (std::chrono::steady_clock::now() > give_up_at) {
        return false;
      }
      context.restart();
      context.run_for(milliseconds(2));
    }
    return true;
  }
  void run_for(milliseconds length) {
    context.restart();
    context.run_for(length);
  }

  bool is_whole(Process& process, const std::string& id, std::size_t items) {
    return results(process, id).size() == items;
  }

  void check(const std::string& name, const std::vector<JobResult>& listed) const {
    std::set<std::string> items;
    for (const JobResult& result : listed) {
      CPPUNIT_ASSERT_MESSAGE(name + ": twice " + result.item, items.insert(result.item).second);
      if (result.state != ResultState::kCompleted) {
        continue;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, replicas.whole_text(result.item), result.text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, "signed-score-" + result.item, result.score);
      CPPUNIT_ASSERT_MESSAGE(name, !result.versions.empty());
    }
  }

  FakeRecordStore store;
  FakeReplicaClient replicas;
  core::SystemTimeSource time;
  CountParser parser;
  std::shared_ptr<const ingress::RouteTable> table;
  std::vector<ingress::ReplicaRecord> records;
  std::map<core::ModelName, core::WeightVersion> named;
  core::Duration order_pause = milliseconds(20);
  bool fair_steps = false;                ///< of processes started later
  eligibility::ZoneRegions zone_regions;  ///< of processes started later
  core::RegionName region;                ///< of processes started later
  /// Destroyed first, because streams that are still open access the members above.
  boost::asio::io_context context;
};
}  // namespace stoneport::jobs
