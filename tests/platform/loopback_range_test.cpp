/// \file
/// Two test programs that run at the same time must not use the same addresses, or one of them
/// fails because its port is taken. Their process ids alone do not rule that out: ids that differ
/// by the number of ranges lead to the same one.
#include "support/loopback_range.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace stoneport::tests {

class LoopbackRangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopbackRangeTest);
  CPPUNIT_TEST(a_range_in_use_is_not_claimed_again);
  CPPUNIT_TEST_SUITE_END();

  void a_range_in_use_is_not_claimed_again() {
    constexpr std::size_t kNumber = 17;
    std::optional<LoopbackRange> first(std::in_place, kNumber);
    const std::string prefix = first->prefix();
    const LoopbackRange second(kNumber);
    CPPUNIT_ASSERT(second.prefix() != prefix);
    first.reset();
    const LoopbackRange third(kNumber);
    CPPUNIT_ASSERT_EQUAL(prefix, third.prefix());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopbackRangeTest);

}  // namespace stoneport::tests
