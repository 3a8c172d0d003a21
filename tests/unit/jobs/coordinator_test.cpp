/// \file
/// Jobs from acceptance to the last result over a store and replicas with faults,
/// with one coordinator and with another that takes over.
#include "jobs/coordinator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "core/json_text.hpp"
#include "support/fake_record_store.hpp"
#include "support/fake_replica_client.hpp"
#include "support/run_task.hpp"

namespace stoneport::jobs {
namespace {

using std::chrono::milliseconds;
using support::FakeRecordStore;
using support::FakeReplicaClient;

/// Bodies are a number of items; item ids are the job's id and a number.
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
      item.id = submission.id + "." + std::to_string(index);
      item.path = "/jobs/" + item.id;
      item.group = std::to_string(index / 4);
      item.body = "body of " + item.id;
      item.expected_tokens = 10 + static_cast<std::uint64_t>(index);
      ScoringCall scoring{"score-" + item.id, "host", "/score/x", "rate"};
      item.scoring = scoring;
      job.items.push_back(std::move(item));
    }
    return job;
  }
  core::WeightVersion oldest_version{1};
};

constexpr std::size_t kReplicas = 3;

/// Two processes over one store and one set of replicas.
struct World {
  struct Process {
    Process(World& world, const std::string& name,
            core::Duration retention = std::chrono::seconds(120),
            core::Duration take_over_after = milliseconds(60))
        : store(world.store), jobs(store, world.time, metrics) {
      CoordinatorSettings settings;
      settings.term.holder = name;
      settings.retention = retention;
      settings.sweep_interval = milliseconds(50);
      settings.writer.heartbeat_interval = milliseconds(10);
      settings.writer.checkpoint_interval = milliseconds(20);
      settings.term.take_over_after = take_over_after;
      settings.term.bid_spread = milliseconds(5);
      settings.term.tick = milliseconds(5);
      settings.term.feed_interval = milliseconds(5);
      settings.term.longest_gap = milliseconds(2000);
      settings.tick = milliseconds(5);
      settings.dispatcher.shortest_silence = milliseconds(60);
      settings.order_pause = world.order_pause;
      settings.dispatcher.suspicion = milliseconds(200);
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
                               [](const std::string&) { return HolderSign::kUnknown; },
                               world.time,
                               metrics};
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
  };

