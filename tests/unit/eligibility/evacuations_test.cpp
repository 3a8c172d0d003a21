/// \file
/// Which zones count as evacuated, when the store and other processes tell of them in any order.
#include "eligibility/evacuations.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "eligibility/send_gate.hpp"

namespace stoneport::eligibility {

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(two_zones_come_and_go_one_by_one);
  CPPUNIT_TEST(the_word_of_the_later_revision_holds);
  CPPUNIT_TEST(without_a_newer_word_the_last_one_known_holds);
  CPPUNIT_TEST(others_are_told_of_each_begin_and_end);
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

  void two_zones_come_and_go_one_by_one() {
    Evacuations evacuations;
    CPPUNIT_ASSERT(evacuations.take_listing({{kEast, at(10)}}, at(10)));
    CPPUNIT_ASSERT(evacuations.take_listing({{kEast, at(10)}, {kWest, at(11)}}, at(11)));
    CPPUNIT_ASSERT_EQUAL(std::string("east west "), names(evacuations));
    CPPUNIT_ASSERT(!evacuations.take_listing({{kEast, at(10)}, {kWest, at(11)}}, at(15)));
    CPPUNIT_ASSERT(evacuations.take_listing({{kWest, at(11)}}, at(16)));
    CPPUNIT_ASSERT_EQUAL(std::string("west "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.take_listing({}, at(17)));
    CPPUNIT_ASSERT_EQUAL(std::string(), names(evacuations));
  }

  void the_word_of_the_later_revision_holds() {
    struct Case {
      std::string name;
      std::uint64_t listed_as_of;
      bool is_listed;
      ZoneNotice notice;
      std::string expected;
    };
    const Case cases[] = {
        {"heard before the store told", 10, false, {kEast, at(12), true}, "east "},
        {"taken back since it was heard of", 10, false, {kEast, at(9), true}, ""},
        {"the end is heard first", 10, true, {kEast, at(12), false}, ""},
        {"an end from before it began again", 10, true, {kEast, at(9), false}, "east "},
        {"the same revision", 10, true, {kEast, at(10), false}, "east "},
    };
    for (const Case& one : cases) {
      for (const bool listing_is_first : {true, false}) {
        Evacuations evacuations;
        const ListedEvacuations listed =
            one.is_listed ? ListedEvacuations{{kEast, at(8)}} : ListedEvacuations();
        if (!listing_is_first) {
          evacuations.take_notice(one.notice);
        }
        evacuations.take_listing(listed, at(one.listed_as_of));
        if (listing_is_first) {
          evacuations.take_notice(one.notice);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, names(evacuations));
      }
    }
  }

  void without_a_newer_word_the_last_one_known_holds() {
    Evacuations evacuations;
    evacuations.take_listing({{kEast, at(20)}}, at(20));
    CPPUNIT_ASSERT(!evacuations.take_listing({}, at(19)));
    CPPUNIT_ASSERT(!evacuations.take_notice({kEast, at(18), false}));
    CPPUNIT_ASSERT_EQUAL(std::string("east "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.take_notice({kWest, at(25), true}));
    CPPUNIT_ASSERT(!evacuations.take_notice({kWest, at(24), false}));
    CPPUNIT_ASSERT_EQUAL(std::string("east west "), names(evacuations));
    CPPUNIT_ASSERT(evacuations.take_listing({}, at(30)));
    CPPUNIT_ASSERT_EQUAL(std::string(), names(evacuations));
  }

  void others_are_told_of_each_begin_and_end() {
    Evacuations evacuations;
    evacuations.take_listing({}, at(5));
    CPPUNIT_ASSERT(evacuations.notices().empty());
    evacuations.take_listing({{kEast, at(7)}}, at(9));
    CPPUNIT_ASSERT((evacuations.notices().at(kEast) == ZoneNotice{kEast, at(7), true}));
    evacuations.take_listing({}, at(12));
    evacuations.take_listing({}, at(14));
    CPPUNIT_ASSERT((evacuations.notices().at(kEast) == ZoneNotice{kEast, at(12), false}));
  }

  void the_gate_closes_and_opens_with_them() {
    SendGate gate;
    const core::ReplicaId id("r");
    const core::ServiceName service("s");
    const Destination destination{id, service, kEast};
    const core::MonotonicTime now{std::chrono::seconds(1)};
    gate.evacuations().take_listing({{kEast, at(1)}}, at(1));
    for (const Sender sender : {Sender::kCoordinator, Sender::kFrontEnd}) {
      CPPUNIT_ASSERT(gate.objection(destination, {sender, nullptr}, now) ==
                     Objection::kEvacuatedZone);
    }
    gate.evacuations().take_listing({}, at(2));
    CPPUNIT_ASSERT(gate.may_send(destination, {}, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

}  // namespace stoneport::eligibility
