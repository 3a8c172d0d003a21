/// \file
/// A process uses the same run number everywhere, even if time passes during its construction.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "node/holder_liveness.hpp"
#include "node/node.hpp"
#include "support/fake_record_store.hpp"
#include "support/fake_replica_client.hpp"

namespace stoneport::node {
namespace {

/// Clock that advances by a millisecond with each reading, as on a slow machine.
class TickingTimeSource : public core::TimeSource {
 public:
  core::MonotonicTime now() const override { return clock_.now(); }
  core::WallTime wall_now() const override {
    wall_ += std::chrono::milliseconds(1);
    return wall_;
  }

 private:
  core::SystemTimeSource clock_;
  mutable core::WallTime wall_{std::chrono::seconds(1'000'000)};
};

class NoJobs : public jobs::JobParser {
 public:
  core::Result<jobs::Job> parse(const jobs::JobSubmission&) const override {
    return core::make_error(core::ErrorCode::kInvalidArgument, "none");
  }
};

class NoDuties : public ports::DutyClient {
 public:
  boost::asio::awaitable<core::Result<void>> report_usage(ports::DutyHolder, ports::UsageReport,
                                                          core::Duration) override {
    co_return core::Result<void>();
  }
  boost::asio::awaitable<core::Result<void>> order_replicas(ports::DutyHolder, ports::ReplicaOrder,
                                                            core::Duration) override {
    co_return core::Result<void>();
  }
};

}  // namespace

class NodeIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeIncarnationTest);
  CPPUNIT_TEST(members_do_not_consider_a_new_process_ended);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against deriving the holder name and the member record from two clock readings. If they
  /// differ by a millisecond, every other process considers the holder of the term ended and bids
  /// for its term at once: with 71 machines, five terms began within 0.7 s.
  void members_do_not_consider_a_new_process_ended() {
    boost::asio::io_context context;
    support::FakeRecordStore store;
    support::FakeReplicaClient replicas;
    const NoJobs parser;
    const TickingTimeSource time;
    core::Metrics metrics;
    NoDuties duties;
    NodeSettings settings;
    settings.name = core::NodeId("node-1");
    const Node node({context.get_executor(), store, replicas, parser, time, metrics, duties},
                    settings);
    CPPUNIT_ASSERT(!node.members().empty());
    CPPUNIT_ASSERT(holder_liveness(node.life(), node.members()) == jobs::HolderStatus::kUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeIncarnationTest);

}  // namespace stoneport::node
