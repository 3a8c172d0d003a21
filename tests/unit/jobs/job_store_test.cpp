/// \file
/// Accepting, ending and reading jobs with a store that loses answers, applies writes late, is down
/// or returns stale state.
#include "jobs/job_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "support/fake_record_store.hpp"
#include "support/run_task.hpp"

namespace stoneport::jobs {

using core::ErrorCode;

class JobStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobStoreTest);
  CPPUNIT_TEST(acceptance_reports_whether_it_is_durable);
  CPPUNIT_TEST(a_job_is_accepted_once);
  CPPUNIT_TEST(a_refused_job_never_exists);
  CPPUNIT_TEST(a_lost_store_is_not_waited_for);
  CPPUNIT_TEST(large_bodies_are_read_back_unchanged);
  CPPUNIT_TEST(stale_reads_are_never_returned);
  CPPUNIT_TEST(unknown_jobs_are_distinguished_from_an_unavailable_store);
  CPPUNIT_TEST(ending_a_job_is_idempotent);
  CPPUNIT_TEST(a_job_is_hidden_from_other_tenants);
  CPPUNIT_TEST(records_without_a_tenant_are_read_as_before);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      settings.call_timeout = std::chrono::milliseconds(60);
      settings.retry_pause = std::chrono::milliseconds(5);
      jobs = std::make_unique<JobStore>(store, time, metrics, settings);
    }
    template <class Value>
    Value run(boost::asio::awaitable<Value> task) {
      return support::run_task(context, std::move(task));
    }
    core::Result<void> accept(const std::string& id, std::string body = "{}") {
      JobSubmission submission{id, "host", "/jobs/", std::move(body)};
      return run(jobs->accept(std::move(submission), 1));
    }
    boost::asio::io_context context;
    support::FakeRecordStore store;
    core::SystemTimeSource time;
    core::Metrics metrics;
    JobStoreSettings settings;
    std::unique_ptr<JobStore> jobs;
  };

  void acceptance_reports_whether_it_is_durable() {
    struct Case {
      std::string name;
      std::function<void(support::FakeRecordStore&)> fault;
      std::optional<ErrorCode> error;
      bool is_there;
    };
    const Case cases[] = {
        {"calm", [](auto&) {}, std::nullopt, true},
        {"answer lost", [](auto& store) { store.faults.lose_answers = 1; }, std::nullopt, true},
        {"request lost", [](auto& store) { store.faults.lose_requests = 1; }, std::nullopt, true},
        {"all answers lost", [](auto& store) { store.faults.lose_requests = 1000; },
         ErrorCode::kOutcomeUnknown, false},
        {"down", [](auto& store) { store.faults.down = true; }, ErrorCode::kUnavailable, false},
    };
    for (const Case& one : cases) {
      World world;
      one.fault(world.store);
      const core::Result<void> accepted = world.accept("job");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, !one.error.has_value(), accepted.has_value());
      if (one.error) {
        CPPUNIT_ASSERT_MESSAGE(one.name, *one.error == accepted.error().code);
      }
      const bool is_there = world.store.table(kIndexTable).contains("job");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.is_there, is_there);
    }
  }

  void a_job_is_accepted_once() {
    World world;
    world.store.faults.act_late = 1;
    CPPUNIT_ASSERT(world.accept("job", "first").has_value());
    CPPUNIT_ASSERT(world.accept("job", "second").has_value());
    world.store.apply_late();
    const auto bodies = world.store.table(kBodyTable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bodies.size());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), bodies.begin()->second);
  }

  void a_refused_job_never_exists() {
    // A delayed write may still be applied later, so only "unknown" may be reported.
    World world;
    world.store.faults.act_late = 1000;
    const core::Result<void> accepted = world.accept("job");
    CPPUNIT_ASSERT(!accepted && accepted.error().code == ErrorCode::kOutcomeUnknown);
    world.store.apply_late();
    CPPUNIT_ASSERT(world.store.table(kIndexTable).contains("job"));
  }

  /// Guards against a machine that is disconnected from the store holding jobs for 2.9 s before it
  /// refuses them (docs/incidents/2026-12-02-abay-cut-machine.md).
  void a_lost_store_is_not_waited_for() {
    for (const bool is_lost : {false, true}) {
      World world;
      world.settings.call_timeout = std::chrono::milliseconds(700);
      world.settings.call_timeout_when_lost = std::chrono::milliseconds(100);
      world.jobs =
          std::make_unique<JobStore>(world.store, world.time, world.metrics, world.settings);
      world.store.faults.down = true;
      world.store.silent_for = std::chrono::milliseconds(is_lost ? 2500 : 100);
      const auto started = std::chrono::steady_clock::now();
      const auto refused = world.accept("job");
      const auto read = world.run(world.jobs->read({}, "job", 0, core::Duration(0)));
      const auto held = std::chrono::steady_clock::now() - started;
      CPPUNIT_ASSERT(!refused && refused.error().code == ErrorCode::kUnavailable);
      CPPUNIT_ASSERT(!read && read.error().code == ErrorCode::kUnavailable);
      CPPUNIT_ASSERT_EQUAL(is_lost, held < std::chrono::milliseconds(600));
    }
  }

  void large_bodies_are_read_back_unchanged() {
    World world;
    world.store.store_limits.record_bytes = 100;
    world.store.page_size = 3;
    const std::string body(1234, 'b');
    CPPUNIT_ASSERT(world.accept("job", body).has_value());
    CPPUNIT_ASSERT(world.accept("job2", "other").has_value());
    const auto read = world.run(world.jobs->submission("job"));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(body, read->body);
    CPPUNIT_ASSERT_EQUAL(std::string("/jobs/"), read->path);
    // A body that exceeds a transaction is written ahead; its index record comes last.
    World large;
    large.store.store_limits.transaction_bytes = 20'000;
    large.store.store_limits.record_bytes = 1'000;
    const std::string large_body(100'000, 'l');
    large.store.faults.lose_answers = 3;
    CPPUNIT_ASSERT(large.accept("job", large_body).has_value());
    CPPUNIT_ASSERT(large.store.commits >= 8);
    const auto read_large = large.run(large.jobs->submission("job"));
    CPPUNIT_ASSERT(read_large.has_value());
    CPPUNIT_ASSERT_EQUAL(large_body, read_large->body);
    CPPUNIT_ASSERT(large.accept("job", large_body).has_value());
    // If interrupted half way, the job does not exist.
    World half;
    half.store.store_limits = large.store.store_limits;
    half.store.fail_after(3);
    const auto refused = half.accept("job", large_body);
    CPPUNIT_ASSERT(!refused && refused.error().code == ErrorCode::kUnavailable);
    CPPUNIT_ASSERT(half.store.table(kIndexTable).empty());
  }

  void stale_reads_are_never_returned() {
    World world;
    world.store.freeze_reads();
    CPPUNIT_ASSERT(world.accept("job").has_value());
    world.store.faults.stale = true;
    const auto unsure = world.run(world.jobs->read({}, "job", 0, core::Duration(0)));
    CPPUNIT_ASSERT(!unsure && unsure.error().code == ErrorCode::kUnavailable);
    world.store.faults.stale = false;
    const auto read = world.run(world.jobs->read({}, "job", 0, core::Duration(0)));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, read->total);
  }

  void unknown_jobs_are_distinguished_from_an_unavailable_store() {
    World world;
    const auto unknown = world.run(world.jobs->read({}, "job", 0, core::Duration(0)));
    CPPUNIT_ASSERT(!unknown && unknown.error().code == ErrorCode::kNotFound);
    world.store.faults.down = true;
    const auto unsure = world.run(world.jobs->read({}, "job", 0, core::Duration(0)));
    CPPUNIT_ASSERT(!unsure && unsure.error().code == ErrorCode::kUnavailable);
    const auto bad_name = world.run(world.jobs->read({}, "a/b", 0, core::Duration(0)));
    CPPUNIT_ASSERT(!bad_name && bad_name.error().code == ErrorCode::kNotFound);
  }

  void ending_a_job_is_idempotent() {
    World world;
    const auto unknown = world.run(world.jobs->end({}, "job"));
    CPPUNIT_ASSERT(!unknown && unknown.error().code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT(world.accept("job").has_value());
    world.store.faults.lose_answers = 1;
    for (int call = 0; call < 3; ++call) {
      CPPUNIT_ASSERT(world.run(world.jobs->end({}, "job")).has_value());
    }
    world.store.faults.down = true;
    const auto unsure = world.run(world.jobs->end({}, "job"));
    CPPUNIT_ASSERT(!unsure && unsure.error().code == ErrorCode::kUnavailable);
  }

  void a_job_is_hidden_from_other_tenants() {
    const core::TenantName north("north");
    const core::TenantName south("south");
    const core::TenantName nobody;
    World world;
    const auto submit = [&](const core::TenantName& tenant) {
      JobSubmission submission{"job", "host", "/jobs/", "{}", tenant};
      return world.run(world.jobs->accept(std::move(submission), 1));
    };
    CPPUNIT_ASSERT(submit(north).has_value());
    CPPUNIT_ASSERT(submit(north).has_value());
    for (const core::TenantName& other : {south, nobody}) {
      const auto taken = submit(other);
      CPPUNIT_ASSERT(!taken && taken.error().code == ErrorCode::kInvalidArgument);
      const auto read = world.run(world.jobs->read(other, "job", 0, core::Duration(0)));
      CPPUNIT_ASSERT(!read && read.error().code == ErrorCode::kNotFound);
      const auto body = world.run(world.jobs->submission_for(other, "job"));
      CPPUNIT_ASSERT(!body && body.error().code == ErrorCode::kNotFound);
      const auto ended = world.run(world.jobs->end(other, "job"));
      CPPUNIT_ASSERT(!ended && ended.error().code == ErrorCode::kNotFound);
    }
    const auto body = world.run(world.jobs->submission_for(north, "job"));
    CPPUNIT_ASSERT(body && body->tenant == north);
    CPPUNIT_ASSERT(world.run(world.jobs->read(north, "job", 0, core::Duration(0))).has_value());
    CPPUNIT_ASSERT(world.run(world.jobs->end(north, "job")).has_value());
  }

  void records_without_a_tenant_are_read_as_before() {
    World world;
    ports::RecordTransaction former;
    former.partition = std::string(kSubmissionPartition);
    former.writes.push_back({std::string(kIndexTable), "job",
                             R"({"host":"h","path":"/p/","items":2,"chunks":1,"accepted_ms":5})"});
    world.store.apply(former);
    const auto read =
        world.run(world.jobs->read(core::TenantName("north"), "job", 0, core::Duration(0)));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, read->total);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStoreTest);

}  // namespace stoneport::jobs