  World() {
    ingress::Route rollout;
    rollout.name = "rollout";
    rollout.host = "host";
    rollout.path_prefix = "/jobs/";
    rollout.kind = ingress::RouteKind::kRollout;
    rollout.timeout = std::chrono::seconds(10);
    rollout.most_attempts = 3;
    rollout.targets = {{core::ServiceName("models"), 1}};
    rollout.queue_limit = std::chrono::seconds(30);
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

  void submit(Process& process, const std::string& id, int items) {
    JobSubmission submission{id, "host", "/jobs/", std::to_string(items)};
    const auto accepted = support::run_task(
        context, process.jobs.accept(std::move(submission), static_cast<std::uint32_t>(items)));
    CPPUNIT_ASSERT(accepted.has_value());
  }

  std::vector<JobResult> results(Process& process, const std::string& id) {
    const auto page = support::run_task(context, process.jobs.read(id, 0, core::Duration(0)));
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

  boost::asio::io_context context;
  FakeRecordStore store;
  FakeReplicaClient replicas;
  core::SystemTimeSource time;
  CountParser parser;
  std::shared_ptr<const ingress::RouteTable> table;
  std::vector<ingress::ReplicaRecord> records;
  std::map<core::ModelName, core::WeightVersion> named;
  core::Duration order_pause = milliseconds(20);
};

}  // namespace

class CoordinatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTest);
  CPPUNIT_TEST(jobs_become_whole_under_each_fault);
  CPPUNIT_TEST(texts_go_on_where_they_were_cut);
  CPPUNIT_TEST(a_silent_replica_loses_its_texts);
  CPPUNIT_TEST(items_that_cannot_be_done_are_terminated);
  CPPUNIT_TEST(another_process_takes_over_and_keeps_what_is_listed);
  CPPUNIT_TEST(a_deposed_coordinator_lists_nothing);
  CPPUNIT_TEST(a_new_holder_keeps_the_term_on_a_slow_store);
  CPPUNIT_TEST(a_planned_stop_hands_over_at_once);
  CPPUNIT_TEST(an_ended_job_is_left);
  CPPUNIT_TEST(old_versions_make_no_text);
  CPPUNIT_TEST(records_of_old_jobs_are_removed);
  CPPUNIT_TEST(named_versions_reach_replicas_by_halves);
  CPPUNIT_TEST(orders_of_two_holders_stay_apart);
  CPPUNIT_TEST(nothing_starts_without_a_fresh_view_of_ends);
  CPPUNIT_TEST_SUITE_END();

  void jobs_become_whole_under_each_fault() {
    struct Case {
      std::string name;
      std::function<void(World&)> fault;
    };
    const Case cases[] = {
        {"calm", [](World&) {}},
        {"cuts", [](World& world) { world.replicas.replicas["m0"].cut_after = 2; }},
        {"refusals", [](World& world) { world.replicas.replicas["m1"].refuse = 3; }},
        {"a failed answer", [](World& world) { world.replicas.replicas["m1"].fail = 1; }},
        {"a replica that fails whatever it runs",
         [](World& world) { world.replicas.replicas["m1"].fail = 1000; }},
        {"an address given away", [](World& world) { world.replicas.replicas["m2"].gone = true; }},
        {"scores fail at first", [](World& world) { world.replicas.replicas["r0"].fail = 2; }},
        {"scores are refused", [](World& world) { world.replicas.replicas["r0"].refuse = 5; }},
        {"the store loses answers", [](World& world) { world.store.faults.lose_answers = 4; }},
        {"the store loses requests", [](World& world) { world.store.faults.lose_requests = 4; }},
        {"the store acts late", [](World& world) { world.store.faults.act_late = 3; }},
        {"the feed's history is lost",
         [](World& world) { world.store.faults.history_lost = true; }},
    };
    for (const Case& one : cases) {
      World world;
      World::Process process(world, "a");
      CPPUNIT_ASSERT(world.run_until([&] { return process.coordinator->holds_term(); }));
      one.fault(world);
      world.submit(process, "job", 10);
      const bool whole = world.run_until([&] {
        world.store.apply_late();
        return world.is_whole(process, "job", 10);
      });
      CPPUNIT_ASSERT_MESSAGE(one.name, whole);
      const std::vector<JobResult> listed = world.results(process, "job");
      world.check(one.name, listed);
      for (const JobResult& result : listed) {
        CPPUNIT_ASSERT_MESSAGE(one.name, result.state == ResultState::kCompleted);
      }
      CPPUNIT_ASSERT_MESSAGE(one.name, world.replicas.most_running_at_once <= 1);
    }
  }

  void texts_go_on_where_they_were_cut() {
    World world;
    world.replicas.text_length = 6;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.cut_after = 4;
    }
    World::Process process(world, "a");
    world.submit(process, "job", 1);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 1); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.replicas.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.replicas.starts[0].resume_after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, world.replicas.starts[1].resume_after);
  }

  void a_silent_replica_loses_its_texts() {
    World world;
    world.replicas.text_length = 30;
    World::Process process(world, "a");
    world.submit(process, "job", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() >= 6; }));
    world.run_for(milliseconds(10));
    world.replicas.replicas["m0"].silent = true;
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    world.check("silent", world.results(process, "job"));
    CPPUNIT_ASSERT(world.replicas.most_running_at_once <= 1);
  }

  void items_that_cannot_be_done_are_terminated() {
    World world;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.impossible = id.starts_with('m');
    }
    World::Process process(world, "a");
    world.submit(process, "job", 3);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 3); }));
    for (const JobResult& result : world.results(process, "job")) {
      CPPUNIT_ASSERT(result.state == ResultState::kTerminated);
    }
  }

  void another_process_takes_over_and_keeps_what_is_listed() {
    World world;
    world.replicas.text_length = 40;
    World::Process first(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    World::Process second(world, "b");
    world.submit(first, "job", 12);
    world.submit(first, "short", 1);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(first, "short", 1); }));
    const std::vector<JobResult> before = world.results(second, "job");
    // The first one is cut from the store; it does not know that it is deposed.
    first.eligible = false;
    first.store.cut = true;
    CPPUNIT_ASSERT(world.run_until([&] { return second.coordinator->holds_term(); }));
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(second, "job", 12); }));
    first.store.cut = false;
    CPPUNIT_ASSERT(world.run_until([&] { return !first.coordinator->holds_term(); }));
    world.run_for(milliseconds(50));
    const std::vector<JobResult> after = world.results(second, "job");
    world.check("take-over", after);
    for (std::size_t position = 0; position < before.size(); ++position) {
      CPPUNIT_ASSERT_EQUAL(before[position].item, after[position].item);
    }
  }

  /// Terms changed hands on a slow store, as each new holder learned its speed by
  /// timeouts (kwpd-topup, mix, seed 744861530223).
  void a_new_holder_keeps_the_term_on_a_slow_store() {
    World world;
    world.store.latency = milliseconds(300);
    World::Process first(world, "a", std::chrono::seconds(120), milliseconds(500));
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    World::Process second(world, "b", std::chrono::seconds(120), milliseconds(500));
    world.run_for(milliseconds(3000));
    CPPUNIT_ASSERT(first.coordinator->holds_term());
    CPPUNIT_ASSERT(!second.coordinator->holds_term());
  }

  void a_deposed_coordinator_lists_nothing() {
    World world;
    World::Process first(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    // Another term begins without the first one's knowledge: it was frozen.
    const std::string term = world.store.table(kTermTable).at("term");
    const std::uint64_t epoch = decode_term(term)->epoch;
    ports::RecordTransaction taken;
    taken.partition = std::string(kTermPartition);
    taken.writes.push_back(
        {std::string(kTermTable), std::string(kTermKey), encode_term({epoch + 1, "frozen-out"})});
    CPPUNIT_ASSERT(world.store.apply(taken).has_value());
    first.eligible = false;
    world.submit(first, "job", 4);
    world.run_for(milliseconds(200));
    CPPUNIT_ASSERT(!first.coordinator->holds_term());
    CPPUNIT_ASSERT(world.store.table(kResultTable).empty());
  }

  void a_planned_stop_hands_over_at_once() {
    World world;
    world.replicas.text_length = 60;
    World::Process first(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    World::Process second(world, "b");
    world.submit(first, "job", 4);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() == 4; }));
    world.run_for(milliseconds(40));
    support::run_task(world.context, [&]() -> boost::asio::awaitable<bool> {
      co_await first.coordinator->stop();
      co_return true;
    }());
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(second, "job", 4); }));
    world.check("hand-over", world.results(second, "job"));
    // What the first had made was not made again.
    for (std::size_t start = 4; start < world.replicas.starts.size(); ++start) {
      CPPUNIT_ASSERT(world.replicas.starts[start].resume_after > 0);
    }
    CPPUNIT_ASSERT(world.replicas.most_running_at_once <= 1);
  }

  void an_ended_job_is_left() {
    World world;
    world.replicas.text_length = 200;
    World::Process process(world, "a");
    world.submit(process, "job", 8);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.starts.size() == 8; }));
    CPPUNIT_ASSERT(support::run_task(world.context, process.jobs.end("job")).has_value());
    world.run_for(milliseconds(60));
    for (const auto& [item, running] : world.replicas.running) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item, 0, running);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, world.replicas.starts.size());
  }

  void old_versions_make_no_text() {
    World world;
    world.parser.oldest_version = core::WeightVersion(2);
    // One has the version that the listing promises; two lag behind it.
    for (ingress::ReplicaRecord& record : world.records) {
      record.versions[core::ModelName("model")] = core::WeightVersion(2);
    }
    world.replicas.replicas["m0"].version = 2;
    World::Process process(world, "a");
    world.submit(process, "job", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    for (const JobResult& result : world.results(process, "job")) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, result.versions.front());
    }
  }

  void records_of_old_jobs_are_removed() {
    World world;
    world.replicas.text_length = 3;
    World::Process process(world, "a", milliseconds(400));
    world.submit(process, "old", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "old", 6); }));
    world.run_for(milliseconds(300));
    world.replicas.text_length = 400;
    world.submit(process, "open", 2);
    CPPUNIT_ASSERT(world.run_until([&] { return world.store.table(kIndexTable).size() == 1; }));
    CPPUNIT_ASSERT(world.store.table(kIndexTable).contains("open"));
    CPPUNIT_ASSERT(world.store.table(kResultTable).empty());
    CPPUNIT_ASSERT(world.store.table(kWholeTable).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.store.table(kBodyTable).size());
    // One that is open stays, however old.
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "open", 2); }));
  }

  void named_versions_reach_replicas_by_halves() {
    World world;
    World::Process process(world, "a");
    world.replicas.replicas["m1"].lose_orders = 1;
    const auto at_least = [&](std::uint64_t version) {
      int count = 0;
      for (const auto& [id, replica] : world.replicas.replicas) {
        count += id.starts_with('m') && replica.version >= version ? 1 : 0;
      }
      return count;
    };
    world.named[core::ModelName("model")] = core::WeightVersion(2);
    CPPUNIT_ASSERT(world.run_until([&] { return at_least(2) == 2; }));
    world.run_for(milliseconds(1200));
    CPPUNIT_ASSERT_EQUAL(2, at_least(2));
    world.named[core::ModelName("model")] = core::WeightVersion(3);
    CPPUNIT_ASSERT(world.run_until([&] { return at_least(3) == 2 && at_least(2) == 3; }));
    for (const auto& [id, replica] : world.replicas.replicas) {
      CPPUNIT_ASSERT(replica.orders.size() <= 2);
    }
  }

  void orders_of_two_holders_stay_apart() {
    World world;
    world.order_pause = milliseconds(1500);
    World::Process first(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    World::Process second(world, "b");
    world.named[core::ModelName("model")] = core::WeightVersion(2);
    // Half of three replicas are ordered; the third one has had no order yet.
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.all_orders.size() == 2; }));
    const auto ordered_at = std::chrono::steady_clock::now();
    first.eligible = false;
    first.store.cut = true;
    CPPUNIT_ASSERT(world.run_until([&] { return second.coordinator->holds_term(); }));
    world.named[core::ModelName("model")] = core::WeightVersion(3);
    CPPUNIT_ASSERT(world.run_until([&] { return world.replicas.all_orders.size() >= 4; }));
    // Each replica is compared with its own last order by the first holder.
    std::map<std::string, std::chrono::steady_clock::time_point> ordered_before;
    for (const auto& order : world.replicas.all_orders) {
      const auto before = ordered_before.find(order.replica);
      const bool is_second = order.holder == "b";
      if (is_second && before != ordered_before.end()) {
        CPPUNIT_ASSERT(order.at - before->second > milliseconds(1500));
      }
      if (is_second && before == ordered_before.end()) {
        CPPUNIT_ASSERT_MESSAGE("a replica that nobody ordered need not wait",
                               order.at - ordered_at < milliseconds(1300));
      }
      if (!is_second) {
        ordered_before[order.replica] = order.at;
      }
    }
  }

  /// Found on 300 machines: an item began 10 s after its job's end was acknowledged.
  void nothing_starts_without_a_fresh_view_of_ends() {
    World world;
    World::Process process(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return process.coordinator->holds_term(); }));
    constexpr int kAlways = 1'000'000;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.refuse = kAlways;
    }
    world.submit(process, "job", 6);
    CPPUNIT_ASSERT(world.run_until([&] { return !world.replicas.starts.empty(); }));
    process.store.cut = true;
    // A poll that was under way is still answered, up to 0.8 s later.
    world.run_for(milliseconds(3200));
    const std::size_t started = world.replicas.starts.size();
    world.run_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(started, world.replicas.starts.size());
    process.store.cut = false;
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.refuse = 0;
    }
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    world.check("after the cut", world.results(process, "job"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTest);

}  // namespace stoneport::jobs
