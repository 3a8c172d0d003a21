/// \file
/// Tests of the demo's final line: what makes it fail.
#include "bench/demo_summary.hpp"

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::bench {

using nlohmann::json;

class DemoSummaryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemoSummaryTest);
  CPPUNIT_TEST(good_demo_is_ok_and_has_every_field);
  CPPUNIT_TEST(each_fault_is_found);
  CPPUNIT_TEST_SUITE_END();

  struct Demo {
    json trainer = json::parse(R"({"state":"finished","samples_expected":4,"samples_delivered":4,
        "samples_duplicate":0,"samples_over_bound":0,"samples_wrong_versions":0})");
    json load = json::parse(R"({"requests_completed":10,"requests_not_run":1,"requests_unknown":1,
        "ok":true,"non_repeatable":{"completed":["a"],"not_run":["b"],"unknown":["c"]}})");
    json ledger = json::parse(R"({"non_repeatable_double_runs":0,"unidentified_runs":0})");
    json runs = json::parse(R"({"a":1,"b":0,"c":1})");
    DemoExpectations expectations{3, 10, 1};
  };

  static DemoSummary summarize(const Demo& demo) {
    DemoSummary summary;
    summary.add_trainer("trainer", demo.trainer);
    summary.add_load("load", demo.load);
    summary.add_ledger("service", demo.ledger);
    summary.add_runs(demo.runs);
    summary.check(demo.expectations);
    return summary;
  }

  void good_demo_is_ok_and_has_every_field() {
    const DemoSummary summary = summarize(Demo());
    CPPUNIT_ASSERT(summary.problems().empty());
    const json expected = json::parse(R"({"samples_expected":4,"samples_delivered":4,
        "samples_duplicate":0,"samples_over_bound":0,"requests_completed":10,
        "requests_not_run":1,"requests_unknown":1,"non_repeatable_double_runs":0,"ok":true})");
    CPPUNIT_ASSERT_EQUAL(expected.dump(), summary.to_json().dump());
  }

  void each_fault_is_found() {
    struct Case {
      const char* name;
      void (*change)(Demo&);
    };
    const Case cases[] = {
        {"missing sample", [](Demo& demo) { demo.trainer["samples_delivered"] = 3; }},
        {"no sample expected",
         [](Demo& demo) {
           demo.trainer["samples_expected"] = 0;
           demo.trainer["samples_delivered"] = 0;
           demo.expectations.samples = 0;
         }},
        {"trainer failed", [](Demo& demo) { demo.trainer["state"] = "failed"; }},
        {"duplicate", [](Demo& demo) { demo.trainer["samples_duplicate"] = 1; }},
        {"over bound", [](Demo& demo) { demo.trainer["samples_over_bound"] = 1; }},
        {"wrong versions", [](Demo& demo) { demo.trainer["samples_wrong_versions"] = 1; }},
        {"wrong answer", [](Demo& demo) { demo.load["ok"] = false; }},
        {"double run", [](Demo& demo) { demo.ledger["non_repeatable_double_runs"] = 1; }},
        {"identifier lost", [](Demo& demo) { demo.ledger["unidentified_runs"] = 1; }},
        {"completed but never run", [](Demo& demo) { demo.runs["a"] = 0; }},
        {"completed and run twice", [](Demo& demo) { demo.runs["a"] = 2; }},
        {"not run but run", [](Demo& demo) { demo.runs["b"] = 1; }},
        {"unknown and run twice", [](Demo& demo) { demo.runs["c"] = 2; }},
        {"too few completed requests", [](Demo& demo) { demo.expectations.requests = 11; }},
        {"a request refused that was wanted completed",
         [](Demo& demo) {
           demo.load["requests_completed"] = 9;
           demo.load["requests_not_run"] = 2;
         }},
        {"too few samples", [](Demo& demo) { demo.expectations.samples = 5; }},
        {"too few completed top-ups", [](Demo& demo) { demo.expectations.non_repeatable = 2; }},
    };
    for (const Case& one : cases) {
      Demo demo;
      one.change(demo);
      const DemoSummary summary = summarize(demo);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, std::size_t{1}, summary.problems().size());
      CPPUNIT_ASSERT_MESSAGE(one.name, !summary.to_json()["ok"].get<bool>());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemoSummaryTest);

}  // namespace stoneport::bench
