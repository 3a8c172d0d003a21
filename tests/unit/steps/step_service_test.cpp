/// \file
/// Tests steps from opening to the last sample with fake engines and injected faults.
#include "steps/step_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "support/step_world.hpp"

namespace stoneport::steps {
namespace {

using core::ErrorCode;
using support::FakeModelEngine;
using support::StepWorld;
using support::TestTrainer;

constexpr core::Duration kNoWait{};
constexpr core::Duration kShortWait = std::chrono::milliseconds(50);

class StepServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepServiceTest);
  CPPUNIT_TEST(step_completes_under_each_fault);
  CPPUNIT_TEST(lost_answer_is_handed_over_again);
  CPPUNIT_TEST(replacement_resumes_streams);
  CPPUNIT_TEST(replacement_leaves_cancelled_streams);
  CPPUNIT_TEST(reports_show_open_steps);
  CPPUNIT_TEST(replacement_ignores_another_step_s_streams);
  CPPUNIT_TEST(woken_daemon_is_fenced_by_the_trainer);
  CPPUNIT_TEST(woken_daemon_is_fenced_by_an_engine);
  CPPUNIT_TEST(published_version_ends_work_that_is_too_old);
  CPPUNIT_TEST(tightened_bound_drops_waiting_samples);
  CPPUNIT_TEST(groups_spread_over_engines);
  CPPUNIT_TEST(engines_with_old_weights_get_no_streams);
  CPPUNIT_TEST(straggler_is_moved);
  CPPUNIT_TEST(spares_fill_a_group);
  CPPUNIT_TEST(newer_poll_ends_the_older);
  CPPUNIT_TEST(trainer_that_lost_its_samples_gets_them_again);
  CPPUNIT_TEST(draining_refuses_new_steps_and_finishes_open_ones);
  CPPUNIT_TEST(cancelled_step_frees_the_engines);
  CPPUNIT_TEST(concurrency_is_kept);
  CPPUNIT_TEST_SUITE_END();

