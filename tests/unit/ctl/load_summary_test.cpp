/// \file
/// What `stoneportctl load` makes of the pages of several processes.
#include "ctl/load_summary.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "ctl/command.hpp"

namespace stoneport::ctl {

class LoadSummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadSummaryTest);
  CPPUNIT_TEST(requests_are_summed_and_places_are_not);
  CPPUNIT_TEST(a_tenant_that_is_refused_shows_with_the_reasons);
  CPPUNIT_TEST(a_replica_is_told_with_how_many_processes_avoid_it);
  CPPUNIT_TEST(a_page_that_is_none_changes_nothing);
  CPPUNIT_TEST(a_process_that_cannot_be_reached_is_told);
  CPPUNIT_TEST_SUITE_END();

  /// \return \p written with the types of numbers that its text has for the reader.
  static nlohmann::json as_read(const nlohmann::json& written) {
    return nlohmann::json::parse(written.dump());
  }
  static nlohmann::json counts(int asked, nlohmann::json refused, double longest_wait_s) {
    return {{"asked", asked},
            {"answered", asked / 2},
            {"failed", 0},
            {"abandoned", 0},
            {"sends", asked},
            {"sends_refused", 1},
            {"second_calls", 4},
            {"second_calls_won", 3},
            {"refused", std::move(refused)},
            {"longest_wait_s", longest_wait_s}};
  }
  static nlohmann::json requests(int asked, const nlohmann::json& refused, double longest_wait_s) {
    return {{"waiting", 2},
            {"recent", counts(asked, refused, longest_wait_s)},
            {"total", counts(asked * 10, refused, longest_wait_s)}};
  }
  static nlohmann::json zone(const std::string& name, int running) {
    return {{"zone", name},        {"open", true},       {"replicas", 2},
            {"places", 6},         {"running", running}, {"avoided", nlohmann::json::array()},
            {"avoided_unnamed", 0}};
  }
  static nlohmann::json avoided(const std::string& replica, bool is_ejected, double left_s) {
    return {{"replica", replica},
            {"suspect", !is_ejected},
            {"ejected", is_ejected},
            {"left_s", left_s}};
  }
  /// A service with a full zone and an idle one, and a tenant who is refused.
  static nlohmann::json page(double longest_wait_s = 0.25) {
    nlohmann::json service = requests(100, {{"overload", 30}, {"no_replica", 5}}, longest_wait_s);
    service["service"] = "desk";
    service["zones"] = {zone("east", 3), zone("west", 0)};
    nlohmann::json tenant = requests(40, {{"overload", 30}}, longest_wait_s);
    tenant["tenant"] = "ann";
    const nlohmann::json page = {{"recent_s", 10},
                                 {"services", nlohmann::json::array({service})},
                                 {"tenants", nlohmann::json::array({tenant})},
                                 {"other_services", requests(0, nlohmann::json::object(), 0)},
                                 {"other_tenants", requests(0, nlohmann::json::object(), 0)}};
    return as_read(page);
  }
  static bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  void requests_are_summed_and_places_are_not() {
    LoadSummary summary;
    CPPUNIT_ASSERT(summary.add(page()).has_value());
    CPPUNIT_ASSERT(summary.add(page(0.75)).has_value());
    const nlohmann::json service = summary.to_json()["services"][0];
    CPPUNIT_ASSERT_EQUAL(200, service["recent"]["asked"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2000, service["total"]["asked"].get<int>());
    CPPUNIT_ASSERT_EQUAL(60, service["recent"]["refused"]["overload"].get<int>());
    CPPUNIT_ASSERT_EQUAL(4, service["waiting"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0.75, service["recent"]["longest_wait_s"].get<double>());
    const nlohmann::json east = service["zones"][0];
    CPPUNIT_ASSERT_EQUAL(6, east["places"].get<int>());
    CPPUNIT_ASSERT_EQUAL(6, east["running"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, service["zones"][1]["running"].get<int>());
    const std::string table = summary.table();
    CPPUNIT_ASSERT(has(table, "2 processes, requests of the last 10 s"));
    CPPUNIT_ASSERT(has(table, "desk     all   12      6        4        0.750 s"));
    CPPUNIT_ASSERT(has(table, "desk     east  6       6        -"));
    CPPUNIT_ASSERT(has(table, "desk     west  6       0        -"));
    CPPUNIT_ASSERT(has(table, "8, won 6"));
  }

  void a_tenant_that_is_refused_shows_with_the_reasons() {
    LoadSummary summary;
    nlohmann::json one = page();
    one["other_tenants"] = as_read(requests(7, {{"regions", 7}}, 0));
    CPPUNIT_ASSERT(summary.add(one).has_value());
    const std::string table = summary.table();
    CPPUNIT_ASSERT(
        has(table, "ann       2        0.250 s       40     20        0       overload 30"));
    CPPUNIT_ASSERT(
        has(table, "(others)  2        0.000 s       7      3         0       regions 7"));
    CPPUNIT_ASSERT(has(table, "no_replica 5, overload 30"));
  }

  void a_replica_is_told_with_how_many_processes_avoid_it() {
    LoadSummary summary;
    for (int process = 0; process < 3; ++process) {
      nlohmann::json one = page();
      nlohmann::json& zone = one["services"][0]["zones"][1];
      zone["open"] = process > 0;
      zone["avoided"].push_back(avoided("r1", process < 2, process));
      CPPUNIT_ASSERT(summary.add(one).has_value());
    }
    const nlohmann::json zone = summary.to_json()["services"][0]["zones"][1];
    CPPUNIT_ASSERT_EQUAL(2, zone["avoided"][0]["ejected_at"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, zone["avoided"][0]["suspect_at"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2.0, zone["avoided"][0]["left_s"].get<double>());
    CPPUNIT_ASSERT(has(summary.table(), "west (evacuated)"));
    CPPUNIT_ASSERT(has(summary.table(), "r1 (ejected by 2, suspect at 1)"));
    nlohmann::json many = page();
    for (const std::string name : {"a", "b", "c", "d"}) {
      many["services"][0]["zones"][1]["avoided"].push_back(avoided(name, true, 1));
    }
    many["services"][0]["zones"][1]["avoided_unnamed"] = 9u;
    CPPUNIT_ASSERT(summary.add(many).has_value());
    CPPUNIT_ASSERT(has(summary.table(), "c (ejected by 1), 11 more"));
  }

  /// What other programs answer, and pages that lack a part or hold another type.
  void a_page_that_is_none_changes_nothing() {
    nlohmann::json without_zones = page();
    without_zones["services"][0].erase("zones");
    nlohmann::json without_refusals = page();
    without_refusals["tenants"][0]["recent"].erase("refused");
    nlohmann::json with_text = page();
    with_text["services"][0]["zones"][1]["places"] = "six";
    nlohmann::json with_negative = page();
    with_negative["services"][0]["recent"]["refused"]["overload"] = -1;
    for (const nlohmann::json& bad :
         {nlohmann::json(), nlohmann::json::array(), nlohmann::json::object(), nlohmann::json(7),
          without_zones, without_refusals, with_text, with_negative}) {
      LoadSummary summary;
      CPPUNIT_ASSERT(summary.add(page()).has_value());
      const nlohmann::json before = summary.to_json();
      CPPUNIT_ASSERT_MESSAGE(bad.dump(), !summary.add(bad));
      CPPUNIT_ASSERT_MESSAGE(bad.dump(), summary.to_json() == before);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, summary.processes());
    }
  }

  void a_process_that_cannot_be_reached_is_told() {
    std::ostringstream out;
    std::ostringstream err;
    // Nothing listens at the discard port of the loopback address.
    const ExitCode end = run({"load", "--json", "127.0.0.1:9"}, out, err);
    CPPUNIT_ASSERT(end == ExitCode::kUnreachable);
    CPPUNIT_ASSERT(has(err.str(), "127.0.0.1:9: cannot be reached"));
    CPPUNIT_ASSERT(out.str().empty());
    CPPUNIT_ASSERT(run({"load"}, out, err) == ExitCode::kUsage);
    CPPUNIT_ASSERT(run({"load", "nowhere"}, out, err) == ExitCode::kUsage);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadSummaryTest);

}  // namespace stoneport::ctl
