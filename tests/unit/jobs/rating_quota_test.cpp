/// \file
/// Places for rating calls while clients crowd their service of 36 places, with calls of 200 ms:
/// the quota rises as the due time nears and falls again when there is slack, and neither ratings
/// nor clients starve.
#include "jobs/rating_quota.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace stoneport::jobs {

using std::chrono::milliseconds;

class RatingQuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RatingQuotaTest);
  CPPUNIT_TEST(the_quota_follows_from_the_work_that_is_due);
  CPPUNIT_TEST(the_quota_rises_as_the_due_time_nears_and_falls_back);
  CPPUNIT_TEST(the_step_due_first_determines_the_quota);
  CPPUNIT_TEST(a_step_is_rated_in_time_and_clients_get_the_rest);
  CPPUNIT_TEST(a_step_is_rated_in_time_though_half_of_the_replicas_fall_silent);
  CPPUNIT_TEST(steps_that_cannot_be_met_leave_places_to_clients);
  CPPUNIT_TEST(texts_are_ordered_by_rank_then_due_time);
  CPPUNIT_TEST(a_service_is_crowded_by_what_it_refuses);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t kPlaces = 36;
  static constexpr std::uint32_t kUsual = 14;
  static constexpr core::Duration kCallTime = milliseconds(200);
  static constexpr RatingService kService{kPlaces, kUsual, kCallTime};

  static std::uint32_t places_for(std::size_t texts, core::Duration left) {
    return rating_quota(kService, std::vector<core::Duration>(texts, left));
  }

  void the_quota_follows_from_the_work_that_is_due() {
    struct Case {
      std::size_t texts;
      core::Duration left;
      std::uint32_t fewest;
      std::uint32_t most;
    };
    const Case cases[] = {
        {0, milliseconds(0), kUsual, kUsual},
        {20, milliseconds(5000), kUsual, kUsual},
        {20, milliseconds(1000), kUsual, kUsual},  // 10 suffice for half of the time
        {20, milliseconds(400), 20, 20},           // each place has time for one call
        {20, milliseconds(-100), 20, 20},          // late: as soon as possible
        {300, milliseconds(20'000), kUsual, kUsual},
        {300, milliseconds(5000), 24, 28},  // 25 for half of the time
        {300, milliseconds(2000), 30, 32},  // 30 are needed, a tenth is reserved
        {340, milliseconds(2000), 34, 34},  // in time only with more than nine tenths
        {360, milliseconds(2000), 36, 36},  // in time with all
        {300, milliseconds(1000), 32, 32},  // cannot be in time
    };
    for (const Case& one : cases) {
      const std::uint32_t places = places_for(one.texts, one.left);
      const std::string name = std::to_string(one.texts) + " texts, " +
                               std::to_string(core::to_seconds(one.left)) +
                               " s: " + std::to_string(places);
      CPPUNIT_ASSERT_MESSAGE(name, places >= one.fewest && places <= one.most);
    }
  }

  void the_quota_rises_as_the_due_time_nears_and_falls_back() {
    for (const std::size_t texts : {20, 100, 300}) {
      std::uint32_t before = 0;
      for (core::Duration left = milliseconds(30'000); left >= milliseconds(2000);
           left -= milliseconds(100)) {
        const std::uint32_t places = places_for(texts, left);
        CPPUNIT_ASSERT(places >= before);
        before = places;
      }
      CPPUNIT_ASSERT_EQUAL(kUsual, places_for(texts, milliseconds(30'000)));
    }
    CPPUNIT_ASSERT(places_for(300, milliseconds(2000)) > 2 * kUsual);
    CPPUNIT_ASSERT_EQUAL(kUsual, places_for(5, milliseconds(2000)));  // most of them are rated
  }

  /// 20 texts due in 400 ms beside 300 that have 20 s.
  void the_step_due_first_determines_the_quota() {
    std::vector<core::Duration> time_left(20, milliseconds(400));
    time_left.insert(time_left.end(), 300, milliseconds(20'000));
    CPPUNIT_ASSERT_EQUAL(20u, rating_quota(kService, time_left));
  }

  struct Played {
    std::size_t unrated_when_due = 0;
    std::uint32_t for_clients = 0;  ///< sum of places over rounds until the step is due
    std::uint32_t fewest_for_clients = kPlaces;  ///< in any round
  };
  /// Simulates a crowd that takes each place that ratings leave. A round takes the time of one
  /// call.
  /// \param places_in number of places of the service in a round
  template <class PlacesIn>
  static Played play(std::size_t texts, core::Duration due, PlacesIn places_in) {
    Played played;
    std::uint32_t round = 0;
    for (core::Duration left = due; left >= kCallTime; left -= kCallTime) {
      const std::uint32_t places = places_in(round++);
      const RatingService service{places, places * 2 / 5, kCallTime};
      const std::uint32_t may = rating_quota(service, std::vector<core::Duration>(texts, left));
      CPPUNIT_ASSERT(may <= places);
      const auto used = static_cast<std::uint32_t>(std::min<std::size_t>(may, texts));
      texts -= used;
      played.for_clients += places - used;
      played.fewest_for_clients = std::min(played.fewest_for_clients, places - used);
    }
    played.unrated_when_due = texts;
    return played;
  }

  /// The fixed share under pressure would take all 36 places for the first 1.6 s.
  void a_step_is_rated_in_time_and_clients_get_the_rest() {
    const auto all = [](std::uint32_t) { return kPlaces; };
    for (const std::size_t texts : {20, 300, 600, 800}) {
      const Played played = play(texts, milliseconds(5000), all);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, played.unrated_when_due);
      CPPUNIT_ASSERT_EQUAL(25 * kPlaces - static_cast<std::uint32_t>(texts), played.for_clients);
      CPPUNIT_ASSERT(played.fewest_for_clients >= kPlaces / 10);
    }
    CPPUNIT_ASSERT(play(300, milliseconds(5000), all).fewest_for_clients >= kPlaces / 4);
  }

  void a_step_is_rated_in_time_though_half_of_the_replicas_fall_silent() {
    const auto halved = [](std::uint32_t round) { return round < 5 ? kPlaces : kPlaces / 2; };
    const Played played = play(300, milliseconds(5000), halved);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, played.unrated_when_due);
    CPPUNIT_ASSERT(played.fewest_for_clients >= 1);
  }

  void steps_that_cannot_be_met_leave_places_to_clients() {
    const auto all = [](std::uint32_t) { return kPlaces; };
    const Played played = play(1500, milliseconds(5000), all);
    CPPUNIT_ASSERT(played.unrated_when_due > 0);
    CPPUNIT_ASSERT(played.fewest_for_clients >= kPlaces / 10);
  }

  void texts_are_ordered_by_rank_then_due_time() {
    const core::MonotonicTime due{milliseconds(10'000)};
    const RatingPriority first{1, due};
    const core::Duration same = milliseconds(50);
    CPPUNIT_ASSERT(may_start_before(first, first, same));
    CPPUNIT_ASSERT(may_start_before({1, due + milliseconds(50)}, first, same));
    CPPUNIT_ASSERT(!may_start_before({1, due + milliseconds(51)}, first, same));
    CPPUNIT_ASSERT(may_start_before({0, due + milliseconds(5000)}, first, same));
    CPPUNIT_ASSERT(!may_start_before({2, due - milliseconds(5000)}, first, same));
  }

  void a_service_is_crowded_by_what_it_refuses() {
    ingress::LoadCounts counts;
    CPPUNIT_ASSERT(!is_crowded(counts));
    counts.sends = 10;
    counts.sends_refused = 10;
    CPPUNIT_ASSERT(!is_crowded(counts));  // too few to be meaningful
    counts.sends = 400;
    CPPUNIT_ASSERT(!is_crowded(counts));
    counts.sends_refused = 20;
    CPPUNIT_ASSERT(is_crowded(counts));
    counts.sends_refused = 0;
    counts.refused[static_cast<std::size_t>(ingress::RefusalReason::kOverload)] = 40;
    CPPUNIT_ASSERT(is_crowded(counts));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RatingQuotaTest);

}  // namespace stoneport::jobs
