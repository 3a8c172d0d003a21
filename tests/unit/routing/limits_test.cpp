#include <cppunit/extensions/HelperMacros.h>

#include "routing/adaptive_limit.hpp"
#include "routing/deadline.hpp"
#include "routing/retry_budget.hpp"
#include "unit/routing/routing_fixture.hpp"

namespace stoneport::routing_test {
using routing::LoadSignal;
using std::chrono::milliseconds;
using std::chrono::seconds;

class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(limit_follows_signals);
  CPPUNIT_TEST(limit_keeps_to_its_ceiling);
  CPPUNIT_TEST(retries_keep_to_their_share);
  CPPUNIT_TEST(retry_budget_slides);
  CPPUNIT_TEST(deadlines);
  CPPUNIT_TEST(remaining_time);
  CPPUNIT_TEST_SUITE_END();

 public:
  void limit_follows_signals() {
    struct Case {
      const char* name;
      LoadSignal signal;
      std::uint32_t in_flight;
      milliseconds apart;
      std::uint32_t expected;
    };
    const std::vector<Case> cases = {
        {"grows by about one per limit's worth of requests", LoadSignal::kHealthy, 64,
         milliseconds(1), 65},
        {"does not grow unused", LoadSignal::kHealthy, 10, milliseconds(1), 64},
        {"signs close together count once", LoadSignal::kOverloaded, 64, milliseconds(1), 51},
        {"shrinks to the smallest", LoadSignal::kOverloaded, 64, seconds(1), 4},
        {"neutral changes nothing", LoadSignal::kNeutral, 64, milliseconds(1), 64},
    };
    for (const Case& test : cases) {
      routing::AdaptiveLimit limit;
      for (int round = 0; round < 66; ++round) {
        limit.observe(test.signal, test.in_flight, kStart + round * test.apart);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.expected, limit.value());
    }
  }

  void limit_keeps_to_its_ceiling() {
    routing::AdaptiveLimit limit;
    limit.set_largest(2);
    CPPUNIT_ASSERT_EQUAL(2u, limit.value());
    limit.observe(LoadSignal::kHealthy, 2, kStart);
    CPPUNIT_ASSERT_EQUAL(2u, limit.value());
    for (int round = 0; round < 100; ++round) {
      limit.observe(LoadSignal::kOverloaded, 2, kStart + seconds(round));
    }
    CPPUNIT_ASSERT(limit.value() >= 1);
  }

  void retries_keep_to_their_share() {
    struct Case {
      int first_attempts;
      double ratio;
      int expected;
    };
    for (const Case& test : {Case{0, 0.1, 3}, Case{100, 0.1, 13}, Case{1000, 0.25, 253}}) {
      routing::RetryBudget budget({test.ratio, 3, seconds(10)});
      for (int count = 0; count < test.first_attempts; ++count) {
        budget.first_attempt(kStart);
      }
      int retries = 0;
      while (budget.try_retry(kStart)) {
        ++retries;
      }
      CPPUNIT_ASSERT_EQUAL(test.expected, retries);
    }
  }

  void retry_budget_slides() {
    routing::RetryBudget budget({0.1, 0, seconds(10)});
    for (int count = 0; count < 100; ++count) {
      budget.first_attempt(kStart);
    }
    CPPUNIT_ASSERT(budget.try_retry(kStart + seconds(9)));
    CPPUNIT_ASSERT(!budget.try_retry(kStart + seconds(10)));
    CPPUNIT_ASSERT(!budget.try_retry(kStart + seconds(1000)));
  }

  void deadlines() {
    struct Case {
      std::optional<std::string_view> header;
      std::optional<milliseconds> expected;
    };
    const routing::DeadlineRules rules{seconds(10), seconds(120)};
    const std::vector<Case> cases = {
        {std::nullopt, seconds(10)},
        {"250", milliseconds(250)},
        {"120000", seconds(120)},
        {"999999999999", seconds(120)},
        {"18446744073709551615", seconds(120)},
        {"0", std::nullopt},
        {"", std::nullopt},
        {"-1", std::nullopt},
        {"1.5", std::nullopt},
        {"10s", std::nullopt},
        {"99999999999999999999999", std::nullopt},
    };
    for (const Case& test : cases) {
      const auto deadline = routing::request_deadline(test.header, rules, kStart);
      CPPUNIT_ASSERT_EQUAL(test.expected.has_value(), deadline.has_value());
      CPPUNIT_ASSERT(!test.expected || *deadline == kStart + *test.expected);
    }
  }

  void remaining_time() {
    const auto deadline = kStart + core::Duration(2500);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), routing::remaining_milliseconds(deadline, kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), routing::remaining_milliseconds(deadline, deadline));
    CPPUNIT_ASSERT(routing::remaining(kStart, deadline) == core::Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

}  // namespace stoneport::routing_test
