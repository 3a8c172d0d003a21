/// \file
/// Every decision event has a unique name and a row in docs/LOGS.md.
#include "core/decision_log.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

namespace stoneport::core {

class DecisionLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionLogTest);
  CPPUNIT_TEST(each_event_is_named_once_and_documented);
  CPPUNIT_TEST_SUITE_END();

  void each_event_is_named_once_and_documented() {
    std::ifstream file("docs/LOGS.md");
    std::stringstream page;
    page << file.rdbuf();
    std::set<std::string> names;
    for (int value = 0; value <= static_cast<int>(DecisionEvent::kLast); ++value) {
      const std::string name(to_string(static_cast<DecisionEvent>(value)));
      CPPUNIT_ASSERT_MESSAGE(name, name != "unknown");
      CPPUNIT_ASSERT_MESSAGE(name, names.insert(name).second);
      CPPUNIT_ASSERT_MESSAGE(name + " has no row in docs/LOGS.md",
                             page.str().find("| `" + name + "` |") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

}  // namespace stoneport::core
