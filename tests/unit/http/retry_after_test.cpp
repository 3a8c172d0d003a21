/// \file
/// The Retry-After of a response. Whole numbers of other processes became durations that were
/// negative or overflowed when added to a time.
#include "http/retry_after.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::http {

class RetryAfterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryAfterTest);
  CPPUNIT_TEST(seconds_are_read);
  CPPUNIT_TEST(long_times_are_bounded);
  CPPUNIT_TEST(other_values_are_none);
  CPPUNIT_TEST_SUITE_END();

  static std::optional<core::Duration> read(const std::string& value) {
    HeaderMap headers;
    headers.add("retry-after", value);
    return retry_after_of(headers);
  }

  void seconds_are_read() {
    CPPUNIT_ASSERT(read("0") == core::Duration(0));
    CPPUNIT_ASSERT(read("7") == std::chrono::seconds(7));
    CPPUNIT_ASSERT(read("0.25") == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(read("3600") == std::chrono::hours(1));
  }

  void long_times_are_bounded() {
    for (const std::string value : {"3601", "9223372036854", "9223372036854775807",
                                    "18446744073709551615", "18446744073709551616", "1e308"}) {
      CPPUNIT_ASSERT_MESSAGE(value, read(value) == kLongestRetryAfter);
    }
  }

  void other_values_are_none() {
    CPPUNIT_ASSERT(!retry_after_of(HeaderMap()));
    for (const std::string value : {"", "-1", "-0.5", "1e400", "nan", "inf", "soon", "1 ", " 1",
                                    "+1", "1s", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !read(value));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAfterTest);

}  // namespace stoneport::http
