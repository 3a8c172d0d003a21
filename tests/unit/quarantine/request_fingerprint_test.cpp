/// \file
/// Which requests have the same fingerprint.
#include "quarantine/request_fingerprint.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace stoneport::quarantine {

class RequestFingerprintTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFingerprintTest);
  CPPUNIT_TEST(each_part_counts);
  CPPUNIT_TEST_SUITE_END();

  void each_part_counts() {
    const RequestContent contents[] = {
        {"north", "POST", "host", "/a", "body"},   {"south", "POST", "host", "/a", "body"},
        {"north", "PUT", "host", "/a", "body"},    {"north", "POST", "host2", "/a", "body"},
        {"north", "POST", "host", "/a?b", "body"}, {"north", "POST", "host", "/a", "body2"},
        {"north", "POST", "host", "/ab", "ody"},
    };
    std::set<std::string> names;
    for (const RequestContent& content : contents) {
      const std::string name = fingerprint_of(content).value();
      CPPUNIT_ASSERT_EQUAL(std::size_t{32}, name.size());
      CPPUNIT_ASSERT_MESSAGE(name, names.insert(name).second);
      CPPUNIT_ASSERT_EQUAL(name, fingerprint_of(content).value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFingerprintTest);

}  // namespace stoneport::quarantine
