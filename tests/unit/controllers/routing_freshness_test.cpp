/// \file
/// Tests when a routing table counts as current, as a table of calls and results.
#include "controllers/routing_freshness.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace stoneport::controllers {
namespace {

using std::chrono::milliseconds;

core::MonotonicTime at(int ms) {
  return core::MonotonicTime(milliseconds(ms));
}

struct Call {
  int at_ms;
  bool gossip_current;
  bool current;        ///< expected result
  int table_until_ms;  ///< expected end of validity of a table built now
};

struct Case {
  std::string name;
  std::vector<Call> calls;
};

class RoutingFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingFreshnessTest);
  CPPUNIT_TEST(calls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void calls() {
    const std::vector<Case> cases = {
        {"regular updates", {{100, true, true, 4100}, {200, true, true, 4200}}},
        {"busy for less than a pause", {{100, true, true, 4100}, {1500, true, true, 5500}}},
        {"frozen, then gossip catches up",
         {{100, true, true, 4100},
          {10100, false, false, 4100},
          {10200, false, false, 4100},
          {10300, true, true, 14300}}},
        {"frozen, no member answers",
         {{100, true, true, 4100},
          {10100, false, false, 4100},
          {11000, false, false, 4100},
          {11100, false, true, 15100},
          {11200, false, true, 15200}}},
        {"frozen again while waiting",
         {{100, true, true, 4100},
          {10100, false, false, 4100},
          {20100, false, false, 4100},
          {21000, false, false, 4100},
          {21100, false, true, 25100}}},
        {"frozen again after no member answered",
         {{100, true, true, 4100},
          {10100, false, false, 4100},
          {11100, false, true, 15100},
          {30100, false, false, 15100},
          {31100, false, true, 35100}}},
        {"busy for two seconds, late catch-up: the table remains valid",
         {{100, true, true, 4100}, {2100, false, false, 4100}, {3000, true, true, 7000}}},
        {"busy for two seconds, no member answers: the table remains valid",
         {{100, true, true, 4100}, {2100, false, false, 4100}, {3100, false, true, 7100}}},
    };
    for (const Case& sequence : cases) {
      RoutingFreshness freshness;
      for (const Call& call : sequence.calls) {
        const std::string where = sequence.name + " at " + std::to_string(call.at_ms);
        const bool current = freshness.update(call.gossip_current, at(call.at_ms));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, call.current, current);
        CPPUNIT_ASSERT_MESSAGE(where, freshness.current_until() == at(call.table_until_ms));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingFreshnessTest);

}  // namespace
}  // namespace stoneport::controllers
