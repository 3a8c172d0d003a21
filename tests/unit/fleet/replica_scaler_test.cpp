/// \file
/// Orders of spot replicas: recorded before they are sent, repeated until accepted, taken over by
/// the next coordinator, and never sent by a process that is not sure of its term.
#include "fleet/replica_scaler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "support/fake_record_store.hpp"

namespace stoneport::fleet {

using std::chrono::milliseconds;

namespace {
constexpr core::Duration kPause = milliseconds(120);
constexpr const char* kOrderTable = "stoneport-spot-order";

class FakePlatform : public ports::DutyClient {
 public:
  struct Taken {
    ports::DutyHolder holder;
    ports::ReplicaOrder order;
    std::string stored;  ///< content of the store when the order arrived
    core::MonotonicTime at;
  };
  explicit FakePlatform(support::FakeRecordStore& store) : store_(store) {}

  boost::asio::awaitable<core::Result<void>> report_usage(ports::DutyHolder, ports::UsageReport,
                                                          core::Duration) override {
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> order_replicas(ports::DutyHolder holder,
                                                            ports::ReplicaOrder order,
                                                            core::Duration) override {
    ++calls;
    if (refusals > 0) {
      --refusals;
      co_return core::make_error(core::ErrorCode::kConflict, "none there");
    }
    const auto rows = store_.table(kOrderTable);
    const auto row = rows.find(order.service.value() + "/" + order.zone.value());
    taken.push_back(
        {std::move(holder), std::move(order), row == rows.end() ? "" : row->second, time_.now()});
    co_return core::Result<void>();
  }

  int refusals = 0;
  int calls = 0;
  std::vector<Taken> taken;

 private:
  support::FakeRecordStore& store_;
  core::SystemTimeSource time_;
};
}  // namespace

class ReplicaScalerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaScalerTest);
  CPPUNIT_TEST(nothing_is_ordered_while_steps_are_on_time);
  CPPUNIT_TEST(late_steps_order_replicas_which_are_returned_later);
  CPPUNIT_TEST(a_refused_order_is_retried_after_a_pause);
  CPPUNIT_TEST(the_next_coordinator_waits_and_returns_replicas);
  CPPUNIT_TEST(nothing_is_sent_without_the_term);
  CPPUNIT_TEST_SUITE_END();

  struct World {
    World() {
      ingress::ScalingByService scaling;
      scaling[service] = {24, {}};
      ingress::Route route;
      route.kind = ingress::RouteKind::kRollout;
      route.targets = {{service, 1}};
      route.run_deadline = milliseconds(100);
      table = std::make_shared<ingress::RouteTable>(1, std::vector<ingress::Route>{route},
                                                    ingress::ClientLimits(), tenants::TenantTable(),
                                                    scaling);
      routes.offer(table);
      ingress::ReplicaRecord record;
      record.id = core::ReplicaId("model-0");
      record.service = service;
      record.zone = core::ZoneName("a");
      record.slots = 6;
      directory.update({record});
      job = std::make_shared<jobs::OpenJob>();
      job->table = table;
      job->route = &table->routes().front();
      job->items.resize(30);
    }

    /// Opens the job as accepted \p age ago.
    void accept_job(core::Duration age) {
      const auto ago = std::chrono::duration_cast<ports::StoreTime>(age);
      job->entry.accepted_at = *store.now() - ago;
      open = {job};
    }

    std::shared_ptr<ReplicaScaler> hold(std::uint64_t epoch, const std::string& holder) {
      ports::RecordTransaction bid;
      bid.partition = std::string(jobs::kTermPartition);
      bid.writes.push_back({std::string(jobs::kTermTable), std::string(jobs::kTermKey),
                            jobs::encode_term({epoch, holder})});
      const core::Revision revision = *store.apply(bid);
      jobs::TermContext term{
          {core::Epoch(epoch), revision, {}}, [this] { return is_sure; }, [this] { return open; }};
      ReplicaScalerSettings settings;
      settings.holder = holder;
      settings.plan.hold = milliseconds(150);
      settings.fence = {kPause, milliseconds(50)};
      settings.tick = milliseconds(5);
      settings.no_capacity_pause = milliseconds(60);
      ReplicaScaler::Inputs inputs{
          context.get_executor(), store, reader, platform, routes, directory, time, metrics};
      auto scaler = std::make_shared<ReplicaScaler>(std::move(inputs), std::move(term), settings);
      scaler->start();
      return scaler;
    }
    void run_for(milliseconds length) {
      context.restart();
      context.run_for(length);
    }
    std::vector<std::uint32_t> ordered() const {
      std::vector<std::uint32_t> counts;
      for (const FakePlatform::Taken& taken : platform.taken) {
        counts.push_back(taken.order.count);
      }
      return counts;
    }

