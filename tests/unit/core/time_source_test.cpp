/// \file
/// A machine that was suspended comes back with its steady clock where it was, while leases that
/// others hold and the time of day have gone on. The process's clock must go with those.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "core/time.hpp"

namespace {
/// What the steady clock lacks because the machine was suspended so long.
std::chrono::seconds suspended_for{};
}  // namespace

/// Stands before the C library's, which the standard library's clocks read.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (clock == CLOCK_MONOTONIC) {
    now->tv_sec -= suspended_for.count();
  }
  return result;
}

namespace stoneport::core {

class TimeSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimeSourceTest);
  CPPUNIT_TEST(time_that_the_machine_was_suspended_counts);
  CPPUNIT_TEST_SUITE_END();

  void time_that_the_machine_was_suspended_counts() {
    const SystemTimeSource source;
    const auto steady_before = std::chrono::steady_clock::now();
    const MonotonicTime before = source.now();
    suspended_for = std::chrono::seconds(5);
    const auto steady_after = std::chrono::steady_clock::now();
    const MonotonicTime after = source.now();
    suspended_for = {};
    CPPUNIT_ASSERT(steady_after < steady_before);  // the double works
    CPPUNIT_ASSERT(after >= before);
    CPPUNIT_ASSERT(after - before < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeSourceTest);

}  // namespace stoneport::core
