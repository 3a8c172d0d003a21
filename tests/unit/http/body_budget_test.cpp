/// \file
/// Many large bodies at once: which are in memory, which wait, and that none waits forever. Without
/// a limit on their sum, eighty answers of 2 MB took more than a small machine has.
#include "http/body_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>

namespace stoneport::http {

class BodyBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyBudgetTest);
  CPPUNIT_TEST(everything_is_granted_without_a_limit);
  CPPUNIT_TEST(eighty_large_bodies_are_read_in_order_of_arrival);
  CPPUNIT_TEST(small_bodies_do_not_wait_for_large_ones);
  CPPUNIT_TEST(a_body_above_the_limit_is_read_alone);
  CPPUNIT_TEST(growing_bodies_do_not_wait_for_each_other_forever);
  CPPUNIT_TEST(a_new_body_does_not_take_what_a_growing_one_waits_for);
  CPPUNIT_TEST(a_small_body_grows_beside_large_ones);
  CPPUNIT_TEST(a_body_that_leaves_the_queue_lets_the_next_one_in);
  CPPUNIT_TEST(random_loads_stay_within_the_limit_and_end);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kMegabyte = 1'000'000;
  static constexpr BodyBudgetLimits kLimits{.max_bytes = 32 * kMegabyte};
  static constexpr std::uint64_t kLargeBytes = 24 * kMegabyte;  // three quarters of the limit

  void everything_is_granted_without_a_limit() {
    BodyBudget budget({});
    for (int body = 0; body < 100; ++body) {
      CPPUNIT_ASSERT(budget.is_granted(budget.request(1'000 * kMegabyte)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.waiting());
  }

  void eighty_large_bodies_are_read_in_order_of_arrival() {
    BodyBudget budget(kLimits);
    std::deque<BodyBudget::Ticket> bodies;
    for (int body = 0; body < 80; ++body) {
      bodies.push_back(budget.request(2 * kMegabyte));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{80 - 12}, budget.waiting());
    CPPUNIT_ASSERT_EQUAL((80 - 12) * 2 * kMegabyte, budget.waiting_bytes());
    while (!bodies.empty()) {
      CPPUNIT_ASSERT(budget.held_bytes() <= kLargeBytes);
      CPPUNIT_ASSERT(budget.is_granted(bodies.front()));
      budget.release(bodies.front());
      bodies.pop_front();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.held_bytes());
  }

  void small_bodies_do_not_wait_for_large_ones() {
    BodyBudget budget(kLimits);
    for (int body = 0; body < 80; ++body) {
      budget.request(2 * kMegabyte);
    }
    for (int body = 0; body < 100; ++body) {
      const BodyBudget::Ticket small = budget.request(4'000);
      CPPUNIT_ASSERT(budget.is_granted(small));
    }
    CPPUNIT_ASSERT(budget.held_bytes() <= kLimits.max_bytes);
  }

  void a_body_above_the_limit_is_read_alone() {
    BodyBudget budget(kLimits);
    const BodyBudget::Ticket first = budget.request(2 * kMegabyte);
    const BodyBudget::Ticket huge = budget.request(40 * kMegabyte);
    const BodyBudget::Ticket last = budget.request(2 * kMegabyte);
    CPPUNIT_ASSERT(!budget.is_granted(huge));
    CPPUNIT_ASSERT(!budget.is_granted(last));
    CPPUNIT_ASSERT(budget.release(first) == std::vector<BodyBudget::Ticket>{huge});
    CPPUNIT_ASSERT(budget.release(huge) == std::vector<BodyBudget::Ticket>{last});
  }

  /// Three bodies of unknown length have used up the limit, and none is complete.
  void growing_bodies_do_not_wait_for_each_other_forever() {
    BodyBudget budget(kLimits);
    std::vector<BodyBudget::Ticket> bodies;
    for (int body = 0; body < 3; ++body) {
      bodies.push_back(budget.request(8 * kMegabyte));
    }
    for (const BodyBudget::Ticket body : bodies) {
      budget.grow(body, 16 * kMegabyte);
    }
    CPPUNIT_ASSERT(budget.is_granted(bodies[0]));
    CPPUNIT_ASSERT(!budget.is_granted(bodies[1]));
    CPPUNIT_ASSERT(!budget.is_granted(bodies[2]));
    budget.grow(bodies[0], 20 * kMegabyte);
    CPPUNIT_ASSERT_MESSAGE("only one goes beyond the limit", budget.is_granted(bodies[0]));
    CPPUNIT_ASSERT(!budget.is_granted(bodies[1]));
    budget.release(bodies[0]);
    CPPUNIT_ASSERT(budget.is_granted(bodies[1]));
    budget.release(bodies[1]);
    CPPUNIT_ASSERT(budget.is_granted(bodies[2]));
    budget.release(bodies[2]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.held_bytes());
  }

  void a_new_body_does_not_take_what_a_growing_one_waits_for() {
    BodyBudget budget(kLimits);
    const BodyBudget::Ticket over = budget.request(12 * kMegabyte);
    const BodyBudget::Ticket growing = budget.request(10 * kMegabyte);
    budget.grow(over, 20 * kMegabyte);
    budget.grow(growing, 18 * kMegabyte);
    CPPUNIT_ASSERT(!budget.is_granted(growing));
    const BodyBudget::Ticket fresh = budget.request(1 * kMegabyte);
    budget.shrink(over, 12 * kMegabyte);
    CPPUNIT_ASSERT(!budget.is_granted(growing));
    CPPUNIT_ASSERT(!budget.is_granted(fresh));
    const std::vector<BodyBudget::Ticket> both{growing, fresh};
    CPPUNIT_ASSERT(budget.release(over) == both);
  }

  void a_small_body_grows_beside_large_ones() {
    BodyBudget budget(kLimits);
    for (int body = 0; body < 80; ++body) {
      budget.request(2 * kMegabyte);
    }
    const BodyBudget::Ticket first = budget.request(4'000);
    budget.grow(first, 12'000);
    const BodyBudget::Ticket second = budget.request(4'000);
    budget.grow(second, 12'000);
    CPPUNIT_ASSERT(budget.is_granted(first));
    CPPUNIT_ASSERT(budget.is_granted(second));
  }

  void a_body_that_leaves_the_queue_lets_the_next_one_in() {
    BodyBudget budget(kLimits);
    budget.request(20 * kMegabyte);
    const BodyBudget::Ticket leaves = budget.request(20 * kMegabyte);
    const BodyBudget::Ticket next = budget.request(4 * kMegabyte);
    CPPUNIT_ASSERT(!budget.is_granted(next));
    CPPUNIT_ASSERT(budget.release(leaves) == std::vector<BodyBudget::Ticket>{next});
    CPPUNIT_ASSERT(budget.release(leaves).empty());
  }

  struct Reader {
    BodyBudget::Ticket ticket = 0;
    std::uint64_t asked = 0;
    std::uint64_t length = 0;
  };

  /// \return whether \p reader is complete after its next step.
  static bool read_on(BodyBudget& budget, Reader& reader) {
    if (!budget.is_granted(reader.ticket)) {
      return false;
    }
    if (reader.asked >= reader.length) {
      budget.release(reader.ticket);
      return true;
    }
    reader.asked *= 2;
    budget.grow(reader.ticket, reader.asked);
    return false;
  }

  /// Bodies of known and unknown length arrive; in each step, each one that can go on does.
  void random_loads_stay_within_the_limit_and_end() {
    constexpr std::uint64_t kLargestBody = 8 * kMegabyte;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      std::mt19937 random(seed);
      BodyBudget budget(kLimits);
      std::vector<Reader> readers;
      for (int body = 0; body < 100; ++body) {
        const std::uint64_t length = 1'000 + random() % kLargestBody;
        const std::uint64_t asked = random() % 2 == 0 ? length : 64 * 1024;
        readers.push_back({budget.request(asked), asked, length});
      }
      int steps = 0;
      while (!readers.empty() && steps < 10'000) {
        ++steps;
        std::erase_if(readers, [&](Reader& reader) { return read_on(budget, reader); });
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                               budget.held_bytes() <= kLimits.max_bytes + 2 * kLargestBody);
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), readers.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.held_bytes());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyBudgetTest);

}  // namespace stoneport::http