    const core::ServiceName service{"models"};
    support::FakeRecordStore store;
    FakePlatform platform{store};
    core::SystemTimeSource time;
    core::Metrics metrics;
    jobs::JobStore reader{store, time, metrics};
    std::shared_ptr<const ingress::RouteTable> table;
    ingress::RouteTableHolder routes;
    ingress::ReplicaDirectory directory;
    std::shared_ptr<jobs::OpenJob> job;
    std::vector<jobs::OpenJobPointer> open;
    bool is_sure = true;
    boost::asio::io_context context;
  };
  using Counts = std::vector<std::uint32_t>;

  void nothing_is_ordered_while_steps_are_on_time() {
    World world;
    world.accept_job(milliseconds(0));
    const auto scaler = world.hold(1, "one");
    world.run_for(milliseconds(60));
    scaler->stop();
    CPPUNIT_ASSERT_EQUAL(0, world.platform.calls);
  }

  void late_steps_order_replicas_which_are_returned_later() {
    World world;
    world.accept_job(milliseconds(200));
    const auto scaler = world.hold(1, "one");
    world.run_for(milliseconds(60));
    // 30 texts need five replicas with six slots each; one exists.
    CPPUNIT_ASSERT(world.ordered() == Counts({4}));
    const FakePlatform::Taken& taken = world.platform.taken.front();
    CPPUNIT_ASSERT(taken.order.spot);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), taken.order.zone.value());
    CPPUNIT_ASSERT_EQUAL(std::string("4"), taken.stored);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, taken.holder.fence.value());
    world.open.clear();
    world.run_for(milliseconds(400));
    scaler->stop();
    CPPUNIT_ASSERT(world.ordered() == Counts({4, 0}));
  }

  void a_refused_order_is_retried_after_a_pause() {
    World world;
    world.accept_job(milliseconds(200));
    world.platform.refusals = 2;
    const auto scaler = world.hold(1, "one");
    world.run_for(milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(1, world.platform.calls);
    world.run_for(milliseconds(250));
    scaler->stop();
    CPPUNIT_ASSERT(!world.platform.taken.empty());
    CPPUNIT_ASSERT_EQUAL(4u, world.platform.taken.front().order.count);
  }

  void the_next_coordinator_waits_and_returns_replicas() {
    World world;
    world.accept_job(milliseconds(200));
    const auto former = world.hold(1, "one");
    world.run_for(milliseconds(60));
    former->stop();
    world.open.clear();
    const auto later = world.hold(2, "two");
    world.run_for(milliseconds(600));
    later->stop();
    CPPUNIT_ASSERT(world.ordered() == Counts({4, 4, 0}) || world.ordered() == Counts({4, 0}));
    const std::vector<FakePlatform::Taken>& taken = world.platform.taken;
    CPPUNIT_ASSERT(taken[1].at - taken[0].at >= kPause - milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, taken.back().holder.fence.value());
    CPPUNIT_ASSERT_EQUAL(std::string("two"), taken.back().holder.name);
  }

  void nothing_is_sent_without_the_term() {
    World unsure;
    unsure.accept_job(milliseconds(200));
    unsure.is_sure = false;
    const auto scaler = unsure.hold(1, "one");
    unsure.run_for(milliseconds(60));
    scaler->stop();
    CPPUNIT_ASSERT_EQUAL(0, unsure.platform.calls);
    World deposed;
    deposed.accept_job(milliseconds(200));
    const auto former = deposed.hold(1, "one");
    const auto later = deposed.hold(2, "two");
    later->stop();
    deposed.run_for(milliseconds(60));
    former->stop();
    CPPUNIT_ASSERT_EQUAL(0, deposed.platform.calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaScalerTest);

}  // namespace stoneport::fleet
