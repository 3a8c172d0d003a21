#include "routing/prefix_affinity.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <xxhash.h>

#include <algorithm>
#include <string>

#include "unit/routing/routing_fixture.hpp"

namespace stoneport::routing_test {

class PrefixAffinityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixAffinityTest);
  CPPUNIT_TEST(hashes_cover_whole_blocks);
  CPPUNIT_TEST(cached_bytes_by_digest);
  CPPUNIT_TEST(recent_prefixes_are_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void hashes_cover_whole_blocks() {
    std::string text;
    for (int index = 0; index < 2000; ++index) {
      text += static_cast<char>('a' + index * 7 % 26);
    }
    for (const std::size_t length : {0u, 1u, 255u, 256u, 257u, 511u, 512u, 1999u}) {
      const std::string prompt = text.substr(0, length);
      const auto hashes = routing::prefix_hashes(prompt);
      CPPUNIT_ASSERT_EQUAL(length / 256, hashes.size());
      for (std::size_t count = 0; count < hashes.size(); ++count) {
        const std::uint64_t whole = XXH3_64bits(prompt.data(), (count + 1) * 256);
        CPPUNIT_ASSERT_EQUAL(whole, hashes[count]);
      }
    }
  }

  void cached_bytes_by_digest() {
    const auto prefixes = routing::prefix_hashes(std::string(1024, 'x'));
    std::vector<std::uint64_t> cached = {prefixes[2], 1, 2, prefixes[0]};
    std::sort(cached.begin(), cached.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t(768), routing::cached_prefix_bytes(prefixes, cached));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), routing::cached_prefix_bytes(prefixes, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), routing::cached_prefix_bytes({}, cached));
  }

  void recent_prefixes_are_bounded() {
    const auto first = routing::prefix_hashes(std::string(1024, 'x'));
    const auto second = routing::prefix_hashes(std::string(1024, 'y'));
    routing::RecentPrefixes recent(4, std::chrono::seconds(60));
    recent.add(first, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1024), recent.cached_bytes(first, kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         recent.cached_bytes(first, kStart + std::chrono::seconds(60)));
    recent.add(second, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), recent.cached_bytes(first, kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1024), recent.cached_bytes(second, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixAffinityTest);

}  // namespace stoneport::routing_test
