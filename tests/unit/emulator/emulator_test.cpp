/// \file
/// The emulator as a whole, in this process, over loopback: fault switches,
/// crash and return, streams.
#include "emulator_fixture.hpp"

namespace stoneport::emulator {
namespace {

const std::string kEngine = "model-hall-1";
const std::string kOtherEngine = "model-hall-2";

std::string completion(const std::string& stream, std::uint32_t max_tokens = 8) {
  const json body = {{"model", "model"},    {"prompt", "prompt"}, {"max_tokens", max_tokens},
                     {"stream_id", stream}, {"seed", 1},          {"epoch", 1}};
  return body.dump();
}

class EmulatorTest : public EmulatorFixture {
  CPPUNIT_TEST_SUITE(EmulatorTest);
  CPPUNIT_TEST(listener_faults);
  CPPUNIT_TEST(lost_answer_takes_effect);
  CPPUNIT_TEST(stream_goes_on_when_its_answer_is_lost);
  CPPUNIT_TEST(port_in_use_is_refused);
  CPPUNIT_TEST(unknown_switch_is_refused);
  CPPUNIT_TEST(stream_is_whole_and_can_be_read_again);
  CPPUNIT_TEST(chunk_loses_its_version);
  CPPUNIT_TEST(stream_moves_to_another_engine);
  CPPUNIT_TEST(crashed_engine_returns_as_new_incarnation);
  CPPUNIT_TEST(leaving_back_end_is_listed_and_watched);
  CPPUNIT_TEST(top_ups_are_counted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void listener_faults() {
    struct Case {
      const char* switches;
      const char* target;
      unsigned status;  ///< 0: cut
    };
    const std::vector<Case> cases = {
        {R"({})", "/balances/1", 200},
        {R"({"refuse":true})", "/balances/1", 503},
        {R"({"refused_requests":1})", "/balances/1", 503},
        {R"({"disconnect":true})", "/balances/1", 0},
        {R"({"disconnect":true,"path_prefix":"/other"})", "/balances/1", 200},
        {R"({"cut_bodies":1,"cut_after_bytes":10})", "/items/1?size=5000", 0},
        {R"({"cut_bodies":1,"cut_after_bytes":10})", "/items/1?size=5000&chunked=1", 0},
        {R"({"cut_bodies":1,"cut_after_bytes":9000})", "/items/1?size=5000", 0},
        {R"({"lost_answers":1})", "/balances/1", 200},
        {R"({"lost_answers":1,"only_writes_lose":false})", "/balances/1", 0},
        {R"({"requests_per_second":0.001})", "/balances/1", 200},
        {R"({"latency_ms":5,"response_bytes_per_second":1000000})", "/items/1?size=5000", 200},
    };
    for (const Case& tried : cases) {
      set_faults(kReplica, tried.switches);
      const Outcome outcome = client_.send(replica(), "GET", tried.target);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(tried.switches, tried.status, outcome.status);
      CPPUNIT_ASSERT_EQUAL(204U, control("DELETE", "faults/" + kReplica).status);
    }
    set_faults(kReplica, R"({"requests_per_second":0.001})");
    client_.send(replica(), "GET", "/balances/1");
    CPPUNIT_ASSERT_EQUAL(429U, client_.send(replica(), "GET", "/balances/1").status);
    set_faults(kReplica, R"({"requests_per_second":0,"hang":true})");
    constexpr core::Duration kShort = std::chrono::milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(0U, client_.send(replica(), "GET", "/balances/1", "", kShort).status);
  }

  void lost_answer_takes_effect() {
    set_faults("table_service", R"({"lost_answers":1})");
    const std::string transaction =
        R"({"write_id":"w","conditions":[{"table":"t","key":"a/b","revision":0}],)"
        R"("writes":[{"table":"t","key":"a/b","value":"v"}]})";
    const auto commit = [&] {
      return client_.send(table(), "POST", "/v1/transactions", transaction);
    };
    CPPUNIT_ASSERT_EQUAL(0U, commit().status);
    const Outcome row = client_.send(table(), "GET", "/v1/tables/t/rows/a%2Fb");
    CPPUNIT_ASSERT_EQUAL(std::string("w"), row.document().at("written_by").get<std::string>());
    const Outcome repeated = commit();
    CPPUNIT_ASSERT_EQUAL(200U, repeated.status);
    CPPUNIT_ASSERT_EQUAL(row.document().at("revision"), repeated.document().at("revision"));
    const Outcome scan = client_.send(table(), "GET", "/v1/tables/t/rows?prefix=a&after=0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scan.document().at("rows").size());
  }

  void stream_goes_on_when_its_answer_is_lost() {
    set_faults(kEngine, R"({"lost_answers":1})");
    const auto start = [this] {
      return client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1")).status;
    };
    CPPUNIT_ASSERT_EQUAL(0U, start());
    CPPUNIT_ASSERT_EQUAL(409U, start());
    const Outcome stream = client_.send(engine(kEngine), "GET", "/v1/streams/e%2F1");
    CPPUNIT_ASSERT(stream.body.ends_with("data: [DONE]\n\n"));
  }

  void port_in_use_is_refused() {
    EmulatorSettings settings;
    settings.listeners.table_service = table().port;
    Emulator second(settings);
    CPPUNIT_ASSERT(second.start().error().code == core::ErrorCode::kUnavailable);
  }

  void unknown_switch_is_refused() {
    CPPUNIT_ASSERT_EQUAL(400U, control("PUT", "faults/" + kEngine, R"({"refus":true})").status);
    CPPUNIT_ASSERT_EQUAL(400U, control("PUT", "faults/" + kEngine, R"({"refuse":1})").status);
    CPPUNIT_ASSERT_EQUAL(400U, control("PUT", "faults/" + kEngine, "{").status);
    CPPUNIT_ASSERT_EQUAL(404U, control("PUT", "faults/nobody", "{}").status);
    set_faults(kEngine, R"({"slowdown":2,"latency_ms":3})");
    const json switches = control("GET", "faults/" + kEngine).document();
    CPPUNIT_ASSERT_EQUAL(2.0, switches.at("slowdown").get<double>());
    CPPUNIT_ASSERT_EQUAL(3.0, switches.at("latency_ms").get<double>());
  }

  void stream_is_whole_and_can_be_read_again() {
    const Outcome first =
        client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1"));
    CPPUNIT_ASSERT_EQUAL(200U, first.status);
    CPPUNIT_ASSERT(first.body.ends_with("data: [DONE]\n\n"));
    const Outcome again = client_.send(engine(kEngine), "GET", "/v1/streams/e%2F1?offset=0");
    CPPUNIT_ASSERT(again.body.find(R"("token_count":8)") != std::string::npos);
    CPPUNIT_ASSERT(again.body.ends_with("data: [DONE]\n\n"));
    CPPUNIT_ASSERT_EQUAL(
        409U, client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1")).status);
    CPPUNIT_ASSERT_EQUAL(404U, client_.send(engine(kEngine), "GET", "/v1/streams/none").status);
  }

  void chunk_loses_its_version() {
    set_faults(kEngine, R"({"chunks_without_version":1})");
    const Outcome lost =
        client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1"));
    CPPUNIT_ASSERT(lost.body.find("version") == std::string::npos);
    const Outcome again = client_.send(engine(kEngine), "GET", "/v1/streams/e%2F1");
    CPPUNIT_ASSERT(again.body.find(R"("version":1)") != std::string::npos);
  }

  void stream_moves_to_another_engine() {
    // Frozen at the start, so that the stream is surely unfinished.
    set_faults(kEngine, R"({"frozen":true})");
    constexpr core::Duration kShort = std::chrono::milliseconds(100);
    client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1"), kShort);
    const Outcome exported = client_.send(engine(kEngine), "POST", "/v1/streams/e%2F1/export");
    CPPUNIT_ASSERT_EQUAL(200U, exported.status);
    json import = {{"handle", exported.document().at("handle")},
                   {"source_ip", engine(kEngine).ip},
                   {"source_port", engine(kEngine).port},
                   {"offset", 0}};
    const Outcome moved =
        client_.send(engine(kOtherEngine), "POST", "/v1/streams/e%2F1/import", import.dump());
    CPPUNIT_ASSERT_EQUAL(200U, moved.status);
    CPPUNIT_ASSERT(moved.body.ends_with("data: [DONE]\n\n"));
    const Outcome here =
        client_.send(engine(kOtherEngine), "POST", "/v1/completions", completion("e/2"));
    const auto text = [](const Outcome& outcome) {
      const std::size_t begin = outcome.body.find(R"("text":")");
      return outcome.body.substr(begin, outcome.body.find('"', begin + 8) - begin);
    };
    CPPUNIT_ASSERT_EQUAL(text(here), text(moved));
    import["handle"] = "unknown";
    CPPUNIT_ASSERT_EQUAL(
        404U, client_.send(engine(kOtherEngine), "POST", "/v1/streams/e%2F1/import", import.dump())
                  .status);
  }

  void crashed_engine_returns_as_new_incarnation() {
    client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1"));
    CPPUNIT_ASSERT_EQUAL(204U, control("POST", "back_ends/" + kEngine + "/crash").status);
    CPPUNIT_ASSERT_EQUAL(0U, client_.send(engine(kEngine), "GET", "/v1/report").status);
    CPPUNIT_ASSERT_EQUAL(204U, control("POST", "back_ends/" + kEngine + "/restart").status);
    const Outcome report = client_.send(engine(kEngine), "GET", "/v1/report");
    CPPUNIT_ASSERT_EQUAL(2, report.document().at("incarnation").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, machine(kEngine).at("incarnation").get<int>());
    CPPUNIT_ASSERT_EQUAL(404U, client_.send(engine(kEngine), "GET", "/v1/streams/e%2F1").status);
  }

  void leaving_back_end_is_listed_and_watched() {
    for (const std::string& id : {kEngine, kReplica}) {
      CPPUNIT_ASSERT_EQUAL(204U, control("POST", "back_ends/" + id + "/leave").status);
      CPPUNIT_ASSERT_EQUAL(std::string("leaving"), machine(id).at("state").get<std::string>());
    }
    CPPUNIT_ASSERT_EQUAL(
        503U, client_.send(engine(kEngine), "POST", "/v1/completions", completion("e/1")).status);
    CPPUNIT_ASSERT_EQUAL(200U, client_.send(replica(), "GET", "/balances/1").status);
    const json replicas = control("GET", "services").document().at("replicas");
    CPPUNIT_ASSERT_EQUAL(1, replicas.at(0).at("work_while_leaving").get<int>());
  }

  void top_ups_are_counted() {
    client_.send(replica(), "POST", "/topups", "10");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"),
                         client_.send(replica(), "POST", "/echo", "hello").body);
    const json ledger = control("GET", "services/desk/ledger").document();
    CPPUNIT_ASSERT_EQUAL(2, ledger.at("runs").get<int>());
    CPPUNIT_ASSERT_EQUAL(1, ledger.at("non_repeatable_runs").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, ledger.at("unidentified_runs").get<int>());
    CPPUNIT_ASSERT_EQUAL(404U, control("GET", "services/none/ledger").status);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EmulatorTest);

}  // namespace
}  // namespace stoneport::emulator
