/// \file
/// The steady clock stops while a machine is suspended, but leases held by other processes and the
/// wall clock go on. The process's monotonic clock must include the suspended time.
#include <cppunit/extensions/HelperMacros.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "core/time.hpp"

namespace {
/// Simulated time in suspend, by which CLOCK_MONOTONIC lags.
std::chrono::seconds suspended_for{};
}  // namespace

/// Overrides the C library's function, which the standard library's clocks call.
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
  CPPUNIT_TEST(monotonic_clock_includes_suspend);
  CPPUNIT_TEST_SUITE_END();

  void monotonic_clock_includes_suspend() {
    const SystemTimeSource source;
    const auto steady_before = std::chrono::steady_clock::now();
    const MonotonicTime before = source.now();
    suspended_for = std::chrono::seconds(5);
    const auto steady_after = std::chrono::steady_clock::now();
    const MonotonicTime after = source.now();
    suspended_for = {};
    CPPUNIT_ASSERT(steady_after < steady_before);  // the override is in effect
    CPPUNIT_ASSERT(after >= before);
    CPPUNIT_ASSERT(after - before < std::chrono::seconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeSourceTest);

}  // namespace stoneport::core
