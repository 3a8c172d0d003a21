/// \file
/// Tests requests that carry an idempotency key and must be executed at most once.
#include "contract/caller_fixture.hpp"

namespace stoneport::caller_test {
namespace {

http::Request keyed(const std::string& body, const std::string& tenant = "first",
                    const std::string& key = "key") {
  return CallerFixture::request("POST", "/services/ledger/entries", body,
                                {{"Idempotency-Key", key}, {"Stoneport-Tenant", tenant}});
}

}  // namespace

class CallerClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerClaimsTest);
  CPPUNIT_TEST(a_repeat_gets_the_first_outcome);
  CPPUNIT_TEST(repeats_after_each_fault_never_run_twice);
  CPPUNIT_TEST(keys_are_distinguished);
  CPPUNIT_TEST(reuse_of_a_key_for_another_request_is_refused);
  CPPUNIT_TEST(without_a_claim_nothing_is_sent);
  CPPUNIT_TEST(a_claim_granted_too_late_is_released);
  CPPUNIT_TEST(a_request_that_did_not_run_releases_its_claim);
  CPPUNIT_TEST(long_responses_are_not_recorded);
  CPPUNIT_TEST(an_oversized_body_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_repeat_gets_the_first_outcome() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    back_end.extra_headers = "Content-Type: text/ledger\r\n";
    fixture.use({back_end.address()});
    const CallerView first = fixture.call(keyed("20"));
    fixture.run_until([&] { return fixture.claims.recorded == 1; });
    const CallerView repeat = fixture.call(keyed("20"));
    CPPUNIT_ASSERT_EQUAL(std::string("POST /entries [20]"), first.body);
    CPPUNIT_ASSERT_EQUAL(first.body, repeat.body);
    CPPUNIT_ASSERT_EQUAL(first.status, repeat.status);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), repeat.outcome);
    CPPUNIT_ASSERT(repeat.headers.find("Content-Type") == "text/ledger");
    CPPUNIT_ASSERT(repeat.headers.find("Stoneport-Replayed") == "true");
    CPPUNIT_ASSERT(!first.headers.find("Stoneport-Replayed"));
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void repeats_after_each_fault_never_run_twice() {
    for (const Fault fault :
         {Fault::kCloseUnread, Fault::kCloseInHead, Fault::kCloseInBody, Fault::kCloseAfterRequest,
          Fault::kCutHead, Fault::kCutSizedBody, Fault::kCutChunkedBody}) {
      CallerFixture fixture;
      FaultyBackEnd back_end(fixture.context);
      FaultyBackEnd other(fixture.context);
      fixture.use({back_end.address(), other.address()});
      back_end.plan({fault});
      fixture.call(keyed("20"));
      for (int round = 0; round < 3; ++round) {
        const CallerView repeat = fixture.call(keyed("20"));
        CPPUNIT_ASSERT_EQUAL(409u, repeat.status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), repeat.outcome);
        CPPUNIT_ASSERT(repeat.headers.find("Retry-After"));
      }
      CPPUNIT_ASSERT_EQUAL(1, back_end.connections);
      CPPUNIT_ASSERT_EQUAL(0, other.connections);
    }
  }

  void keys_are_distinguished() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    for (const char* tenant : {"first", "last"}) {
      for (const char* key : {"a", "b"}) {
        CPPUNIT_ASSERT_EQUAL(200u, fixture.call(keyed("20", tenant, key)).status);
      }
    }
    CPPUNIT_ASSERT_EQUAL(4, back_end.runs);
  }

  void reuse_of_a_key_for_another_request_is_refused() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    fixture.call(keyed("20"));
    http::Request other_target = keyed("20");
    other_target.head.target = "/services/ledger/other";
    http::Request other_method = keyed("20");
    other_method.head.method = "PUT";
    for (const http::Request& other : {keyed("21"), other_target, other_method}) {
      const CallerView view = fixture.call(other);
      CPPUNIT_ASSERT_EQUAL(422u, view.status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), view.outcome);
    }
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void without_a_claim_nothing_is_sent() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    fixture.claims.is_down = true;
    const CallerView view = fixture.call(keyed("20"));
    CPPUNIT_ASSERT_EQUAL(503u, view.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), view.outcome);
    CPPUNIT_ASSERT_EQUAL(0, back_end.connections);
    http::Request repeatable = keyed("20");
    repeatable.head.headers.add("Stoneport-Repeatable", "true");
    CPPUNIT_ASSERT_EQUAL(200u, fixture.call(repeatable).status);
  }

  void a_claim_granted_too_late_is_released() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    fixture.claims.stall = std::make_shared<asio::steady_timer>(
        fixture.context, asio::steady_timer::time_point::max());
    http::Request request = keyed("20");
    request.head.headers.add("Stoneport-Deadline-Ms", "50");
    const CallerView view = fixture.call(request);
    CPPUNIT_ASSERT_EQUAL(504u, view.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), view.outcome);
    std::exchange(fixture.claims.stall, nullptr)->cancel();
    fixture.run_until([&] { return fixture.claims.released == 1; });
    CPPUNIT_ASSERT_EQUAL(0, back_end.connections);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(keyed("20")).outcome);
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void a_request_that_did_not_run_releases_its_claim() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    back_end.plan({Fault::kNotRun});
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), fixture.call(keyed("20")).outcome);
    fixture.run_until([&] { return fixture.claims.released == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(keyed("20")).outcome);
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void long_responses_are_not_recorded() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    back_end.extra_body = std::string(filters::kLongestRecordedBody, 'x');
    fixture.use({back_end.address()});
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(keyed("20")).outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), fixture.call(keyed("20")).outcome);
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

  void an_oversized_body_is_refused() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    const CallerView view = fixture.call(keyed(std::string(filters::kLongestClaimedBody + 1, 'x')));
    CPPUNIT_ASSERT_EQUAL(413u, view.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), view.outcome);
    CPPUNIT_ASSERT_EQUAL(0, back_end.connections);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerClaimsTest);

}  // namespace stoneport::caller_test
