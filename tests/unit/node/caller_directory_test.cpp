/// \file
/// Selection of the processes that a caller is told to connect to.
#include "node/caller_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace stoneport::node {

class CallerDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerDirectoryTest);
  CPPUNIT_TEST(the_nearest_groups_are_selected);
  CPPUNIT_TEST(a_large_group_is_sampled_fairly);
  CPPUNIT_TEST_SUITE_END();

  /// Zone "w1" is in region "w" and so on; hosts are "w1-0", "w1-1", ...
  static wire::Member member(const std::string& zone, std::size_t number) {
    wire::Member made;
    made.zone = core::ZoneName(zone);
    made.region = core::RegionName(zone.substr(0, 1));
    made.peer_address = {zone + "-" + std::to_string(number),
                         static_cast<std::uint16_t>(1000 + number)};
    return made;
  }

  static std::vector<wire::Member> members(const std::map<std::string, std::size_t>& counts) {
    std::vector<wire::Member> made;
    for (const auto& [zone, count] : counts) {
      for (std::size_t number = 0; number < count; ++number) {
        made.push_back(member(zone, number));
      }
    }
    return made;
  }

  static AvailableMembers pointers(const std::vector<wire::Member>& members) {
    AvailableMembers takers;
    for (const wire::Member& member : members) {
      takers.push_back(&member);
    }
    return takers;
  }

  /// \return the zones of \p addresses, in order of first appearance.
  static std::string zones_of(const std::vector<core::Address>& addresses) {
    std::string zones;
    for (const core::Address& address : addresses) {
      const std::string zone = address.ip.substr(0, address.ip.find('-'));
      if (zones.find(zone) == std::string::npos) {
        zones += zone + " ";
      }
    }
    return zones;
  }

  void the_nearest_groups_are_selected() {
    struct Case {
      std::string name;
      std::map<std::string, std::size_t> takers;
      eligibility::Regions allowed_regions;
      std::string zones;
    };
    const core::RegionName east("e");
    const core::RegionName west("w");
    const Case cases[] = {
        {"enough in the zone", {{"w1", 3}, {"w2", 9}, {"e1", 9}}, {}, "w1 "},
        {"few in the zone", {{"w1", 2}, {"w2", 9}, {"e1", 9}}, {}, "w1 w2 "},
        {"few in the region", {{"w1", 1}, {"w2", 1}, {"e1", 9}}, {}, "w1 w2 e1 "},
        {"none nearby", {{"e1", 9}}, {}, "e1 "},
        {"allowed regions before others", {{"w1", 1}, {"e1", 9}, {"n1", 9}}, {east}, "w1 e1 "},
        {"allowed regions only, though few", {{"e1", 1}, {"n1", 9}}, {east}, "e1 "},
        {"own region, though not allowed", {{"w2", 1}, {"n1", 9}}, {east}, "w2 "},
        {"only others", {{"n1", 4}}, {east}, "n1 "},
        {"the own region is allowed", {{"w1", 2}, {"n1", 9}}, {west}, "w1 "},
        {"no members", {}, {east}, ""},
    };
    for (const Case& one : cases) {
      core::RandomSource random(1);
      const std::vector<wire::Member> takers = members(one.takers);
      const std::vector<core::Address> selected =
          select_caller_addresses(pointers(takers), {core::ZoneName("w1"), core::RegionName("w")},
                                  one.allowed_regions, random);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.zones, zones_of(selected));
    }
  }

  /// Guards against always returning the first 64 processes by name, which sent all callers to
  /// these and none to the others.
  void a_large_group_is_sampled_fairly() {
    constexpr std::size_t kTakers = 100;
    constexpr int kAnswers = 200;
    const std::vector<wire::Member> takers = members({{"w1", kTakers}});
    core::RandomSource random(1);
    std::map<std::string, int> times;
    for (int answer = 0; answer < kAnswers; ++answer) {
      const std::vector<core::Address> selected = select_caller_addresses(
          pointers(takers), {core::ZoneName("w1"), core::RegionName("w")}, {}, random);
      CPPUNIT_ASSERT_EQUAL(kMaxCallerAddresses, selected.size());
      for (const core::Address& address : selected) {
        ++times[address.ip];
      }
    }
    CPPUNIT_ASSERT_EQUAL(kTakers, times.size());
    for (const auto& [host, count] : times) {  // 128 expected, standard deviation 6.8
      CPPUNIT_ASSERT_MESSAGE(host, count > 90 && count < 166);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerDirectoryTest);

}  // namespace stoneport::node
