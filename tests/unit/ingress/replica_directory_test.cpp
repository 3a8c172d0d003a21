/// \file
/// The replica listing: full listings and incremental changes have the same result.
#include "ingress/replica_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::ingress {

class ReplicaDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaDirectoryTest);
  CPPUNIT_TEST(an_empty_first_listing_counts_as_loaded);
  CPPUNIT_TEST(changes_keep_what_is_known_of_a_replica);
  CPPUNIT_TEST(replicas_of_a_service_stay_in_order_of_id);
  CPPUNIT_TEST(draining_and_removed_replicas_are_returned);
  CPPUNIT_TEST(a_whole_listing_removes_what_it_does_not_name);
  CPPUNIT_TEST(a_row_may_name_another_service);
  CPPUNIT_TEST(replicas_of_a_reopened_zone_count_as_cold);
  CPPUNIT_TEST(a_kept_connection_is_used_unless_its_replica_is_busy_or_slow);
  CPPUNIT_TEST(another_region_gets_a_call_only_when_the_own_one_is_worse);
  CPPUNIT_TEST_SUITE_END();

  inline static const core::ServiceName kModels{"models"};
  inline static const core::ModelName kModel{"m"};

  static ReplicaRecord record(const std::string& id, std::uint64_t version = 1) {
    ReplicaRecord made;
    made.id = core::ReplicaId(id);
    made.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + id.back())};
    made.service = kModels;
    made.versions[kModel] = core::WeightVersion(version);
    return made;
  }

  static std::string ids(const ReplicaDirectory& directory, const core::ServiceName& service) {
    std::string joined;
    for (const ReplicaPointer& replica : directory.of_service(service)) {
      joined += replica->record.id.value() + " ";
    }
    return joined;
  }

  void replicas_of_a_reopened_zone_count_as_cold() {
    const core::MonotonicTime now{std::chrono::seconds(100)};
    const core::ZoneName east("east");
    ReplicaDirectory directory;
    directory.gate().cold_rate_limiter().replace_limits({{kModels, {std::chrono::seconds(4), 5}}});
    std::vector<ReplicaRecord> records = {record("a"), record("b"), record("c")};
    records[0].zone = east;
    records[1].zone = east;
    records[1].service = core::ServiceName("without a cold start");
    records[2].zone = core::ZoneName("west");
    directory.update(records);
    directory.presume_cold(east, now);
    const auto cold_until = [&](const std::string& id) {
      return directory.find(core::ReplicaId(id))->record.cold_until;
    };
    CPPUNIT_ASSERT(cold_until("a") == now + std::chrono::seconds(4));
    CPPUNIT_ASSERT(cold_until("b") == core::MonotonicTime());
    CPPUNIT_ASSERT(cold_until("c") == core::MonotonicTime());
    // A row from before it became cold changes nothing; one with a later end applies.
    directory.update(records);
    CPPUNIT_ASSERT(cold_until("a") == now + std::chrono::seconds(4));
    records[0].cold_until = now + std::chrono::seconds(6);
    directory.update(records);
    CPPUNIT_ASSERT(cold_until("a") == now + std::chrono::seconds(6));
  }

  void an_empty_first_listing_counts_as_loaded() {
    ReplicaDirectory directory;
    CPPUNIT_ASSERT(!directory.loaded());
    directory.apply({});
    CPPUNIT_ASSERT(directory.loaded());
    CPPUNIT_ASSERT(directory.of_service(kModels).empty());
  }

  void changes_keep_what_is_known_of_a_replica() {
    ReplicaDirectory directory;
    directory.apply({{record("a"), record("b")}, {}});
    const ReplicaPointer a = directory.of_service(kModels)[0];
    const ReplicaPointer b = directory.of_service(kModels)[1];
    a->in_flight = 3;
    a->record.versions[kModel] = core::WeightVersion(5);  // reported by a stream
    directory.apply({{record("a", 4)}, {}});
    CPPUNIT_ASSERT(directory.of_service(kModels)[0] == a);
    CPPUNIT_ASSERT(directory.of_service(kModels)[1] == b);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, a->in_flight);
    CPPUNIT_ASSERT(a->record.versions[kModel] == core::WeightVersion(5));
  }

  void replicas_of_a_service_stay_in_order_of_id() {
    ReplicaDirectory directory;
    directory.apply({{record("c"), record("a")}, {}});
    directory.apply({{record("b")}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("a b c "), ids(directory, kModels));
    directory.apply({{}, {core::ReplicaId("b"), core::ReplicaId("unknown")}});
    CPPUNIT_ASSERT_EQUAL(std::string("a c "), ids(directory, kModels));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
  }

  void draining_and_removed_replicas_are_returned() {
    ReplicaDirectory directory;
    directory.apply({{record("a"), record("b")}, {}});
    const ReplicaPointer b = directory.of_service(kModels)[1];
    ReplicaRecord draining = record("a");
    draining.draining = true;
    CPPUNIT_ASSERT(directory.apply({{draining}, {}}) ==
                   std::vector<core::Address>{draining.address});
    CPPUNIT_ASSERT(directory.apply({{draining}, {}}).empty());
    CPPUNIT_ASSERT(directory.apply({{}, {b->record.id}}) ==
                   std::vector<core::Address>{b->record.address});
    CPPUNIT_ASSERT(!b->listed);
  }

  void a_whole_listing_removes_what_it_does_not_name() {
    ReplicaDirectory directory;
    directory.update({record("a"), record("b")});
    const std::vector<core::Address> left = directory.update({record("b"), record("c")});
    CPPUNIT_ASSERT(left == std::vector<core::Address>{record("a").address});
    CPPUNIT_ASSERT_EQUAL(std::string("b c "), ids(directory, kModels));
  }

  void a_row_may_name_another_service() {
    ReplicaDirectory directory;
    directory.apply({{record("a")}, {}});
    ReplicaRecord moved = record("a");
    moved.service = core::ServiceName("lookups");
    directory.apply({{moved}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string(), ids(directory, kModels));
    CPPUNIT_ASSERT_EQUAL(std::string("a "), ids(directory, moved.service));
  }

  void another_region_gets_a_call_only_when_the_own_one_is_worse() {
    struct Case {
      std::string name;
      std::uint32_t in_flight;
      double latency_seconds;
      bool suspect;
      bool stays;   ///< whether all calls stay in the own region
      bool leaves;  ///< whether some calls leave it
    };
    const Case cases[] = {
        {"idle", 0, 0.03, false, true, false},  {"one call each", 1, 0.03, false, true, false},
        {"busy", 6, 0.03, false, false, true},  {"slow", 0, 0.3, false, false, true},
        {"silent", 0, 0.03, true, false, true},
    };
    for (const Case& one : cases) {
      ReplicaDirectory directory;
      directory.apply({{record("a"), record("b"), record("c"), record("d"), record("e"),
                        record("f"), record("g"), record("h"), record("i")},
                       {}});
      const std::vector<ReplicaPointer>& replicas = directory.of_service(kModels);
      const core::MonotonicTime now{std::chrono::seconds(100)};
      for (std::size_t index = 0; index < replicas.size(); ++index) {
        const bool is_near = index < 3;
        replicas[index]->record.zone = core::ZoneName(is_near ? "near" : "far");
        replicas[index]->latency_seconds = is_near ? one.latency_seconds : 0.03;
        if (is_near) {
          replicas[index]->in_flight = one.in_flight;
        }
        if (is_near && one.suspect) {
          replicas[index]->suspect(now, std::chrono::seconds(1));
        }
      }
      ReplicaPreference preference{core::ZoneName("near"), {}};
      preference.in_other_region = [](const core::ZoneName& zone) { return zone.value() == "far"; };
      core::RandomSource random(1);
      int left = 0;
      for (int call = 0; call < 200; ++call) {
        const ReplicaPointer chosen = choose_replica(replicas, preference, now, random);
        left += chosen->record.zone.value() == "far" ? 1 : 0;
      }
      CPPUNIT_ASSERT_MESSAGE(one.name, !one.stays || left == 0);
      CPPUNIT_ASSERT_MESSAGE(one.name, !one.leaves || left > 100);
    }
  }

  void a_kept_connection_is_used_unless_its_replica_is_busy_or_slow() {
    struct Case {
      std::string name;
      std::uint32_t in_flight;
      double latency_seconds;
      bool suspect;
      bool expected;  ///< whether all calls use the connected replica
    };
    const Case cases[] = {
        {"idle", 0, 0.02, false, true},
        {"busy", 3, 0.02, false, false},
        {"slow", 0, 0.2, false, false},
        {"silent", 0, 0.02, true, false},
    };
    for (const Case& one : cases) {
      ReplicaDirectory directory;
      directory.apply({{record("a"), record("b"), record("c"), record("d"), record("e")}, {}});
      const std::vector<ReplicaPointer>& replicas = directory.of_service(kModels);
      const ReplicaPointer connected = replicas[3];
      const core::MonotonicTime now{std::chrono::seconds(100)};
      connected->in_flight = one.in_flight;
      connected->latency_seconds = one.latency_seconds;
      if (one.suspect) {
        connected->suspect(now, std::chrono::seconds(1));
      }
      ReplicaPreference preference;
      preference.is_connected = [&](const core::Address& address) {
        return address == connected->record.address;
      };
      preference.usual_latency = std::chrono::milliseconds(75);
      core::RandomSource random(1);
      int there = 0;
      constexpr int kCalls = 50;
      for (int call = 0; call < kCalls; ++call) {
        there += choose_replica(replicas, preference, now, random) == connected ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, one.expected, there == kCalls);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaDirectoryTest);

}  // namespace stoneport::ingress
