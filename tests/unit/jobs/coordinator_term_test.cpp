/// \file
/// Change of the coordinator, and loss of its connection to the store.
#include "unit/jobs/coordinator_world.hpp"

namespace stoneport::jobs {

class CoordinatorTermTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTermTest);
  CPPUNIT_TEST(another_process_takes_over_and_keeps_what_is_listed);
  CPPUNIT_TEST(a_new_holder_keeps_the_term_on_a_slow_store);
  CPPUNIT_TEST(a_holder_reported_as_ended_keeps_its_term);
  CPPUNIT_TEST(a_deposed_coordinator_lists_nothing);
  CPPUNIT_TEST(a_planned_stop_hands_over_at_once);
  CPPUNIT_TEST(orders_of_two_holders_stay_apart);
  CPPUNIT_TEST(nothing_starts_on_a_stale_index);
  CPPUNIT_TEST(answers_read_late_do_not_count_as_fresh);
  CPPUNIT_TEST_SUITE_END();

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
    // The first one cannot reach the store and does not know that it is deposed.
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

  /// Guards against terms that change hands repeatedly on a slow store because each new holder
  /// learns the store's speed from timeouts (seen in kwpd-topup, mix, seed 744861530223).
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

  /// Its clock was set back between two starts, so the members know a later run of the process
  /// than the one in its name.
  void a_holder_reported_as_ended_keeps_its_term() {
    World world;
    World::Process second(world, "b", std::chrono::seconds(120), milliseconds(500));
    second.eligible = false;
    second.status = HolderStatus::kEnded;
    world.run_for(milliseconds(50));
    World::Process first(world, "a", std::chrono::seconds(120), milliseconds(500));
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    second.eligible = true;
    world.run_for(milliseconds(1000));
    CPPUNIT_ASSERT(first.coordinator->holds_term());
    CPPUNIT_ASSERT(!second.coordinator->holds_term());
  }

  void a_deposed_coordinator_lists_nothing() {
    World world;
    World::Process first(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return first.coordinator->holds_term(); }));
    // Another term begins without the first process noticing, as if it had been frozen.
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
    // Texts that the first process generated were not generated again.
    for (std::size_t start = 4; start < world.replicas.starts.size(); ++start) {
      CPPUNIT_ASSERT(world.replicas.starts[start].resume_after > 0);
    }
    CPPUNIT_ASSERT(world.replicas.most_running_at_once <= 1);
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
    // Compares the order to each replica with the last one by the first holder.
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

  /// Guards against items that start after their job's end was acknowledged (by 10 s on 300
  /// machines).
  void nothing_starts_on_a_stale_index() {
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
    // A poll in flight is still answered, up to 0.8 s later.
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

  /// Guards against a coordinator that falls behind and reads the store's answers late: on 300
  /// machines an item started 3.2 s after its job's end was acknowledged.
  void answers_read_late_do_not_count_as_fresh() {
    World world;
    World::Process process(world, "a");
    CPPUNIT_ASSERT(world.run_until([&] { return process.coordinator->holds_term(); }));
    world.store.answer_age = milliseconds(2500);
    world.run_for(milliseconds(2300));
    world.submit(process, "job", 6);
    world.run_for(milliseconds(1200));
    CPPUNIT_ASSERT(world.replicas.starts.empty());
    world.store.answer_age = {};
    CPPUNIT_ASSERT(world.run_until([&] { return world.is_whole(process, "job", 6); }));
    world.check("after the delay", world.results(process, "job"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTermTest);

}  // namespace stoneport::jobs
