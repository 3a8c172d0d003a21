/// \file
/// Strict parsing of integers: accepted and rejected text.
#include "core/numbers.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <vector>

namespace stoneport::core {
namespace {

struct NumberCase {
  std::string text;
  std::optional<int> expected;
};

class NumbersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NumbersTest);
  CPPUNIT_TEST(accepts_integers_only);
  CPPUNIT_TEST(accepts_the_full_range_of_the_type);
  CPPUNIT_TEST_SUITE_END();

 public:
  void accepts_integers_only() {
    const std::vector<NumberCase> cases = {
        {"0", 0},
        {"007", 7},
        {"-12", -12},
        {"", std::nullopt},
        {"-", std::nullopt},
        {"+3", std::nullopt},
        {" 3", std::nullopt},
        {"3 ", std::nullopt},
        {"3.0", std::nullopt},
        {"0x3", std::nullopt},
        {"2147483648", std::nullopt},
    };
    for (const NumberCase& each : cases) {
      CPPUNIT_ASSERT_MESSAGE(each.text, parse_number<int>(each.text) == each.expected);
    }
  }

  void accepts_the_full_range_of_the_type() {
    CPPUNIT_ASSERT(parse_number<std::uint64_t>("18446744073709551615") == UINT64_MAX);
    CPPUNIT_ASSERT(!parse_number<std::uint64_t>("18446744073709551616"));
    CPPUNIT_ASSERT(!parse_number<std::uint64_t>("-1"));
    CPPUNIT_ASSERT(parse_number<std::uint16_t>("65535") == std::uint16_t{65535});
    CPPUNIT_ASSERT(!parse_number<std::uint16_t>("65536"));
    CPPUNIT_ASSERT(parse_number<std::uint64_t>("00ff", 16) == std::uint64_t{255});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NumbersTest);

}  // namespace
}  // namespace stoneport::core
