/// \file
/// Completions: whole texts with their weight versions, cut streams, refusals.
#include "contract/scripted_engine.hpp"

namespace stoneport::caller_test {
namespace {

using core::ErrorCode;
using ports::FinishReason;

const Script kWhole = {chunk(0, 2, "ab", 7), chunk(2, 1, "c", 7), chunk(3, 3, "def", 8),
                       end_of_stream(6)};
const char* const kSpans = R"([{"token_count":3,"version":7},{"token_count":3,"version":8}])";

/// Two engines of model "chat": the first is taken first.
class CompletionFixture {
 public:
  CompletionFixture() : callers(CallerOptions{{}, &engines}) {
    const auto executor = callers.context.get_executor();
    first = std::make_shared<ScriptedEngine>(executor);
    second = std::make_shared<ScriptedEngine>(executor);
    auto table = std::make_shared<routing::RoutingTable>();
    std::vector<routing::Replica>& replicas = table->models[core::ModelName("chat")];
    for (std::uint16_t index = 0; index < 2; ++index) {
      routing::Replica replica;
      replica.id = core::ReplicaId("engine-" + std::to_string(index));
      replica.address = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
      replica.region = core::RegionName(index == 0 ? "region" : "far");
      replica.zone = core::ZoneName("zone");
      replicas.push_back(replica);
      engines.engines[replica.address] = index == 0 ? first : second;
    }
    callers.routing_tables.publish(table);
    first->script = kWhole;
    second->script = kWhole;
  }

  CallerView complete(bool stream, const std::string& model = "chat") {
    nlohmann::json body = {{"model", model}, {"prompt", "hello"}, {"stream", stream}};
    return callers.call("POST", "/v1/completions", body.dump());
  }

  ScriptedEngines engines;
  std::shared_ptr<ScriptedEngine> first;
  std::shared_ptr<ScriptedEngine> second;
  CallerFixture callers;
};

/// Text and spans out of either form of answer.
struct Completion {
  std::string text;
  std::string spans;
  std::string finish_reason;
  bool has_done_mark = false;
};

Completion read_completion(const CallerView& view, bool stream) {
  Completion result;
  const auto take = [&](const nlohmann::json& document) {
    result.text += document["choices"][0]["text"].get<std::string>();
    if (document.contains("stoneport")) {
      result.spans = document["stoneport"]["spans"].dump();
      result.finish_reason = document["choices"][0]["finish_reason"].get<std::string>();
    }
  };
  if (!stream) {
    take(nlohmann::json::parse(view.body));
    return result;
  }
  std::istringstream lines(view.body);
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      result.has_done_mark = true;
    } else if (line.starts_with("data: ")) {
      take(nlohmann::json::parse(line.substr(6)));
    }
  }
  return result;
}

}  // namespace

class CallerCompletionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerCompletionsTest);
  CPPUNIT_TEST(whole_completions_carry_their_versions);
  CPPUNIT_TEST(broken_streams);
  CPPUNIT_TEST(engines_that_refuse);
  CPPUNIT_TEST(streams_that_break_at_all_engines_are_502);
  CPPUNIT_TEST(malformed_requests);
  CPPUNIT_TEST(members_reach_the_engine);
  CPPUNIT_TEST(a_leaving_caller_cancels_the_stream);
  CPPUNIT_TEST_SUITE_END();

 public:
  void whole_completions_carry_their_versions() {
    for (const bool stream : {false, true}) {
      CompletionFixture fixture;
      const CallerView view = fixture.complete(stream);
      const Completion completion = read_completion(view, stream);
      CPPUNIT_ASSERT_EQUAL(200u, view.status);
      CPPUNIT_ASSERT_EQUAL(std::string("completed"), view.outcome);
      CPPUNIT_ASSERT_EQUAL(std::string("abcdef"), completion.text);
      CPPUNIT_ASSERT_EQUAL(std::string(kSpans), completion.spans);
      CPPUNIT_ASSERT_EQUAL(std::string("stop"), completion.finish_reason);
      CPPUNIT_ASSERT_EQUAL(stream, completion.has_done_mark);
      const std::string type = stream ? "text/event-stream" : "application/json";
      CPPUNIT_ASSERT(view.headers.find("Content-Type") == type);
      CPPUNIT_ASSERT(fixture.first->cancelled.empty());
    }
  }

  void broken_streams() {
    struct Case {
      const char* name;
      Script script;
      std::vector<Script> resumed;
      /// "whole", "cut" or the outcome of a refusal; not streamed, then streamed.
      const char* whole_document;
      const char* streamed;
      const char* spans;
      std::size_t runs_at_second;
    };
    const ScriptItem cut = failure(ErrorCode::kTruncated);
    const std::vector<Case> cases = {
        {"resumed after a cut",
         {chunk(0, 2, "ab", 7), cut},
         {{chunk(2, 1, "c", 7), chunk(3, 3, "def", 8), end_of_stream(6)}},
         "whole",
         "whole",
         kSpans,
         0},
        {"resumed after the swap to another version",
         {chunk(0, 3, "abc", 7), cut},
         {{chunk(3, 3, "def", 9), end_of_stream(6)}},
         "whole",
         "whole",
         R"([{"token_count":3,"version":7},{"token_count":3,"version":9}])",
         0},
        {"resumed twice",
         {chunk(0, 2, "ab", 7), cut},
         {{cut}, {chunk(2, 4, "cdef", 7), end_of_stream(6)}},
         "whole",
         "whole",
         R"([{"token_count":6,"version":7}])",
         0},
        {"cut before the first token, stream lost", {cut}, {}, "whole", "whole", kSpans, 1},
        {"cut after a token, stream lost",
         {chunk(0, 2, "xx", 3), cut},
         {},
         "whole",
         "cut",
         kSpans,
         1},
        {"a hole in the offsets",
         {chunk(0, 2, "xx", 3), chunk(3, 1, "x", 3), end_of_stream(3)},
         {},
         "whole",
         "cut",
         kSpans,
         1},
        {"a repeated chunk",
         {chunk(0, 2, "xx", 3), chunk(0, 2, "xx", 3), end_of_stream(4)},
         {},
         "whole",
         "cut",
         kSpans,
         1},
        {"an end that counts more",
         {chunk(0, 2, "xx", 3), end_of_stream(5)},
         {},
         "whole",
         "cut",
         kSpans,
         1},
        {"cancelled by the engine",
         {chunk(0, 2, "xx", 3), end_of_stream(2, FinishReason::kCancelled)},
         {},
         "whole",
         "cut",
         kSpans,
         1},
        {"a chunk without a version",
         {chunk(0, 2, "ab", 7), chunk(2, 4, "cdef", std::nullopt), end_of_stream(6)},
         {},
         "whole",
         "whole",
         R"([{"token_count":2,"version":7},{"token_count":4,"version":null}])",
         0},
        {"out of time", {failure(ErrorCode::kDeadlineExceeded)}, {}, "unknown", "unknown", "", 0},
    };
    for (const Case& test : cases) {
      for (const bool stream : {false, true}) {
        CompletionFixture fixture;
        fixture.first->script = test.script;
        fixture.first->resume_scripts.assign(test.resumed.begin(), test.resumed.end());
        const CallerView view = fixture.complete(stream);
        const std::string expected = stream ? test.streamed : test.whole_document;
        const std::string actual = view.cut ? "cut" : (view.status == 200 ? "whole" : view.outcome);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, expected, actual);
        if (actual == "whole") {
          const Completion completion = read_completion(view, stream);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string("abcdef"), completion.text);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.spans), completion.spans);
        }
        const std::size_t runs = actual == "cut" ? 0 : test.runs_at_second;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, runs, fixture.second->requests.size());
        for (const auto& [id, offset] : fixture.first->resumed) {
          CPPUNIT_ASSERT_EQUAL(fixture.first->requests[0].stream.value(), id);
        }
      }
    }
  }

  void engines_that_refuse() {
    struct Case {
      ErrorCode refusal;
      bool goes_elsewhere;
      const char* outcome_alone;
      unsigned status_alone;
    };
    const std::vector<Case> cases = {
        {ErrorCode::kUnavailable, true, "not-run", 503},
        {ErrorCode::kRateLimited, true, "not-run", 429},
        {ErrorCode::kOverloaded, true, "not-run", 503},
        {ErrorCode::kOutcomeUnknown, true, "unknown", 502},
        {ErrorCode::kInvalidArgument, false, "not-run", 400},
        {ErrorCode::kDeadlineExceeded, false, "unknown", 504},
    };
    for (const Case& test : cases) {
      CompletionFixture fixture;
      fixture.first->refusal = test.refusal;
      const CallerView view = fixture.complete(false);
      CPPUNIT_ASSERT_EQUAL(test.goes_elsewhere ? 200u : test.status_alone, view.status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(test.goes_elsewhere), fixture.second->requests.size());
      CompletionFixture both;
      both.first->refusal = test.refusal;
      both.second->refusal = test.refusal;
      const CallerView refused = both.complete(true);
      CPPUNIT_ASSERT_EQUAL(std::string(test.outcome_alone), refused.outcome);
      CPPUNIT_ASSERT(refused.headers.find("Retry-After"));
      // A stream that may be running is cancelled where it may be.
      const bool may_run = test.outcome_alone == std::string("unknown");
      both.callers.run_until([&] { return both.first->cancelled.size() == std::size_t(may_run); });
    }
  }

  /// A 503 said that the completion has not run, after every engine had begun it.
  void streams_that_break_at_all_engines_are_502() {
    for (const ErrorCode code :
         {ErrorCode::kProtocol, ErrorCode::kTruncated, ErrorCode::kUnavailable}) {
      CompletionFixture fixture;
      fixture.first->script = {failure(code)};
      fixture.second->script = {failure(code)};
      const CallerView view = fixture.complete(false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(core::to_string(code)), 502u, view.status);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), view.outcome);
    }
  }

  void malformed_requests() {
    struct Case {
      const char* body;
      unsigned status;
    };
    const std::vector<Case> cases = {
        {"", 400},
        {"no json", 400},
        {"[]", 400},
        {"{}", 400},
        {R"({"model":"chat"})", 400},
        {R"({"prompt":"x"})", 400},
        {R"({"model":7,"prompt":"x"})", 400},
        {R"({"model":"chat","prompt":["x"]})", 400},
        {R"({"model":"chat","prompt":"x","max_tokens":0})", 400},
        {R"({"model":"chat","prompt":"x","max_tokens":-1})", 400},
        {R"({"model":"chat","prompt":"x","max_tokens":"9"})", 400},
        {R"({"model":"chat","prompt":"x","temperature":-0.5})", 400},
        {R"({"model":"chat","prompt":"x","stream":"yes"})", 400},
        {R"({"model":"chat","prompt":"x","n":2})", 400},
        {R"({"model":"unknown","prompt":"x"})", 404},
        {R"({"model":"chat","prompt":"x","n":1,"top_p":0.5})", 200},
    };
    CompletionFixture fixture;
    for (const Case& test : cases) {
      const CallerView view = fixture.callers.call("POST", "/v1/completions", test.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.body, test.status, view.status);
      const std::string outcome = test.status == 200 ? "completed" : "not-run";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.body, outcome, view.outcome);
    }
    CPPUNIT_ASSERT_EQUAL(405u, fixture.callers.call("GET", "/v1/completions").status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.first->requests.size());
  }

  void members_reach_the_engine() {
    CompletionFixture fixture;
    const char* body = R"({"model":"chat","prompt":"hello","max_tokens":9,"temperature":0.25,
                           "seed":5,"adapter":"tone"})";
    fixture.callers.call("POST", "/v1/completions", body);
    fixture.callers.call("POST", "/v1/completions", body);
    const ports::GenerationRequest& request = fixture.first->requests.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), request.prompt);
    CPPUNIT_ASSERT_EQUAL(9u, request.max_tokens);
    CPPUNIT_ASSERT_EQUAL(0.25, request.temperature);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), request.seed);
    CPPUNIT_ASSERT(request.adapter == core::AdapterName("tone"));
    CPPUNIT_ASSERT(request.stream != fixture.first->requests.at(1).stream);
  }

  void a_leaving_caller_cancels_the_stream() {
    for (const char* stream : {"false", "true"}) {
      CompletionFixture fixture;
      fixture.first->script = {chunk(0, 2, "ab", 7), std::nullopt};
      tcp::socket caller(fixture.callers.context);
      const core::Address address = fixture.callers.server.local_address();
      caller.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
      const std::string body =
          std::string(R"({"model":"chat","prompt":"x","stream":)") + stream + "}";
      const std::string text = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body;
      http_test::run(fixture.callers.context, http_test::write_raw(caller, text));
      fixture.callers.run_until([&] { return fixture.first->requests.size() == 1; });
      caller.close();
      fixture.callers.run_until([&] { return fixture.first->cancelled.size() == 1; });
      CPPUNIT_ASSERT_EQUAL(fixture.first->requests[0].stream.value(), fixture.first->cancelled[0]);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.second->requests.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCompletionsTest);

}  // namespace stoneport::caller_test
