/// \file
/// The prefix cache: eviction, and events that come late and with gaps.
#include "emulator/prefix_cache.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "core/hash.hpp"

namespace stoneport::emulator {

class PrefixCacheTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixCacheTest);
  CPPUNIT_TEST(hashes_cover_whole_blocks);
  CPPUNIT_TEST(finds_leading_blocks_only);
  CPPUNIT_TEST(evicts_least_recently_used);
  CPPUNIT_TEST(events_come_late);
  CPPUNIT_TEST(lost_events_show_as_gap);
  CPPUNIT_TEST_SUITE_END();

  static core::MonotonicTime at(int milliseconds) {
    return core::MonotonicTime{} + std::chrono::milliseconds(milliseconds);
  }

 public:
  void hashes_cover_whole_blocks() {
    const std::string prompt(600, 'a');
    const auto hashes = prefix_hashes(prompt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hashes.size());
    CPPUNIT_ASSERT_EQUAL(core::hash64(prompt.substr(0, 256)), hashes[0]);
    CPPUNIT_ASSERT_EQUAL(core::hash64(prompt.substr(0, 512)), hashes[1]);
    CPPUNIT_ASSERT(prefix_hashes(std::string(255, 'a')).empty());
  }

  void finds_leading_blocks_only() {
    PrefixCache cache(8, 1);
    cache.store({1, 2, 3}, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cache.find({1, 2, 3, 4}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.find({9, 2, 3}));
  }

  void evicts_least_recently_used() {
    PrefixCache cache(3, 1);
    cache.store({1, 2, 3}, at(0));
    cache.find({1});
    cache.store({4}, at(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cache.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.find({2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache.find({1}));
  }

  void events_come_late() {
    PrefixCache cache(1, 1);
    cache.faults().delay = std::chrono::milliseconds(100);
    cache.store({1}, at(0));
    cache.store({2}, at(50));
    CPPUNIT_ASSERT(cache.events(0, at(99)).events.empty());
    const PrefixCacheEvents first = cache.events(0, at(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.events.size());
    const PrefixCacheEvents rest = cache.events(first.latest_sequence, at(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rest.events.size());
    CPPUNIT_ASSERT(!rest.events[0].stored && rest.events[0].prefix_hash == 1);
    CPPUNIT_ASSERT(rest.events[1].stored && rest.events[1].prefix_hash == 2);
    CPPUNIT_ASSERT(!rest.gap);
  }

  void lost_events_show_as_gap() {
    PrefixCache cache(8, 1);
    cache.faults().delay = core::Duration::zero();
    cache.faults().loss = 1;
    cache.store({1}, at(0));
    cache.faults().loss = 0;
    cache.store({2}, at(0));
    const PrefixCacheEvents events = cache.events(0, at(0));
    CPPUNIT_ASSERT(events.gap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.events.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, events.latest_sequence);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PrefixCacheTest);

}  // namespace stoneport::emulator
