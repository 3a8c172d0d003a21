/// \file
/// What a caller is told, and how often a back end runs a request, for each
/// place where an exchange may break.
#include <array>

#include "contract/caller_fixture.hpp"

namespace stoneport::caller_test {
namespace {

struct FaultCase {
  const char* name;
  Fault fault;
  /// For a request that may be repeated, with a healthy second replica.
  const char* repeatable_outcome;
  /// For one that may not; "cut" where the caller must not get a whole response.
  const char* once_outcome;
  /// Runs at the faulty replica of either.
  int runs;
};

const std::vector<FaultCase> kFaultCases = {
    {"whole answer", Fault::kNone, "completed", "completed", 1},
    {"closed without reading the request", Fault::kCloseUnread, "completed", "unknown", 0},
    {"closed in the request's head", Fault::kCloseInHead, "completed", "unknown", 0},
    {"closed in the request's body", Fault::kCloseInBody, "completed", "unknown", 0},
    {"closed after it ran", Fault::kCloseAfterRequest, "completed", "unknown", 1},
    {"cut in the answer's head", Fault::kCutHead, "completed", "unknown", 1},
    {"cut in a sized body", Fault::kCutSizedBody, "cut", "cut", 1},
    {"cut in a chunked body", Fault::kCutChunkedBody, "cut", "cut", 1},
    {"not run by its own word", Fault::kNotRun, "completed", "not-run", 0},
    {"plain 503", Fault::kUnavailable, "completed", "completed", 1},
    {"plain 429", Fault::kTooManyRequests, "completed", "completed", 1},
    {"status 000", Fault::kZeroStatus, "completed", "unknown", 1},
    {"status 600", Fault::kLargeStatus, "completed", "unknown", 1},
    {"a blank in a name", Fault::kBlankInName, "completed", "unknown", 1},
    {"a control byte in a name", Fault::kControlInName, "completed", "unknown", 1},
};

/// Faults by which the head of an answer cannot be read.
constexpr std::array kBrokenHeads = {Fault::kCutHead, Fault::kZeroStatus, Fault::kLargeStatus,
                                     Fault::kBlankInName, Fault::kControlInName};

std::string outcome_of(const CallerView& view) {
  return view.cut ? "cut" : view.outcome;
}

http::Request top_up(bool repeatable, const std::string& body = "top-up 20") {
  return CallerFixture::request("POST", "/services/ledger/entries", body,
                                {{"Stoneport-Repeatable", repeatable ? "true" : "false"}});
}

}  // namespace

class CallerFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerFaultsTest);
  CPPUNIT_TEST(repeatable_requests_are_tried_elsewhere);
  CPPUNIT_TEST(non_repeatable_requests_are_sent_once);
  CPPUNIT_TEST(refused_connections_are_not_run);
  CPPUNIT_TEST(attempts_are_bounded);
  CPPUNIT_TEST(a_long_body_is_not_sent_again);
  CPPUNIT_TEST(a_stale_kept_connection_never_carries_a_non_repeatable_request);
  CPPUNIT_TEST(deadline_during_the_request);
  CPPUNIT_TEST(a_late_answer_reaches_nobody_else);
  CPPUNIT_TEST(callers_with_the_same_identifiers_get_their_own_answers);
  CPPUNIT_TEST(leaving_replicas_get_no_new_work);
  CPPUNIT_TEST(unreachable_replicas_are_suspect_at_once);
  CPPUNIT_TEST(replicas_that_send_broken_answers_are_suspect_at_once);
  CPPUNIT_TEST(a_broken_answer_without_another_replica_is_502);
  CPPUNIT_TEST(a_broken_request_is_no_fault_of_the_replica);
  CPPUNIT_TEST(a_leaving_caller_ends_a_repeatable_exchange);
  CPPUNIT_TEST(a_leaving_caller_does_not_cut_a_non_repeatable_request);
  CPPUNIT_TEST_SUITE_END();

 public:
  void repeatable_requests_are_tried_elsewhere() {
    for (const FaultCase& test : kFaultCases) {
      CallerFixture fixture;
      FaultyBackEnd faulty(fixture.context);
      FaultyBackEnd healthy(fixture.context);
      fixture.use({faulty.address(), healthy.address()});
      faulty.plan({test.fault});
      const CallerView view = fixture.call(top_up(true));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.repeatable_outcome),
                                   outcome_of(view));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.runs, faulty.runs);
      CPPUNIT_ASSERT_MESSAGE(test.name, healthy.runs <= 1);
    }
  }

  void non_repeatable_requests_are_sent_once() {
    for (const std::string body : {"top-up 20", ""}) {
      send_once(body);
    }
  }

  void send_once(const std::string& body) {
    for (const FaultCase& test : kFaultCases) {
      CallerFixture fixture;
      FaultyBackEnd faulty(fixture.context);
      FaultyBackEnd healthy(fixture.context);
      fixture.use({faulty.address(), healthy.address()});
      faulty.plan({test.fault});
      const CallerView view = fixture.call(top_up(false, body));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.once_outcome), outcome_of(view));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, 1, faulty.connections);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.runs, faulty.runs);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, 0, healthy.connections);
    }
  }

  void refused_connections_are_not_run() {
    for (const bool repeatable : {true, false}) {
      CallerFixture fixture;
      FaultyBackEnd refusing(fixture.context);
      FaultyBackEnd healthy(fixture.context);
      refusing.refuse();
      fixture.use({refusing.address()});
      const CallerView alone = fixture.call(top_up(repeatable));
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), alone.outcome);
      CPPUNIT_ASSERT_EQUAL(503u, alone.status);
      CPPUNIT_ASSERT(alone.headers.find("Retry-After"));
      fixture.use({refusing.address(), healthy.address()});
      CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(repeatable)).outcome);
      CPPUNIT_ASSERT_EQUAL(1, healthy.runs);
    }
  }

  void attempts_are_bounded() {
    CallerFixture fixture;
    std::vector<std::unique_ptr<FaultyBackEnd>> back_ends;
    std::vector<core::Address> addresses;
    for (int index = 0; index < 6; ++index) {
      back_ends.push_back(std::make_unique<FaultyBackEnd>(fixture.context));
      back_ends.back()->plan(std::vector<Fault>(100, Fault::kCloseAfterRequest));
      addresses.push_back(back_ends.back()->address());
    }
    fixture.use(addresses);
    const auto total_runs = [&] {
      int runs = 0;
      for (const auto& back_end : back_ends) {
        runs += back_end->runs;
      }
      return runs;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), fixture.call(top_up(true)).outcome);
    CPPUNIT_ASSERT_EQUAL(3, total_runs());
    for (int round = 0; round < 19; ++round) {
      fixture.call(top_up(true));
    }
    // Twenty first attempts, and the budget's three plus a tenth of them.
    CPPUNIT_ASSERT_EQUAL(25, total_runs());
  }

  void a_long_body_is_not_sent_again() {
    CallerFixture fixture;
    FaultyBackEnd faulty(fixture.context);
    FaultyBackEnd healthy(fixture.context);
    fixture.use({faulty.address(), healthy.address()});
    for (const auto& [size, outcome] : {std::pair(std::size_t{60'000}, "completed"),
                                        std::pair(std::size_t{200'000}, "unknown")}) {
      faulty.plan({Fault::kCloseAfterRequest});
      const CallerView view = fixture.call(top_up(true, std::string(size, 'x')));
      CPPUNIT_ASSERT_EQUAL(std::string(outcome), view.outcome);
    }
    CPPUNIT_ASSERT_EQUAL(1, healthy.runs);
  }

  void a_stale_kept_connection_never_carries_a_non_repeatable_request() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    for (int round = 0; round < 3; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                           fixture.call("GET", "/services/ledger/entries").outcome);
    }
    CPPUNIT_ASSERT_EQUAL(1, back_end.connections);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(false)).outcome);
    CPPUNIT_ASSERT_EQUAL(2, back_end.connections);
  }

  void deadline_during_the_request() {
    for (const bool repeatable : {true, false}) {
      CallerFixture fixture;
      FaultyBackEnd back_end(fixture.context);
      fixture.use({back_end.address()});
      back_end.plan({Fault::kSilent});
      http::Request message = top_up(repeatable);
      message.head.headers.add("Stoneport-Deadline-Ms", "100");
      const CallerView view = fixture.call(std::move(message));
      CPPUNIT_ASSERT_EQUAL(504u, view.status);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), view.outcome);
      CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
      CPPUNIT_ASSERT_EQUAL(repeatable, view.headers.find("Retry-After").has_value());
      fixture.run_until([&] { return back_end.cut_off == 1; });
    }
  }

  void a_late_answer_reaches_nobody_else() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    fixture.call("GET", "/services/ledger/warm-up");
    back_end.plan({Fault::kSilent});
    const CallerView late =
        fixture.call("GET", "/services/ledger/late", "", {{"Stoneport-Deadline-Ms", "50"}});
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), late.outcome);
    for (int round = 0; round < 5; ++round) {
      const std::string target = "/next/" + std::to_string(round);
      const CallerView next = fixture.call("GET", "/services/ledger" + target);
      CPPUNIT_ASSERT_EQUAL("GET " + target + " []", next.body);
    }
    CPPUNIT_ASSERT_EQUAL(2, back_end.connections);
  }

  void callers_with_the_same_identifiers_get_their_own_answers() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    std::vector<std::optional<CallerView>> views(16);
    for (std::size_t index = 0; index < views.size(); ++index) {
      http::Request message = top_up(true, "body " + std::to_string(index));
      message.head.headers.add("Idempotency-Key", "same");
      message.head.headers.add("X-Request-Id", "same");
      fixture.start(std::move(message), views[index]);
    }
    fixture.run_until([&] {
      return std::all_of(views.begin(), views.end(), [](const auto& view) { return !!view; });
    });
    for (std::size_t index = 0; index < views.size(); ++index) {
      CPPUNIT_ASSERT_EQUAL("POST /entries [body " + std::to_string(index) + "]",
                           views[index]->body);
    }
  }

  void leaving_replicas_get_no_new_work() {
    for (const auto state : {routing::ReplicaState::kLeaving, routing::ReplicaState::kDown}) {
      CallerFixture fixture;
      FaultyBackEnd leaving(fixture.context);
      FaultyBackEnd staying(fixture.context);
      fixture.use({leaving.address(), staying.address()});
      std::optional<CallerView> in_flight;
      leaving.plan({Fault::kSilent});
      fixture.start(top_up(false), in_flight);
      fixture.run_until([&] { return leaving.runs == 1; });
      fixture.use({leaving.address(), staying.address()}, state);
      for (int round = 0; round < 10; ++round) {
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(false)).outcome);
      }
      CPPUNIT_ASSERT_EQUAL(1, leaving.connections);
      CPPUNIT_ASSERT_EQUAL(0, leaving.cut_off);  // what runs there may finish
      CPPUNIT_ASSERT_EQUAL(10, staying.runs);
      fixture.use({leaving.address()}, state);
      const CallerView none_left = fixture.call(top_up(false));
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), none_left.outcome);
      CPPUNIT_ASSERT_EQUAL(503u, none_left.status);
    }
  }

  void unreachable_replicas_are_suspect_at_once() {
    CallerFixture fixture;
    FaultyBackEnd refusing(fixture.context);
    FaultyBackEnd healthy(fixture.context);
    refusing.refuse();
    fixture.use({refusing.address(), healthy.address()});
    for (int round = 0; round < 10; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(false)).outcome);
    }
    CPPUNIT_ASSERT_EQUAL(1, fixture.observer.unreachable["replica-0"]);
    CPPUNIT_ASSERT_EQUAL(10, healthy.runs);
  }

  /// Requests would go to such a replica again and again, beyond what retries may make up for.
  void replicas_that_send_broken_answers_are_suspect_at_once() {
    for (const Fault fault : kBrokenHeads) {
      CallerFixture fixture;
      FaultyBackEnd broken(fixture.context);
      FaultyBackEnd healthy(fixture.context);
      broken.plan(std::vector<Fault>(100, fault));
      fixture.use({broken.address(), healthy.address()});
      for (int round = 0; round < 10; ++round) {
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(true)).outcome);
      }
      CPPUNIT_ASSERT_EQUAL(1, broken.runs);
      CPPUNIT_ASSERT_EQUAL(10, healthy.runs);
    }
  }

  /// The answer was a 503, which says that the request has not run.
  void a_broken_answer_without_another_replica_is_502() {
    for (const bool repeatable : {true, false}) {
      for (const Fault fault : kBrokenHeads) {
        CallerFixture fixture;
        FaultyBackEnd broken(fixture.context);
        broken.plan(std::vector<Fault>(100, fault));
        fixture.use({broken.address()});
        for (int round = 0; round < 10; ++round) {
          const CallerView view = fixture.call(top_up(repeatable));
          CPPUNIT_ASSERT_EQUAL(502u, view.status);
          CPPUNIT_ASSERT_EQUAL(std::string("unknown"), view.outcome);
        }
      }
    }
  }

  void a_broken_request_is_no_fault_of_the_replica() {
    CallerFixture fixture;
    FaultyBackEnd first(fixture.context);
    FaultyBackEnd second(fixture.context);
    fixture.use({first.address(), second.address()});
    tcp::socket caller = connect_raw(fixture);
    send_raw(fixture, caller,
             "POST /services/ledger/entries HTTP/1.1\r\nHost: x\r\n"
             "Transfer-Encoding: chunked\r\n\r\nbroken chunk\r\n");
    fixture.run_until(
        [&] { return fixture.handler.requests_in_flight() == 0 && first.connections == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), fixture.call(top_up(true)).outcome);
    CPPUNIT_ASSERT_EQUAL(1, first.runs);
    CPPUNIT_ASSERT_EQUAL(0, second.runs);
  }

  void a_leaving_caller_ends_a_repeatable_exchange() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    back_end.plan({Fault::kSilent});
    tcp::socket caller = connect_raw(fixture);
    send_raw(fixture, caller,
             "GET /services/ledger/slow HTTP/1.1\r\nHost: x\r\n"
             "Stoneport-Deadline-Ms: 100000\r\n\r\n");
    fixture.run_until([&] { return back_end.runs == 1; });
    caller.close();
    fixture.run_until([&] { return back_end.cut_off == 1; });
    fixture.run_until([&] { return fixture.handler.requests_in_flight() == 0; });
  }

  void a_leaving_caller_does_not_cut_a_non_repeatable_request() {
    CallerFixture fixture;
    FaultyBackEnd back_end(fixture.context);
    fixture.use({back_end.address()});
    tcp::socket caller = connect_raw(fixture);
    send_raw(fixture, caller,
             "POST /services/ledger/entries HTTP/1.1\r\nHost: x\r\nIdempotency-Key: key\r\n"
             "Content-Length: 6\r\n\r\ntop-up");
    http_test::reset(caller);
    fixture.run_until([&] { return fixture.claims.recorded == 1; });
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
    const CallerView repeat =
        fixture.call("POST", "/services/ledger/entries", "top-up", {{"Idempotency-Key", "key"}});
    CPPUNIT_ASSERT_EQUAL(std::string("POST /entries [top-up]"), repeat.body);
    CPPUNIT_ASSERT_EQUAL(1, back_end.runs);
  }

 private:
  static tcp::socket connect_raw(CallerFixture& fixture) {
    tcp::socket socket(fixture.context);
    const core::Address address = fixture.server.local_address();
    socket.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    return socket;
  }
  static void send_raw(CallerFixture& fixture, tcp::socket& socket, const std::string& text) {
    http_test::run(fixture.context, http_test::write_raw(socket, text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerFaultsTest);

}  // namespace stoneport::caller_test
