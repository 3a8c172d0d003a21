/// \file
/// Tests of the report page and of the fit over sizes.
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "bench/report_page.hpp"
#include "bench/scale_measurement.hpp"

namespace stoneport::bench {

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(page_holds_every_variant_and_links_nowhere);
  CPPUNIT_TEST(page_says_when_a_guarantee_was_broken);
  CPPUNIT_TEST(fit_goes_through_points_on_a_line);
  CPPUNIT_TEST(small_cluster_learns_of_everything);
  CPPUNIT_TEST_SUITE_END();

  static ScenarioReport report() {
    ScenarioReport result{"abay", "summary", {}};
    for (const std::uint64_t seed : {7, 8}) {
      Experiment experiment;
      experiment.seed = seed;
      experiment.results = {{"round-robin", {}}, {"stoneport", {}}};
      experiment.results[1].metrics.trainer_seconds = 10;
      experiment.results[1].metrics.trainer_idle_seconds = seed == 7 ? 2 : 4;
      result.experiments.push_back(experiment);
    }
    return result;
  }
  static bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  void page_holds_every_variant_and_links_nowhere() {
    const std::string page = report_page({report()});
    for (const char* part : {"round-robin", "stoneport", "Seeds 7, 8",
                             "0.3<br><small>0.2 &ndash; 0.4", "<svg", "No guarantee broken"}) {
      CPPUNIT_ASSERT_MESSAGE(part, contains(page, part));
    }
    CPPUNIT_ASSERT(!contains(page, "http"));
    CPPUNIT_ASSERT(!contains(page, "src="));
  }

  void page_says_when_a_guarantee_was_broken() {
    ScenarioReport broken = report();
    broken.experiments[1].results[0].metrics.samples_duplicate = 1;
    CPPUNIT_ASSERT(contains(report_page({broken}), "A guarantee was broken"));
  }

  void fit_goes_through_points_on_a_line() {
    const Slope slope = fit({{10, 25}, {20, 45}, {40, 85}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, slope.per_member, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, slope.at_zero, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, fit({{3, 7}}).at_zero, 1e-9);
  }

  void small_cluster_learns_of_everything() {
    HollowClusterSettings settings;
    settings.members = 5;
    settings.threads = 2;
    HollowCluster cluster(settings);
    CPPUNIT_ASSERT(cluster.start().has_value());
    const auto limit = std::chrono::seconds(60);
    const auto knows = [](std::size_t count, wire::MemberState state) {
      return [count, state](const controllers::GossipController& controller) {
        std::size_t found = 0;
        for (const wire::Member& member : controller.members()) {
          found += member.state == state ? 1 : 0;
        }
        return found == count;
      };
    };
    CPPUNIT_ASSERT(cluster.wait_for_all(knows(5, wire::MemberState::kAlive), limit).has_value());
    cluster.kill(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.running_count());
    CPPUNIT_ASSERT(cluster.wait_for_all(knows(1, wire::MemberState::kDead), limit).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace stoneport::bench
