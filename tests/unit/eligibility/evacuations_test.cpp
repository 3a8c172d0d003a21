/// \file
/// Which zones count as evacuated if the store and other processes report them in any order.
#include "eligibility/evacuations.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(zones_are_evacuated_and_reopened_independently);
  CPPUNIT_TEST(the_later_revision_applies);
  CPPUNIT_TEST(without_newer_information_the_last_state_remains);
  CPPUNIT_TEST(each_change_is_announced);
  CPPUNIT_TEST(the_gate_closes_and_opens_with_them);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ZoneName kEast{"east"};
  inline static const core::ZoneName kWest{"west"};

  static core::Revision at(std::uint64_t revision) { return core::Revision(revision); }
  static std::string names(const Evacuations& evacuations) {
    std::string joined;
    for (const core::ZoneName& zone : evacuations.zones()) {
      joined += zone.value() + " ";
    }
    return joined;
  }

  void zones_are_evacuated_and_reopened_independently() {
    Evacuations evacuations;
    CPPUNIT_ASSERT(evacuations.apply_listing({{kEast, at(10)}}, at(10)));
    CPPUNIT_ASSERT(evacuations.apply_listing({{kEast, at(10)}, {kWest, at(11)}}, at(11)));
    CPPUNIT_ASSERT_EQUAL(std::string("east west "), names(evacuations));
    CPPUNIT_ASSERT(!evacuations.apply_listing({{kEast, at(10)}, {kWest, at(11)}}, at(15)));
    CPPUNIT_ASSERT(evacuations.apply_listing({{kWest, at(11)}}, at(16)));
    CPPUNIT_ASSERT_EQUAL(std::string("west "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.apply_listing({}, at(17)));
    CPPUNIT_ASSERT_EQUAL(std::string(), names(evacuations));
  }

  void the_later_revision_applies() {
    struct Case {
      std::string name;
      std::uint64_t listed_as_of;
      bool is_listed;
      ZoneNotice notice;
      std::string expected;
    };
    const Case cases[] = {
        {"announced before it is listed", 10, false, {kEast, at(12), true}, "east "},
        {"reopened after the announcement", 10, false, {kEast, at(9), true}, ""},
        {"the reopening is announced first", 10, true, {kEast, at(12), false}, ""},
        {"a reopening from before the current evacuation",
         10,
         true,
         {kEast, at(9), false},
         "east "},
        {"the same revision", 10, true, {kEast, at(10), false}, "east "},
    };
    for (const Case& one : cases) {
      for (const bool listing_is_first : {true, false}) {
        Evacuations evacuations;
        const ListedEvacuations listed =
            one.is_listed ? ListedEvacuations{{kEast, at(8)}} : ListedEvacuations();
        if (!listing_is_first) {
          evacuations.apply_notice(one.notice);
        }
        evacuations.apply_listing(listed, at(one.listed_as_of));
        if (listing_is_first) {
          evacuations.apply_notice(one.notice);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, names(evacuations));
      }
    }
  }

  void without_newer_information_the_last_state_remains() {
    Evacuations evacuations;
    evacuations.apply_listing({{kEast, at(20)}}, at(20));
    CPPUNIT_ASSERT(!evacuations.apply_listing({}, at(19)));
    CPPUNIT_ASSERT(!evacuations.apply_notice({kEast, at(18), false}));
    CPPUNIT_ASSERT_EQUAL(std::string("east "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.apply_notice({kWest, at(25), true}));
    CPPUNIT_ASSERT(!evacuations.apply_notice({kWest, at(24), false}));
    CPPUNIT_ASSERT_EQUAL(std::string("east west "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.apply_listing({}, at(30)));
    CPPUNIT_ASSERT_EQUAL(std::string(), names(evacuations));
  }

  void each_change_is_announced() {
    Evacuations evacuations;
    evacuations.apply_listing({}, at(5));
    CPPUNIT_ASSERT(evacuations.notices().empty());
    evacuations.apply_listing({{kEast, at(7)}}, at(9));
    CPPUNIT_ASSERT((evacuations.notices().at(kEast) == ZoneNotice{kEast, at(7), true}));
    evacuations.apply_listing({}, at(12));
    evacuations.apply_listing({}, at(14));
    CPPUNIT_ASSERT((evacuations.notices().at(kEast) == ZoneNotice{kEast, at(12), false}));
  }

  void the_gate_closes_and_opens_with_them() {
    SendGate gate;
    const core::ReplicaId id("r");
    const core::ServiceName service("s");
    const Destination destination{id, service, kEast};
    const core::MonotonicTime now{std::chrono::seconds(1)};
    gate.evacuations().apply_listing({{kEast, at(1)}}, at(1));
    for (const Sender sender : {Sender::kCoordinator, Sender::kFrontEnd}) {
      CPPUNIT_ASSERT(gate.block_reason(destination, {sender, nullptr}, now) ==
                     BlockReason::kEvacuatedZone);
    }
    gate.evacuations().apply_listing({}, at(2));
    CPPUNIT_ASSERT(gate.may_send(destination, {}, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

}  // namespace stoneport::eligibility
