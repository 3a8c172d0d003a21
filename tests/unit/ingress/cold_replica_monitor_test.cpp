/// \file
/// Which replicas the metrics count as cold, and which services accept clients' requests.
#include "ingress/cold_replica_monitor.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "ingress/route_table.hpp"

namespace stoneport::ingress {

using std::chrono::seconds;

class ColdReplicaMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdReplicaMonitorTest);
  CPPUNIT_TEST(replicas_are_counted_while_they_are_cold);
  CPPUNIT_TEST(services_of_jobs_alone_are_the_coordinators);
  CPPUNIT_TEST_SUITE_END();

  static constexpr core::MonotonicTime kNow{seconds(100)};

  static ReplicaRecord record(const std::string& id, const std::string& zone,
                              core::MonotonicTime cold_until) {
    ReplicaRecord made;
    made.id = core::ReplicaId(id);
    made.service = core::ServiceName("models");
    made.zone = core::ZoneName(zone);
    made.cold_until = cold_until;
    return made;
  }
  static Route route(const std::string& name, RouteKind kind,
                     const std::vector<std::string>& services) {
    Route made;
    made.name = name;
    made.host = name;
    made.path_prefix = "/";
    made.kind = kind;
    for (const std::string& service : services) {
      made.targets.push_back({core::ServiceName(service), 1});
    }
    return made;
  }

  void replicas_are_counted_while_they_are_cold() {
    core::Metrics metrics;
    ColdReplicaMonitor monitor(metrics);
    ReplicaDirectory directory;
    directory.apply(
        {{record("a", "x", kNow + seconds(2)), record("b", "y", {}), record("c", "y", {})}, {}});
    monitor.update(directory, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor.cold());
    for (const char* replica : {"b", "c"}) {
      directory.gate().cold_rate_limiter().presume_cold(core::ReplicaId(replica),
                                                        kNow + seconds(5));
    }
    monitor.update(directory, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, monitor.cold());
    CPPUNIT_ASSERT_EQUAL(3.0, metrics.gauge("stoneport_cold_replicas", "").Value());
    monitor.update(directory, kNow + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, monitor.cold());
    monitor.update(directory, kNow + seconds(6));
    CPPUNIT_ASSERT_EQUAL(0.0, metrics.gauge("stoneport_cold_replicas", "").Value());
  }

  void services_of_jobs_alone_are_the_coordinators() {
    eligibility::ColdStarts starts;
    for (const char* service : {"texts", "desk", "both", "unused"}) {
      starts[core::ServiceName(service)] = {seconds(3), 9.5, false};
    }
    const RouteTable table(1,
                           {route("jobs", RouteKind::kRollout, {"texts", "both"}),
                            route("calls", RouteKind::kRepeatable, {"desk"}),
                            route("chat", RouteKind::kStream, {"both"})},
                           ClientLimits(), {}, {}, starts);
    const auto takes_clients = [&](const char* service) {
      return table.cold_starts().at(core::ServiceName(service)).takes_clients;
    };
    CPPUNIT_ASSERT(!takes_clients("texts"));
    CPPUNIT_ASSERT(takes_clients("desk"));
    CPPUNIT_ASSERT(takes_clients("both"));
    CPPUNIT_ASSERT(!takes_clients("unused"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdReplicaMonitorTest);

}  // namespace stoneport::ingress
