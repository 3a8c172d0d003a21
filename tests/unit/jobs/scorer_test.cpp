/// \file
/// Rating calls leave places of their service to clients, are repeated as often as the route
/// allows, and get the time that they need.
#include "jobs/scorer.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "support/fake_replica_client.hpp"

namespace stoneport::jobs {

using std::chrono::milliseconds;

class ScorerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScorerTest);
  CPPUNIT_TEST(places_are_left_to_clients);
  CPPUNIT_TEST(in_a_crowd_the_quota_follows_from_the_due_time);
  CPPUNIT_TEST(in_a_crowd_texts_are_ordered_by_rank_and_due_time);
  CPPUNIT_TEST(failures_are_counted_one_by_one);
  CPPUNIT_TEST(places_in_an_evacuated_zone_do_not_count);
  CPPUNIT_TEST(a_call_that_takes_long_each_time_is_scored);
  CPPUNIT_TEST(calls_leave_a_silent_replica);
  CPPUNIT_TEST(calls_leave_a_silent_replica_while_all_places_are_taken);
  CPPUNIT_TEST(a_second_call_counts_no_failure_twice);
  CPPUNIT_TEST(a_replica_that_fails_every_call_fails_no_text);
  CPPUNIT_TEST(a_text_that_fails_everywhere_counts_against_one_replica);
  CPPUNIT_TEST(second_calls_stay_few_when_all_are_slow);
  CPPUNIT_TEST(unneeded_calls_are_cancelled);
  CPPUNIT_TEST(the_losing_call_is_cancelled_without_penalty);
  CPPUNIT_TEST(calls_wait_for_a_replica_before_their_timeout_starts);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    explicit World(std::uint32_t replica_count, std::uint32_t max_attempts = 3,
                   ScorerSettings scorer_settings = {})
        : settings(scorer_settings) {
      std::vector<ingress::ReplicaRecord> records;
      for (std::uint32_t index = 0; index < replica_count; ++index) {
        ingress::ReplicaRecord record;
        record.id = core::ReplicaId("r" + std::to_string(index));
        record.service = core::ServiceName("rating");
        record.slots = 5;
        record.zone = core::ZoneName(index % 2 == 0 ? "even" : "odd");
        records.push_back(record);
        replicas.replicas["r" + std::to_string(index)] = {};
      }
      directory.update(std::move(records));
      ingress::Route route;
      route.name = "score";
      route.host = "host";
      route.path_prefix = "/score/";
      route.kind = ingress::RouteKind::kRepeatable;
      route.timeout = std::chrono::seconds(3);
      route.target_latency = milliseconds(800);
      route.max_attempts = max_attempts;
      route.targets = {{core::ServiceName("rating"), 1}};
      routes.offer(std::make_shared<ingress::RouteTable>(1, std::vector<ingress::Route>{route},
                                                         ingress::ClientLimits()));
    }
    /// Lets running calls end before the members that they use are destroyed.
    ~World() {
      is_wanted = false;
      context.restart();
      context.run_for(std::chrono::seconds(5));
    }
    std::uint32_t in_flight() const {
      std::uint32_t sum = 0;
      for (const auto& replica : directory.of_service(core::ServiceName("rating"))) {
        sum += replica->in_flight;
      }
      return sum;
    }
    boost::asio::io_context context;
    support::FakeReplicaClient replicas;
    ingress::ReplicaDirectory directory;
    ingress::RouteTableHolder routes;
    core::SystemTimeSource time;
    core::Metrics metrics;
    ingress::Forwarder forwarder{directory, replicas, ingress::ForwarderSettings(),
                                 1,         time,     metrics};
    ScorerSettings settings;
    Scorer scorer{forwarder, routes, directory, time, metrics, settings};
    std::vector<Score> scores;

    bool is_wanted = true;

    void score(const std::string& id, std::optional<RatingPriority> priority = std::nullopt) {
      boost::asio::co_spawn(
          context,
          scorer.score(
              {id, "host", "/score/x", "body"}, [this] { return is_wanted; }, priority),
          [this](std::exception_ptr, Score score) { scores.push_back(std::move(score)); });
    }
    /// Runs until \p count texts have been scored or given up, for at most \p longest.
    void run_until_scored(std::size_t count, core::Duration longest) {
      const auto give_up_at = std::chrono::steady_clock::now() + longest;
      while (scores.size() < count && std::chrono::steady_clock::now() < give_up_at) {
        context.restart();
        context.run_one_until(give_up_at);
      }
    }
    void run_for(core::Duration length) {
      context.restart();
      context.run_for(length);
    }
    /// Rates enough texts that the usual duration of a call is known.
    void learn_usual_time(core::Duration answer_time) {
      set_answer_time(answer_time);
      for (int text = 0; text < 30; ++text) {
        score("usual-" + std::to_string(text));
      }
      run_until_scored(30, std::chrono::seconds(5));
      CPPUNIT_ASSERT_EQUAL(std::size_t{30}, scores.size());
      scores.clear();
    }
    void set_answer_time(core::Duration answer_time) {
      for (auto& [id, replica] : replicas.replicas) {
        replica.answer_time = answer_time;
      }
    }
    int running_calls() const {
      int sum = 0;
      for (const auto& [id, replica] : replicas.replicas) {
        sum += replica.running_calls;
      }
      return sum;
    }
    ingress::ReplicaPointer state_of(const std::string& id) const {
      return directory.find(core::ReplicaId(id));
    }
    double counted(const std::string& name) { return metrics.counter(name, "").Value(); }
    double hedges() { return counted("stoneport_score_hedges_total"); }
  };

  void places_are_left_to_clients() {
    for (const bool is_pressed : {false, true}) {
      const std::uint32_t replica_count = 4;
      World world(replica_count);
      const std::uint32_t places = replica_count * 5;
      const std::uint32_t usual = places * 2 / 5;
      // A few calls stay within the usual share, many use the share under pressure.
      const std::uint32_t calls = is_pressed ? 40 : 2 * usual;
      const std::uint32_t allowed = is_pressed ? places : usual;
      for (std::uint32_t call = 0; call < calls; ++call) {
        world.score("s" + std::to_string(call));
      }
      std::uint32_t most = 0;
      const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(5);
      while (world.scores.size() < calls && std::chrono::steady_clock::now() < give_up_at) {
        world.context.restart();
        world.context.run_one_for(milliseconds(20));
        most = std::max(most, world.in_flight());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{calls}, world.scores.size());
      CPPUNIT_ASSERT_EQUAL(allowed, most);
    }
  }

  /// 40 texts wait for 20 places, of which 8 are the usual share.
  void in_a_crowd_the_quota_follows_from_the_due_time() {
    struct Case {
      std::string name;
      int refusals;  ///< of the previous calls, while others take the places
      std::optional<core::Duration> due_in;
      bool is_switched_on;
      std::uint32_t allowed;
    };
    const Case cases[] = {
        {"there is time", 10, std::chrono::seconds(60), true, 8},
        {"it is due and cannot be in time", 10, milliseconds(0), true, 18},
        {"no crowd", 0, std::chrono::seconds(60), true, 20},
        {"no due time is known", 10, std::nullopt, true, 20},
        {"switched off", 10, std::chrono::seconds(60), false, 20},
    };
    for (const Case& one : cases) {
      ScorerSettings settings;
      settings.shares_by_due_time = one.is_switched_on;
      World world(4, 3, settings);
      world.replicas.replicas["r0"].refuse = one.refusals;
      world.learn_usual_time(milliseconds(20));
      // How many of these calls try r0 depends on how soon the others have places again.
      if (world.replicas.replicas["r0"].refuse > 0) {
        world.learn_usual_time(milliseconds(20));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 0, world.replicas.replicas["r0"].refuse);
      std::optional<RatingPriority> priority;
      if (one.due_in) {
        priority = RatingPriority{0, world.time.now() + *one.due_in};
      }
      for (int call = 0; call < 40; ++call) {
        world.score("s" + std::to_string(call), priority);
      }
      std::uint32_t most = 0;
      const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(5);
      while (world.scores.size() < 40 && std::chrono::steady_clock::now() < give_up_at) {
        world.context.restart();
        world.context.run_one_for(milliseconds(20));
        most = std::max(most, world.in_flight());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t{40}, world.scores.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.allowed, most);
    }
  }

  /// 30 texts of a step that has time, then 10 of a step due earlier, then 10 of a higher rank,
  /// wait for 8 places: the later ones overtake.
  void in_a_crowd_texts_are_ordered_by_rank_and_due_time() {
    World world(4);
    world.replicas.replicas["r0"].refuse = 10;
    world.learn_usual_time(milliseconds(20));
    world.set_answer_time(milliseconds(60));
    const core::MonotonicTime now = world.time.now();
    std::vector<std::string> rated;
    const auto submit = [&](const std::string& step, int texts, const RatingPriority& priority) {
      for (int text = 0; text < texts; ++text) {
        boost::asio::co_spawn(world.context,
                              world.scorer.score(
                                  {step + std::to_string(text), "host", "/score/x", "body"},
                                  [&world] { return world.is_wanted; }, priority),
                              [&rated, step](std::exception_ptr, Score) { rated.push_back(step); });
      }
    };
    submit("slack", 30, {1, now + std::chrono::seconds(60)});
    world.run_for(milliseconds(5));
    submit("near", 10, {1, now + std::chrono::seconds(30)});
    submit("first", 10, {0, now + std::chrono::seconds(90)});
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (rated.size() < 50 && std::chrono::steady_clock::now() < give_up_at) {
      world.context.restart();
      world.context.run_one_until(give_up_at);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, rated.size());
    const auto last = [&rated](const std::string& step) {
      return rated.rend() - std::find(rated.rbegin(), rated.rend(), step);
    };
    // Eight texts of the step that has time were in flight before the others arrived.
    CPPUNIT_ASSERT(last("first") <= 8 + 10 + 8);
    CPPUNIT_ASSERT(last("near") <= 8 + 20 + 8);
    CPPUNIT_ASSERT(last("first") < last("near"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{50}, last("slack"));
  }

  /// Guards against ratings that count the places of an evacuated zone, and so take the places of
  /// clients in the other zone.
  void places_in_an_evacuated_zone_do_not_count() {
    World world(4);
    world.directory.gate().evacuations().apply_listing({{core::ZoneName("odd"), core::Revision(1)}},
                                                       core::Revision(1));
    const std::uint32_t calls = 8;
    const std::uint32_t allowed = 2 * 5 * 2 / 5;
    for (std::uint32_t call = 0; call < calls; ++call) {
      world.score("s" + std::to_string(call));
    }
    std::uint32_t most = 0;
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (world.scores.size() < calls && std::chrono::steady_clock::now() < give_up_at) {
      world.context.restart();
      world.context.run_one_for(milliseconds(20));
      most = std::max(most, world.in_flight());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{calls}, world.scores.size());
    CPPUNIT_ASSERT_EQUAL(allowed, most);
  }

  void failures_are_counted_one_by_one() {
    World world(1);
    world.replicas.replicas["r0"].fail = 2;
    world.score("a");
    world.context.run();
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kScored);
    CPPUNIT_ASSERT_EQUAL(std::string("signed-a"), world.scores.front().signature);
    // Twice the attempts of the route, because one replica may fail everything that it runs.
    world.replicas.replicas["r0"].fail = 6;
    world.replicas.replicas["r0"].refuse = 2;  // not run, so not counted
    world.score("b");
    world.context.restart();
    world.context.run();
    CPPUNIT_ASSERT(world.scores.back().end == ScoreEnd::kFailed);
    CPPUNIT_ASSERT_EQUAL(0, world.replicas.replicas["r0"].fail);
  }

  void a_call_that_takes_long_each_time_is_scored() {
    for (const bool is_usual_known : {false, true}) {
      World world(3);
      if (is_usual_known) {
        world.learn_usual_time(milliseconds(200));
      }
      world.set_answer_time(milliseconds(1500));
      world.score("long");
      world.run_until_scored(1, milliseconds(2600));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.scores.size());
      CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kScored);
      for (const std::string id : {"r0", "r1", "r2"}) {
        CPPUNIT_ASSERT(!world.state_of(id)->is_suspect(world.time.now()));
      }
    }
  }

  void calls_leave_a_silent_replica() {
    World world(3);
    world.learn_usual_time(milliseconds(20));
    world.replicas.replicas["r0"].silent = true;
    for (int text = 0; text < 6; ++text) {
      world.score("s" + std::to_string(text));
    }
    world.run_until_scored(6, milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.scores.size());
    for (const Score& score : world.scores) {
      CPPUNIT_ASSERT(score.end == ScoreEnd::kScored);
    }
    CPPUNIT_ASSERT(world.state_of("r0")->is_suspect(world.time.now()));
    CPPUNIT_ASSERT(!world.state_of("r1")->is_suspect(world.time.now()));
    CPPUNIT_ASSERT(world.hedges() >= 1);
    CPPUNIT_ASSERT(world.counted("stoneport_score_hedges_won_total") >= 1);
    CPPUNIT_ASSERT(world.counted("stoneport_score_calls_cut_total") >= 1);
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
  }

  void calls_leave_a_silent_replica_while_all_places_are_taken() {
    World world(4);
    world.learn_usual_time(milliseconds(60));
    world.replicas.replicas["r0"].silent = true;
    const std::size_t calls = 250;
    for (std::size_t call = 0; call < calls; ++call) {
      world.score("s" + std::to_string(call));
    }
    world.run_for(milliseconds(500));
    CPPUNIT_ASSERT(world.scores.size() < calls);
    CPPUNIT_ASSERT(world.state_of("r0")->is_suspect(world.time.now()));
    CPPUNIT_ASSERT_EQUAL(0, world.replicas.replicas["r0"].running_calls);
    CPPUNIT_ASSERT(!world.state_of("r1")->is_suspect(world.time.now()));
  }

  void a_second_call_counts_no_failure_twice() {
    // Given up after two failures; the second call was in flight when the first failed.
    World world(2, 1);
    world.learn_usual_time(milliseconds(20));
    world.set_answer_time(milliseconds(400));
    world.replicas.replicas["r0"].fail = 1;
    world.replicas.replicas["r1"].fail = 1;
    world.score("a");
    world.run_until_scored(1, std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.scores.size());
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kScored);
    CPPUNIT_ASSERT_EQUAL(0, world.replicas.replicas["r0"].fail);
    CPPUNIT_ASSERT_EQUAL(0, world.replicas.replicas["r1"].fail);
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("stoneport_score_failures_total"));
  }

  /// Given up after two failures, so the second call must go to another replica.
  void a_replica_that_fails_every_call_fails_no_text() {
    for (int round = 0; round < 5; ++round) {
      World world(3, 1);
      world.replicas.replicas["r0"].fail = 1000;
      for (int text = 0; text < 6; ++text) {
        world.score("s" + std::to_string(text));
      }
      world.run_until_scored(6, std::chrono::seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.scores.size());
      for (const Score& score : world.scores) {
        CPPUNIT_ASSERT(score.end == ScoreEnd::kScored);
      }
    }
  }

  void a_text_that_fails_everywhere_counts_against_one_replica() {
    World world(4, 2);
    for (auto& [id, replica] : world.replicas.replicas) {
      replica.fail = 1;
    }
    world.score("a");
    world.run_until_scored(1, std::chrono::seconds(2));
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kFailed);
    int blamed = 0;
    for (const auto& replica : world.directory.of_service(core::ServiceName("rating"))) {
      blamed += replica->outliers.failure_rate() > 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, blamed);
  }

  void second_calls_stay_few_when_all_are_slow() {
    World world(30);
    world.learn_usual_time(milliseconds(20));
    world.set_answer_time(milliseconds(700));
    const std::size_t calls = 40;  // with a budget for twenty second calls
    for (std::size_t call = 0; call < calls; ++call) {
      world.score("s" + std::to_string(call));
    }
    world.run_until_scored(calls, std::chrono::seconds(8));
    CPPUNIT_ASSERT_EQUAL(calls, world.scores.size());
    CPPUNIT_ASSERT(world.hedges() >= 6);
    const double most = 0.1 * static_cast<double>(calls + 30) + 6;
    CPPUNIT_ASSERT(world.hedges() <= most);
    CPPUNIT_ASSERT(world.counted("stoneport_score_calls_cut_total") <= most);
  }

  void unneeded_calls_are_cancelled() {
    World world(2);
    world.set_answer_time(milliseconds(700));
    world.score("a");
    world.run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, world.running_calls());
    world.is_wanted = false;
    world.run_until_scored(1, milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.scores.size());
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kCancelled);
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("stoneport_score_calls_cut_total"));
    for (const std::string id : {"r0", "r1"}) {
      CPPUNIT_ASSERT_EQUAL(0.0, world.state_of(id)->outliers.failure_rate());
      CPPUNIT_ASSERT(!world.state_of(id)->is_suspect(world.time.now()));
    }
  }

  void the_losing_call_is_cancelled_without_penalty() {
    World world(2);
    world.learn_usual_time(milliseconds(20));
    world.set_answer_time(milliseconds(450));
    world.score("a");
    world.run_until_scored(1, std::chrono::seconds(2));
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kScored);
    CPPUNIT_ASSERT_EQUAL(1.0, world.hedges());
    CPPUNIT_ASSERT_EQUAL(0.0, world.counted("stoneport_score_hedges_won_total"));
    CPPUNIT_ASSERT_EQUAL(1.0, world.counted("stoneport_score_calls_cut_total"));
    CPPUNIT_ASSERT_EQUAL(0, world.running_calls());
    for (const std::string id : {"r0", "r1"}) {
      CPPUNIT_ASSERT_EQUAL(0.0, world.state_of(id)->outliers.failure_rate());
    }
  }

  void calls_wait_for_a_replica_before_their_timeout_starts() {
    World world(1);
    ingress::ReplicaRecord record = world.state_of("r0")->record;
    record.draining = true;
    world.directory.update({record});
    world.score("a");
    world.run_for(milliseconds(700));
    record.draining = false;
    world.directory.update({record});
    world.set_answer_time(milliseconds(500));
    world.run_until_scored(1, std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.scores.size());
    CPPUNIT_ASSERT(world.scores.front().end == ScoreEnd::kScored);
    CPPUNIT_ASSERT_EQUAL(0.0, world.state_of("r0")->outliers.failure_rate());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScorerTest);

}  // namespace stoneport::jobs
