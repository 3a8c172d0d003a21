/// \file
/// Tests of the load generator's plan, its check of answers and its counts.
#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "bench/answer_check.hpp"
#include "bench/command_line.hpp"
#include "bench/load_plan.hpp"
#include "bench/load_result.hpp"
#include "core/hash.hpp"

namespace stoneport::bench {

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(same_seed_gives_same_requests);
  CPPUNIT_TEST(identifiers_are_unique_and_top_ups_carry_a_key);
  CPPUNIT_TEST(answers_that_differ_are_described);
  CPPUNIT_TEST(report_fails_on_a_wrong_answer_or_a_missing_outcome);
  CPPUNIT_TEST(percentiles_by_nearest_rank);
  CPPUNIT_TEST(addresses_are_parsed_whole);
  CPPUNIT_TEST_SUITE_END();

  void same_seed_gives_same_requests() {
    LoadPlan first({}, "run", 5);
    LoadPlan second({}, "run", 5);
    for (int index = 0; index < 200; ++index) {
      const LoadRequest left = first.next();
      const LoadRequest right = second.next();
      CPPUNIT_ASSERT_EQUAL(left.request_id, right.request_id);
      CPPUNIT_ASSERT_EQUAL(left.path, right.path);
      CPPUNIT_ASSERT_EQUAL(left.body, right.body);
    }
  }

  void identifiers_are_unique_and_top_ups_carry_a_key() {
    LoadMix mix;
    mix.top_up_share = 0.5;
    LoadPlan plan(mix, "run", 1);
    std::set<std::string> ids;
    std::set<std::string> keys;
    std::size_t top_ups = 0;
    for (int index = 0; index < 1000; ++index) {
      const LoadRequest request = plan.next();
      ids.insert(request.request_id);
      const bool is_top_up = request.kind == LoadKind::kTopUp;
      CPPUNIT_ASSERT_EQUAL(is_top_up, !request.idempotency_key.empty());
      if (is_top_up) {
        ++top_ups;
        keys.insert(request.idempotency_key);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, ids.size());
    CPPUNIT_ASSERT_EQUAL(top_ups, keys.size());
    CPPUNIT_ASSERT(top_ups > 400 && top_ups < 600);
  }

  void answers_that_differ_are_described() {
    LoadRequest lookup;
    lookup.kind = LoadKind::kLookup;
    lookup.item = "7";
    const std::string line = "item 7 " + std::to_string(core::hash64("7")) + "\n";
    lookup.item_bytes = line.size() + 3;
    LoadRequest top_up;
    top_up.kind = LoadKind::kTopUp;
    top_up.idempotency_key = "key-1";
    top_up.body = "{}";
    const std::string hash = std::to_string(core::hash64("{}"));
    LoadRequest echo;
    echo.kind = LoadKind::kEcho;
    echo.body = "abc";
    struct Case {
      LoadRequest request;
      std::string body;
      bool whole;
    };
    const Case cases[] = {
        {lookup, line + "ite", true},
        {lookup, line + "it", false},
        {lookup, line + "itf", false},
        {lookup, "", false},
        {top_up, R"({"request":"key-1","body_hash":")" + hash + "\"}", true},
        {top_up, R"({"request":"key-2","body_hash":")" + hash + "\"}", false},
        {top_up, R"({"request":"key-1","body_hash":"0"})", false},
        {top_up, R"({"request":"key-1")", false},
        {echo, "abc", true},
        {echo, "ab", false},
        {echo, "abd", false},
    };
    for (const Case& one : cases) {
      const bool whole = describe_wrong_answer(one.request, one.body).empty();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.body, one.whole, whole);
    }
  }

  void report_fails_on_a_wrong_answer_or_a_missing_outcome() {
    LoadReport good;
    good.through.completed = 3;
    CPPUNIT_ASSERT(to_json(good)["ok"].get<bool>());
    LoadReport wrong = good;
    wrong.through.wrong_answers = 1;
    CPPUNIT_ASSERT(!to_json(wrong)["ok"].get<bool>());
    LoadReport missing = good;
    missing.through.outcome_missing = 1;
    CPPUNIT_ASSERT(!to_json(missing)["ok"].get<bool>());
  }

  void percentiles_by_nearest_rank() {
    Distribution values;
    CPPUNIT_ASSERT_EQUAL(0.0, values.percentile(0.5));
    for (int value = 100; value >= 1; --value) {
      values.add(value);
    }
    CPPUNIT_ASSERT_EQUAL(50.0, values.percentile(0.5));
    CPPUNIT_ASSERT_EQUAL(99.0, values.percentile(0.99));
    CPPUNIT_ASSERT_EQUAL(100.0, values.maximum());
    CPPUNIT_ASSERT_EQUAL(1.0, values.percentile(0));
  }

  void addresses_are_parsed_whole() {
    const auto good = parse_address("127.0.0.1:80");
    CPPUNIT_ASSERT(good.has_value());
    CPPUNIT_ASSERT(*good == (core::Address{"127.0.0.1", 80}));
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:80x",
                             "host:80", "127.0.0.1:70000"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !parse_address(text).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace stoneport::bench
