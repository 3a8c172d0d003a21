/// \file
/// All processes compute the same order of writers, and it closes up when one ends.
#include "node/writer_rank.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace stoneport::node {

class WriterRankTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WriterRankTest);
  CPPUNIT_TEST(each_live_process_has_a_rank_of_its_own);
  CPPUNIT_TEST(the_order_closes_up_when_a_process_ends);
  CPPUNIT_TEST(keys_have_different_first_writers);
  CPPUNIT_TEST_SUITE_END();

  static core::NodeId node(std::size_t index) {
    return core::NodeId("node-" + std::to_string(index));
  }

  static wire::MemberMap members(std::size_t count) {
    wire::MemberMap made;
    for (std::size_t index = 0; index < count; ++index) {
      made[node(index)].node = node(index);
      made[node(index)].state = wire::MemberState::kAlive;
    }
    return made;
  }

  static std::size_t first_writer(const std::string& key, const wire::MemberMap& members) {
    std::size_t index = 0;
    while (writer_rank(key, node(index), members) != 0 ||
           members.at(node(index)).state != wire::MemberState::kAlive) {
      ++index;
    }
    return index;
  }

  void each_live_process_has_a_rank_of_its_own() {
    const wire::MemberMap all = members(20);
    std::set<std::size_t> ranks;
    for (std::size_t index = 0; index < 20; ++index) {
      ranks.insert(writer_rank("key", node(index), all));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, ranks.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, *ranks.rbegin());
  }

  void the_order_closes_up_when_a_process_ends() {
    wire::MemberMap all = members(20);
    const std::size_t first = first_writer("key", all);
    all[node(first)].state = wire::MemberState::kDead;
    CPPUNIT_ASSERT(first_writer("key", all) != first);
  }

  void keys_have_different_first_writers() {
    const wire::MemberMap all = members(20);
    std::set<std::size_t> writers;
    for (int key = 0; key < 100; ++key) {
      writers.insert(first_writer("key-" + std::to_string(key), all));
    }
    CPPUNIT_ASSERT(writers.size() > 15);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WriterRankTest);

}  // namespace stoneport::node
