/// \file
/// Table-driven tests that build the routing table from the machine list, reports, drain
/// marks and refused connections.
#include "controllers/routing_table_builder.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;
using ports::Machine;
using ports::MachineRole;
using ports::MachineState;
using routing::ReplicaState;

const core::MonotonicTime kNow{1h};
const core::ReplicaId kReplica("engine-1");

struct Scene {
  std::vector<Machine> machines;
  ReplicaReports reports;
  DrainMarks marks;
  Refusals refusals;

  Scene() {
    Machine machine;
    machine.id = kReplica.value();
    machine.role = MachineRole::kEngine;
    machine.serves = "compounds";
    machine.address = {"127.0.0.1", 9000};
    machine.incarnation = core::Incarnation(4);
    machines.push_back(machine);
  }
  wire::ReplicaReport report(std::uint64_t incarnation = 4) const {
    wire::ReplicaReport report;
    report.replica = kReplica;
    report.incarnation = core::Incarnation(incarnation);
    report.reachable = true;
    report.running = 5;
    report.kv_used_permille = 250;
    report.version = core::WeightVersion(7);
    report.cached_prefixes = std::vector<std::uint64_t>{9, 3};
    return report;
  }
  void add_report(wire::ReplicaReport report, core::Duration ago,
                  const std::string& watcher = "w1") {
    reports.add(core::NodeId(watcher), std::move(report), kNow - ago);
  }
  RoutingInputs inputs() const { return {machines, reports, marks, refusals, kNow}; }
  routing::Replica built() const {
    return build_routing_table(inputs()).models.at(core::ModelName("compounds")).front();
  }
};

struct StateCase {
  const char* name;
  std::function<void(Scene&)> arrange;
  ReplicaState expected;
  std::size_t new_marks;
};

class RoutingTableBuilderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTableBuilderTest);
  CPPUNIT_TEST(replica_states);
  CPPUNIT_TEST(digests_carry_what_was_reported);
  CPPUNIT_TEST(services_and_models_are_separate_and_sorted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void replica_states() {
    const auto gone = [](Scene& scene) {
      wire::ReplicaReport report = scene.report();
      report.reachable = false;
      return report;
    };
    const auto leaving = [](Scene& scene, std::uint64_t incarnation) {
      wire::ReplicaReport report = scene.report(incarnation);
      report.leaving = true;
      return report;
    };
    const std::vector<StateCase> cases = {
        {"listed without a report", [](Scene&) {}, ReplicaState::kUsable, 0},
        {"reported", [](Scene& scene) { scene.add_report(scene.report(), 1s); },
         ReplicaState::kUsable, 0},
        {"last report too old", [](Scene& scene) { scene.add_report(scene.report(), 30s); },
         ReplicaState::kSuspect, 0},
        {"unreachable", [&](Scene& scene) { scene.add_report(gone(scene), 1s); },
         ReplicaState::kDown, 0},
        {"unreachable for only one watcher",
         [&](Scene& scene) {
           scene.add_report(gone(scene), 1s, "w1");
           scene.add_report(scene.report(), 2s, "w2");
         },
         ReplicaState::kUsable, 0},
        {"listed as leaving",
         [](Scene& scene) { scene.machines[0].state = MachineState::kLeaving; },
         ReplicaState::kLeaving, 1},
        {"reports that it is leaving",
         [&](Scene& scene) { scene.add_report(leaving(scene, 4), 1s); }, ReplicaState::kLeaving, 1},
        {"marked", [](Scene& scene) { scene.marks[kReplica] = core::Incarnation(4); },
         ReplicaState::kLeaving, 0},
        {"marked, listed as leaving and reporting it",
         [&](Scene& scene) {
           scene.marks[kReplica] = core::Incarnation(4);
           scene.machines[0].state = MachineState::kLeaving;
           scene.add_report(leaving(scene, 4), 1s);
         },
         ReplicaState::kLeaving, 0},
        {"marked, and an outdated list shows it as live",
         [](Scene& scene) {
           scene.marks[kReplica] = core::Incarnation(4);
           scene.add_report(scene.report(4), 1s);
         },
         ReplicaState::kLeaving, 0},
        {"marked, and restarted with a new incarnation",
         [](Scene& scene) {
           scene.marks[kReplica] = core::Incarnation(4);
           scene.add_report(scene.report(5), 1s);
         },
         ReplicaState::kUsable, 0},
        {"listed as leaving in a previous incarnation",
         [](Scene& scene) {
           scene.machines[0].state = MachineState::kLeaving;
           scene.add_report(scene.report(5), 1s);
         },
         ReplicaState::kUsable, 0},
        {"an old report of leaving after the list has a new incarnation",
         [&](Scene& scene) { scene.add_report(leaving(scene, 3), 1s); }, ReplicaState::kUsable, 0},
        {"refused our connection",
         [](Scene& scene) {
           scene.add_report(scene.report(), 2s);
           scene.refusals[scene.machines[0].address] = kNow - 1s;
         },
         ReplicaState::kDown, 0},
        {"refused our connection, and a watcher reached it later",
         [](Scene& scene) {
           scene.add_report(scene.report(), 500ms);
           scene.refusals[scene.machines[0].address] = kNow - 1s;
         },
         ReplicaState::kUsable, 0},
        {"refused long ago",
         [](Scene& scene) { scene.refusals[scene.machines[0].address] = kNow - 6s; },
         ReplicaState::kUsable, 0},
    };
    for (const StateCase& one : cases) {
      Scene scene;
      one.arrange(scene);
      CPPUNIT_ASSERT_MESSAGE(one.name, scene.built().state == one.expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.new_marks,
                                   missing_drain_marks(scene.inputs()).size());
    }
  }

  void digests_carry_what_was_reported() {
    Scene scene;
    scene.add_report(scene.report(), 3s);
    wire::ReplicaReport later = scene.report();
    later.cached_prefixes = std::nullopt;
    later.running = 6;
    scene.add_report(later, 1s);
    const routing::Replica replica = scene.built();
    CPPUNIT_ASSERT(replica.digest.has_value());
    CPPUNIT_ASSERT(replica.digest->taken_at == kNow - 1s);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, replica.digest->running);
    CPPUNIT_ASSERT_EQUAL(0.25, replica.digest->kv_used_ratio);
    CPPUNIT_ASSERT(replica.digest->version == core::WeightVersion(7));
    CPPUNIT_ASSERT((replica.digest->cached_prefixes == std::vector<std::uint64_t>{3, 9}));
  }

  void services_and_models_are_separate_and_sorted() {
    Scene scene;
    for (const char* id : {"desk-2", "desk-1"}) {
      Machine machine = scene.machines[0];
      machine.id = id;
      machine.role = MachineRole::kService;
      machine.serves = "desk";
      scene.machines.push_back(machine);
    }
    Machine node;
    node.id = "node-1";
    scene.machines.push_back(node);
    const routing::RoutingTable table = build_routing_table(scene.inputs());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.models.size());
    const auto& desk = table.services.at(core::ServiceName("desk"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, desk.size());
    CPPUNIT_ASSERT(desk[0].id == core::ReplicaId("desk-1"));
    CPPUNIT_ASSERT(!desk[0].digest.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTableBuilderTest);

}  // namespace
}  // namespace stoneport::controllers
