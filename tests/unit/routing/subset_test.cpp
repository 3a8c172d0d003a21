#include "routing/subset.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "unit/routing/routing_fixture.hpp"

namespace stoneport::routing_test {
using routing::Replica;
using routing::ReplicaState;

namespace {

std::vector<Replica> fleet(int count) {
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  std::vector<Replica> replicas;
  for (int index = 0; index < count; ++index) {
    replicas.push_back(make_replica("r" + std::to_string(1000 + index), zones[index % 3]));
  }
  return replicas;
}

std::set<std::string> ids(const std::string& node, const std::vector<Replica>& replicas,
                          std::size_t size) {
  const routing::SubsetOwner owner{core::NodeId(node), core::ZoneName("zone-a")};
  std::set<std::string> result;
  for (const Replica* replica : routing::choose_subset(owner, replicas, size)) {
    result.insert(replica->id.value());
  }
  return result;
}

int difference(const std::set<std::string>& left, const std::set<std::string>& right) {
  return static_cast<int>(
      std::count_if(left.begin(), left.end(), [&](const auto& id) { return !right.contains(id); }));
}

}  // namespace

class SubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubsetTest);
  CPPUNIT_TEST(sizes_and_zones);
  CPPUNIT_TEST(a_change_moves_only_its_own_place);
  CPPUNIT_TEST(owners_spread_over_all_replicas);
  CPPUNIT_TEST_SUITE_END();

 public:
  void sizes_and_zones() {
    struct Case {
      int replicas;
      std::size_t size;
      std::size_t expected;
      std::size_t expected_local;
    };
    const std::vector<Case> cases = {
        {0, 16, 0, 0}, {3, 16, 3, 1}, {30, 16, 16, 8}, {30, 5, 5, 3}, {30, 0, 0, 0}, {9, 8, 8, 3},
    };
    for (const Case& test : cases) {
      const std::vector<Replica> replicas = fleet(test.replicas);
      const routing::SubsetOwner owner{core::NodeId("node"), core::ZoneName("zone-a")};
      const auto subset = routing::choose_subset(owner, replicas, test.size);
      const auto local = std::count_if(subset.begin(), subset.end(), [](const Replica* replica) {
        return replica->zone == core::ZoneName("zone-a");
      });
      CPPUNIT_ASSERT_EQUAL(test.expected, subset.size());
      CPPUNIT_ASSERT_EQUAL(test.expected_local, static_cast<std::size_t>(local));
    }
  }

  void a_change_moves_only_its_own_place() {
    const std::vector<Replica> before = fleet(60);
    for (int node = 0; node < 50; ++node) {
      const std::string name = "node-" + std::to_string(node);
      const auto subset = ids(name, before, 16);
      for (const ReplicaState state :
           {ReplicaState::kLeaving, ReplicaState::kDown, ReplicaState::kSuspect}) {
        std::vector<Replica> after = before;
        after[7].state = state;
        const bool stays = state == ReplicaState::kSuspect;
        const int moved = !stays && subset.contains(after[7].id.value()) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(moved, difference(subset, ids(name, after, 16)));
        CPPUNIT_ASSERT_EQUAL(subset.size(), ids(name, after, 16).size());
      }
      std::vector<Replica> grown = before;
      grown.push_back(make_replica("new", "zone-b"));
      CPPUNIT_ASSERT(difference(subset, ids(name, grown, 16)) <= 1);
    }
  }

  void owners_spread_over_all_replicas() {
    const std::vector<Replica> replicas = fleet(60);
    std::map<std::string, int> owners;
    for (int node = 0; node < 330; ++node) {
      for (const std::string& id : ids("node-" + std::to_string(node), replicas, 16)) {
        ++owners[id];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(60), owners.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubsetTest);

}  // namespace stoneport::routing_test