  void step_completes_under_each_fault() {
    struct Case {
      std::string name;
      std::function<void(StepWorld&)> fault;
    };
    const auto each = [](auto change) {
      return [change](StepWorld& world) {
        for (const auto& engine : world.engines) {
          change(*engine);
        }
      };
    };
    const Case cases[] = {
        {"none", [](StepWorld&) {}},
        {"refused", each([](FakeModelEngine& engine) { engine.faults.refuse = 3; })},
        {"answer lost", each([](FakeModelEngine& engine) { engine.faults.lose_answer = 3; })},
        {"cut", each([](FakeModelEngine& engine) { engine.faults.cut = 5; })},
        {"cut and forgotten", each([](FakeModelEngine& engine) {
           engine.faults.cut = 2;
           engine.faults.forgets = true;
         })},
        {"no version", each([](FakeModelEngine& engine) { engine.faults.without_version = 2; })},
        {"gap", each([](FakeModelEngine& engine) { engine.faults.skip = 2; })},
        {"given up by the engine", each([](FakeModelEngine& engine) { engine.faults.cancel = 2; })},
        {"one engine down", [](StepWorld& world) { world.engines[0]->faults.down = true; }},
        {"scoring fails", [](StepWorld& world) { world.scoring.failures = 7; }},
    };
    for (const Case& one : cases) {
      StepWorld world;
      one.fault(world);
      const auto daemon = world.daemon();
      TestTrainer trainer(world, 4, 4);
      CPPUNIT_ASSERT_MESSAGE(one.name, trainer.open(*daemon).has_value());
      CPPUNIT_ASSERT_MESSAGE(one.name, trainer.complete(*daemon));
      CPPUNIT_ASSERT_MESSAGE(one.name, trainer.is_clean());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t{16}, trainer.samples.size());
      const auto last = trainer.poll(*daemon, kNoWait);
      CPPUNIT_ASSERT_MESSAGE(one.name, last && last->complete && last->samples.empty());
      const auto& failed =
          world.metrics.counter("stoneport_attempts_total", "", {{"event", "failed"}});
      CPPUNIT_ASSERT_MESSAGE("none", one.name != "none" || failed.Value() == 0);
    }
  }

  void lost_answer_is_handed_over_again() {
    StepWorld world;
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 2, 2);
    trainer.open(*daemon);
    const auto lost = trainer.poll(*daemon, std::chrono::seconds(5), false);
    CPPUNIT_ASSERT(lost && !lost->samples.empty());
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
    CPPUNIT_ASSERT_EQUAL(4u, world.generations());
  }

  /// Opens a step of six samples whose streams pause in the middle.
  static void start_and_hold_streams(StepWorld& world, TestTrainer& trainer,
                                     steps::StepService& daemon) {
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 6;
    }
    trainer.open(daemon);
    trainer.poll(daemon, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return world.generations() == 6; }));
  }

  void replacement_resumes_streams() {
    StepWorld world;
    TestTrainer trainer(world, 3, 2);
    const auto first = world.daemon("first");
    start_and_hold_streams(world, trainer, *first);
    // A newly started daemon knows no engines yet.
    const auto table = world.routing.current();
    world.routing.publish(std::make_shared<routing::RoutingTable>());
    const auto second = world.daemon("second");
    CPPUNIT_ASSERT(trainer.poll(*second, kNoWait).error().code == ErrorCode::kNotFound);
    const core::Epoch before = trainer.epoch_seen;
    CPPUNIT_ASSERT(trainer.open(*second)->epoch > before);
    trainer.poll(*second, kShortWait);
    world.routing.publish(table);
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 100;
    }
    CPPUNIT_ASSERT(trainer.complete(*second));
    CPPUNIT_ASSERT(trainer.is_clean());
    CPPUNIT_ASSERT_EQUAL(6u, world.generations());
  }

  void replacement_leaves_cancelled_streams() {
    StepWorld world;
    TestTrainer trainer(world, 3, 2);
    const auto first = world.daemon("first");
    start_and_hold_streams(world, trainer, *first);
    std::size_t cancelled = 0;
    for (const auto& engine : world.engines) {
      for (auto& [id, stream] : engine->streams) {
        stream.cancelled = cancelled < 2;
        cancelled += stream.cancelled ? 1 : 0;
      }
      engine->tokens_allowed = 100;
    }
    core::Metrics metrics;
    const auto second = world.daemon("second", metrics);
    trainer.poll(*second, kNoWait);
    trainer.open(*second);
    CPPUNIT_ASSERT(trainer.complete(*second));
    CPPUNIT_ASSERT(trainer.is_clean());
    const auto attempts = [&metrics](const char* event) {
      return metrics.counter("stoneport_attempts_total", "", {{"event", event}}).Value();
    };
    CPPUNIT_ASSERT_EQUAL(4.0, attempts("adopted"));
    CPPUNIT_ASSERT_EQUAL(2.0, attempts("started"));
    CPPUNIT_ASSERT_EQUAL(0.0, attempts("failed"));
    CPPUNIT_ASSERT_EQUAL(2.0,
                         metrics.counter("stoneport_streams_found_cancelled_total", "").Value());
  }

  void reports_show_open_steps() {
    StepWorld world;
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 6;
    }
    const auto daemon = world.daemon();
    CPPUNIT_ASSERT(daemon->reports().empty());
    TestTrainer trainer(world, 3, 2);
    trainer.open(*daemon);
    trainer.poll(*daemon, kNoWait);
    trainer.version = core::WeightVersion(2);
    CPPUNIT_ASSERT(world.run_until([&] {
      daemon->observe_version(trainer.key, trainer.version);
      const auto reports = daemon->reports();
      return reports.size() == 1 && reports[0].running_attempts == 6 &&
             reports[0].oldest_staleness == 1u;
    }));
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 100;
    }
    CPPUNIT_ASSERT(world.run_until([&] { return daemon->reports()[0].samples_ready == 6; }));
    const rollout::StepReport ready = daemon->reports()[0];
    CPPUNIT_ASSERT(ready.event == trainer.key.event && ready.step == trainer.key.step);
    CPPUNIT_ASSERT(ready.epoch == trainer.epoch_seen && ready.samples_expected == 6);
    CPPUNIT_ASSERT(ready.since <= world.time.wall_now() && ready.oldest_staleness == 1u);
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    trainer.poll(*daemon, kNoWait);
    const rollout::StepReport held = daemon->reports()[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, held.samples_held);
    CPPUNIT_ASSERT(held.samples_ready == 0 && !held.oldest_staleness);
  }

  void replacement_ignores_another_step_s_streams() {
    StepWorld world;
    TestTrainer trainer(world, 1, 2);
    const auto first = world.daemon("first");
    trainer.open(*first);
    CPPUNIT_ASSERT(trainer.complete(*first));
    TestTrainer other(world, 1, 2);
    other.content.prompts = {"another prompt"};
    other.epoch_seen = trainer.epoch_seen;
    const auto second = world.daemon("second");
    other.open(*second);
    CPPUNIT_ASSERT(other.complete(*second));
    CPPUNIT_ASSERT_EQUAL(4u, world.generations());
  }

  void woken_daemon_is_fenced_by_the_trainer() {
    StepWorld world;
    TestTrainer trainer(world, 2, 2);
    const auto first = world.daemon("first");
    const auto second = world.daemon("second");
    trainer.open(*first);
    trainer.open(*second);
    CPPUNIT_ASSERT(trainer.poll(*first, kNoWait).error().code == ErrorCode::kFenced);
    CPPUNIT_ASSERT(trainer.poll(*first, kNoWait).error().code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first->open_steps());
    CPPUNIT_ASSERT(trainer.complete(*second));
    CPPUNIT_ASSERT(trainer.is_clean());
  }

  void woken_daemon_is_fenced_by_an_engine() {
    StepWorld world;
    world.parameters.concurrency = 1;
    world.apply_configuration();
    TestTrainer trainer(world, 2, 4);
    const auto first = world.daemon("first");
    const auto second = world.daemon("second");
    trainer.open(*first);
    const auto runner = *first->find(trainer.key, trainer.epoch_seen);
    trainer.poll(*first, kNoWait);
    trainer.open(*second);
    trainer.poll(*second, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return runner->stopped().has_value(); }));
    CPPUNIT_ASSERT(runner->stopped() == StepStopReason::kFenced);
    CPPUNIT_ASSERT(trainer.complete(*second));
    CPPUNIT_ASSERT(trainer.is_clean());
    const core::Epoch before = trainer.epoch_seen;
    CPPUNIT_ASSERT(trainer.open(*first)->epoch > before);
  }

  void published_version_ends_work_that_is_too_old() {
    StepWorld world;
    world.parameters.age_bound = 0;
    world.apply_configuration();
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 6;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 2, 2);
    trainer.open(*daemon);
    trainer.poll(*daemon, kShortWait);
    CPPUNIT_ASSERT(support::run_task(
        world.context, daemon->publish(core::PolicyName("policy"), core::WeightVersion(2), 1)));
    trainer.version = core::WeightVersion(2);
    for (const auto& engine : world.engines) {
      engine->version = core::WeightVersion(2);
      engine->tokens_allowed = 100;
    }
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
    CPPUNIT_ASSERT(world.generations() > 4);
  }

  void tightened_bound_drops_waiting_samples() {
    StepWorld world;
    world.publisher.newest_version = core::WeightVersion(2);
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 1, 3);
    trainer.version = core::WeightVersion(2);
    trainer.open(*daemon);
    const auto lost = trainer.poll(*daemon, std::chrono::seconds(5), false);
    CPPUNIT_ASSERT(!lost->samples.empty());
    world.parameters.age_bound = 0;
    world.apply_configuration();
    for (const auto& engine : world.engines) {
      engine->version = core::WeightVersion(2);
    }
    CPPUNIT_ASSERT(world.run_until([&] { return world.configuration.current(); }));
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
  }

  void groups_spread_over_engines() {
    StepWorld world;
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 3;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 6, 4);
    trainer.open(*daemon);
    trainer.poll(*daemon, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return world.generations() == 24; }));
    for (const auto& engine : world.engines) {
      CPPUNIT_ASSERT(engine->generations >= 6);
    }
  }

  void engines_with_old_weights_get_no_streams() {
    StepWorld world;
    world.engines[2]->version = core::WeightVersion(5);
    world.apply_routing(routing::ReplicaDigest{});
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 2, 2);
    trainer.version = core::WeightVersion(5);
    trainer.open(*daemon);
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
    CPPUNIT_ASSERT_EQUAL(4u, world.engines[2]->generations);
    CPPUNIT_ASSERT_EQUAL(4u, world.generations());
  }

  void straggler_is_moved() {
    StepWorld world;
    for (const auto& engine : world.engines) {
      engine->stream_length = 8;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 4, 2);
    trainer.open(*daemon);
    trainer.poll(*daemon, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return world.generations() == 8; }));
    for (auto& [id, stream] : world.engines[0]->streams) {
      stream.length = 20'000;
    }
    world.engines[0]->chunk_length = 1;
    routing::ReplicaDigest digest;
    digest.max_running = 10;
    digest.tokens_per_second = 1e6;
    world.event_template.max_tokens = 20'000;
    world.apply_configuration();
    world.apply_routing(digest);
    CPPUNIT_ASSERT(
        world.run_until([&] { return world.engines[1]->imports + world.engines[2]->imports > 0; }));
    for (const auto& engine : world.engines) {
      engine->chunk_length = 1000;
    }
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
  }

  void spares_fill_a_group() {
    StepWorld world;
    world.event_template.over_sampling = 0.5;
    world.apply_configuration();
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 1, 4);
    trainer.open(*daemon);
    trainer.poll(*daemon, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return world.generations() == 6; }));
    // Two of the group's regular streams never end; the spares fill their slots.
    std::size_t stuck = 0;
    for (const auto& engine : world.engines) {
      for (auto& [id, stream] : engine->streams) {
        const auto name = rollout::parse_stream_id(id);
        if (name->slot.sample < 2) {
          stream.length = 1'000'000'000;
          ++stuck;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stuck);
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    CPPUNIT_ASSERT(trainer.is_clean());
    const auto cancels = [&] {
      return world.engines[0]->cancels + world.engines[1]->cancels + world.engines[2]->cancels;
    };
    CPPUNIT_ASSERT(world.run_until([&] { return cancels() == 2; }));
  }

  void newer_poll_ends_the_older() {
    StepWorld world;
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 0;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 1, 1);
    trainer.open(*daemon);
    const auto runner = *daemon->find(trainer.key, trainer.epoch_seen);
    std::optional<core::Result<PollAnswer>> older;
    boost::asio::co_spawn(
        world.context,
        runner->poll(PollRequest{trainer.held, trainer.epoch_seen, std::chrono::seconds(60), 9}),
        [&](std::exception_ptr, core::Result<PollAnswer> answer) { older = std::move(answer); });
    trainer.poll(*daemon, kShortWait);
    CPPUNIT_ASSERT(world.run_until([&] { return older.has_value(); }));
    CPPUNIT_ASSERT((*older)->samples.empty());
    CPPUNIT_ASSERT(!(*older)->complete);
  }

  void trainer_that_lost_its_samples_gets_them_again() {
    StepWorld world;
    const auto daemon = world.daemon();
    TestTrainer before(world, 2, 2);
    before.open(*daemon);
    CPPUNIT_ASSERT(before.complete(*daemon));
    before.poll(*daemon, kNoWait);
    TestTrainer after(world, 2, 2);
    after.epoch_seen = before.epoch_seen;
    after.open(*daemon);
    CPPUNIT_ASSERT(after.complete(*daemon));
    CPPUNIT_ASSERT(after.is_clean());
    CPPUNIT_ASSERT_EQUAL(4u, world.generations());
  }

  void draining_refuses_new_steps_and_finishes_open_ones() {
    StepWorld world;
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 2, 2);
    trainer.open(*daemon);
    daemon->begin_drain();
    CPPUNIT_ASSERT(trainer.open(*daemon).has_value());
    TestTrainer late(world, 1, 1);
    late.key.step = core::StepNumber(2);
    const auto refused = late.open(*daemon);
    CPPUNIT_ASSERT(refused.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(refused.error().retry_after.has_value());
    CPPUNIT_ASSERT(!support::run_task(world.context, daemon->wait_until_idle(kNoWait)));
    CPPUNIT_ASSERT(trainer.complete(*daemon));
    trainer.poll(*daemon, kNoWait);
    CPPUNIT_ASSERT(support::run_task(world.context, daemon->wait_until_idle(kShortWait)));
  }

  void cancelled_step_frees_the_engines() {
    StepWorld world;
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 3;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 2, 2);
    trainer.open(*daemon);
    trainer.poll(*daemon, kNoWait);
    CPPUNIT_ASSERT(world.run_until([&] { return world.generations() == 4; }));
    CPPUNIT_ASSERT(daemon->cancel(trainer.key).has_value());
    const auto cancels = [&] {
      return world.engines[0]->cancels + world.engines[1]->cancels + world.engines[2]->cancels;
    };
    CPPUNIT_ASSERT(world.run_until([&] { return cancels() == 4; }));
    CPPUNIT_ASSERT(trainer.poll(*daemon, kNoWait).error().code == ErrorCode::kNotFound);
  }

  void concurrency_is_kept() {
    StepWorld world;
    world.parameters.concurrency = 3;
    world.apply_configuration();
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 3;
    }
    const auto daemon = world.daemon();
    TestTrainer trainer(world, 4, 2);
    trainer.open(*daemon);
    trainer.poll(*daemon, kShortWait);
    CPPUNIT_ASSERT_EQUAL(3u, world.generations());
    for (const auto& engine : world.engines) {
      engine->tokens_allowed = 100;
    }
    CPPUNIT_ASSERT(trainer.complete(*daemon));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepServiceTest);

}  // namespace
}  // namespace stoneport::steps
