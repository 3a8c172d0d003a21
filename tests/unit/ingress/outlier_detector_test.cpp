/// \file
/// When a replica is ejected and for how long, for sequences of outcomes.
#include "ingress/outlier_detector.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "ingress/replica_directory.hpp"

namespace stoneport::ingress {
namespace {

using std::chrono::milliseconds;

core::MonotonicTime at(int ms) {
  return core::MonotonicTime(milliseconds(ms));
}

}  // namespace

class OutlierDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutlierDetectorTest);
  CPPUNIT_TEST(sequences);
  CPPUNIT_TEST(ejections_grow_and_end);
  CPPUNIT_TEST(failures_from_before_an_ejection_do_not_extend_it);
  CPPUNIT_TEST(a_failing_replica_is_left_out);
  CPPUNIT_TEST(with_most_ejected_all_are_used);
  CPPUNIT_TEST_SUITE_END();

  /// \param outcomes '.' for a success, 'x' for a failure
  static bool ejects(const std::string& outcomes) {
    OutlierDetector detector;
    bool ejected = false;
    for (const char outcome : outcomes) {
      if (outcome == '.') {
        detector.note_success();
      } else {
        ejected |= detector.note_failure(at(1000));
      }
    }
    return ejected;
  }

  void sequences() {
    const std::pair<std::string, bool> cases[] = {
        {"", false},           {"..........", false}, {"x", false},
        {"....x....x", false}, {"x..x..x..", false},  {".x.x.x.x.x.x", true},
        {"xx", true},          {"....xx", true},      {"x..xx", true},
    };
    for (const auto& [outcomes, expected] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(outcomes, expected, ejects(outcomes));
    }
  }

  void ejections_grow_and_end() {
    OutlierDetector detector;
    detector.note_failure(at(0));
    CPPUNIT_ASSERT(detector.note_failure(at(0)));
    CPPUNIT_ASSERT(detector.is_ejected(at(1499)));
    CPPUNIT_ASSERT(!detector.is_ejected(at(1500)));
    // On trial: it fails again immediately and is ejected for twice as long.
    detector.note_failure(at(1500));
    CPPUNIT_ASSERT(detector.note_failure(at(1500)));
    CPPUNIT_ASSERT(detector.is_ejected(at(4499)));
    CPPUNIT_ASSERT(!detector.is_ejected(at(4500)));
    // Recovered: the next ejection is as short as the first.
    for (int call = 0; call < 10; ++call) {
      detector.note_success();
    }
    detector.note_failure(at(9000));
    detector.note_failure(at(9000));
    CPPUNIT_ASSERT(detector.is_ejected(at(10400)));
    CPPUNIT_ASSERT(!detector.is_ejected(at(10500)));
  }

  void failures_from_before_an_ejection_do_not_extend_it() {
    OutlierDetector detector;
    detector.note_failure(at(0));
    detector.note_failure(at(0));
    for (int call = 0; call < 10; ++call) {
      CPPUNIT_ASSERT(!detector.note_failure(at(100)));
    }
    CPPUNIT_ASSERT(!detector.is_ejected(at(1500)));
  }

  static std::vector<ReplicaPointer> replicas(std::size_t count) {
    std::vector<ReplicaPointer> made;
    for (std::size_t index = 0; index < count; ++index) {
      made.push_back(std::make_shared<ReplicaState>());
      made.back()->record.id = core::ReplicaId(std::to_string(index));
    }
    return made;
  }

  static void eject(const ReplicaPointer& replica) {
    replica->outliers.note_failure(at(0));
    replica->outliers.note_failure(at(0));
  }

  static std::set<std::string> chosen(const std::vector<ReplicaPointer>& replicas) {
    core::RandomSource random(1);
    std::set<std::string> found;
    for (int draw = 0; draw < 200; ++draw) {
      found.insert(choose_replica(replicas, {}, at(1), random)->record.id.value());
    }
    return found;
  }

  void a_failing_replica_is_left_out() {
    const std::vector<ReplicaPointer> three = replicas(3);
    eject(three[1]);
    CPPUNIT_ASSERT((std::set<std::string>{"0", "2"}) == chosen(three));
  }

  /// If most replicas fail, none is an outlier, and the remaining ones could not carry the load.
  void with_most_ejected_all_are_used() {
    const std::vector<ReplicaPointer> three = replicas(3);
    eject(three[0]);
    eject(three[1]);
    CPPUNIT_ASSERT((std::set<std::string>{"0", "1", "2"}) == chosen(three));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectorTest);

}  // namespace stoneport::ingress
