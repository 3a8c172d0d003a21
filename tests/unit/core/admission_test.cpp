/// \file
/// Token bucket, circuit breaker and backoff under virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include "core/backoff.hpp"
#include "core/circuit_breaker.hpp"
#include "core/token_bucket.hpp"

namespace stoneport::core {
namespace {
using std::chrono::milliseconds;

MonotonicTime at(int milliseconds_since_start) {
  return MonotonicTime(milliseconds(milliseconds_since_start));
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(bucket_respects_rate_and_reserve);
  CPPUNIT_TEST(bucket_wait_is_sufficient);
  CPPUNIT_TEST(breaker_opens_probes_and_closes);
  CPPUNIT_TEST(breaker_frees_an_abandoned_probe);
  CPPUNIT_TEST(backoff_stays_in_its_bounds);
  CPPUNIT_TEST_SUITE_END();

  void bucket_respects_rate_and_reserve() {
    struct Step {
      int at_ms;
      double reserve;
      bool taken;
    };
    const Step steps[] = {
        {0, 2, true},     // 4 -> 3
        {0, 2, true},     // 3 -> 2
        {0, 2, false},    // would use the reserve
        {0, 0, true},     // 2 -> 1
        {0, 0, true},     // 1 -> 0
        {0, 0, false},    // empty
        {100, 0, true},   // one refilled
        {50, 0, false},   // no refill when the clock went backwards
        {10000, 9, true}  // a reserve above the burst needs the full bucket
    };
    TokenBucket bucket({10, 4}, at(0));
    for (const Step& step : steps) {
      CPPUNIT_ASSERT_EQUAL(step.taken, bucket.try_take(at(step.at_ms), step.reserve));
    }
  }

  void bucket_wait_is_sufficient() {
    TokenBucket bucket({3, 2}, at(0));
    CPPUNIT_ASSERT(bucket.wait_for(at(0), 0) == Duration::zero());
    while (bucket.try_take(at(0), 0)) {
    }
    const Duration wait = bucket.wait_for(at(0), 1);
    CPPUNIT_ASSERT(!bucket.try_take(at(0) + wait / 2, 1));
    CPPUNIT_ASSERT(bucket.try_take(at(0) + wait, 1));
  }

  void breaker_opens_probes_and_closes() {
    CircuitBreaker breaker({2, milliseconds(100), milliseconds(300)}, 7);
    breaker.record_failure(at(0));
    breaker.record_success();
    breaker.record_failure(at(0));
    CPPUNIT_ASSERT(breaker.allow(at(0)));
    breaker.record_failure(at(0));
    CPPUNIT_ASSERT(!breaker.allow(at(49)));
    CPPUNIT_ASSERT(breaker.allow(at(100)));
    CPPUNIT_ASSERT(!breaker.allow(at(100)));  // one probe at a time
    breaker.record_failure(at(100));
    CPPUNIT_ASSERT(!breaker.allow(at(199)));  // the open time has doubled
    CPPUNIT_ASSERT(breaker.wait_for(at(100)) <= milliseconds(200));
    CPPUNIT_ASSERT(breaker.allow(at(300)));
    breaker.record_success();
    CPPUNIT_ASSERT(breaker.state() == BreakerState::kClosed);
  }

  void breaker_frees_an_abandoned_probe() {
    CircuitBreaker breaker({1, milliseconds(100), milliseconds(100)}, 7);
    breaker.record_failure(at(0));
    CPPUNIT_ASSERT(breaker.allow(at(100)));
    breaker.abandon();
    CPPUNIT_ASSERT(breaker.allow(at(100)));
  }

  void backoff_stays_in_its_bounds() {
    RandomSource random(1);
    const BackoffSettings settings{milliseconds(10), milliseconds(70)};
    for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
      const Duration full_delay =
          attempt < 3 ? Duration(milliseconds(10 << attempt)) : Duration(milliseconds(70));
      const Duration delay = backoff_delay(settings, attempt, random);
      CPPUNIT_ASSERT(delay >= full_delay / 2 && delay <= full_delay);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace stoneport::core
