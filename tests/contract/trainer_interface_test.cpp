/// \file
/// Tests the trainer interface over HTTP (docs/api/trainers.md).
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "http/client.hpp"
#include "http/server.hpp"
#include "steps/trainer_handler.hpp"
#include "support/step_world.hpp"

namespace stoneport::steps {
namespace {

using nlohmann::json;

const std::string kSteps = "/v1/events/event/steps";
const std::string kPoll = kSteps + "/1/poll";
const json kOpenBody = {{"step", 1},
                        {"policy_version", 1},
                        {"prompts", {"one", "two"}},
                        {"samples_per_prompt", 2},
                        {"epoch_seen", 0}};

/// Trainer listener of one daemon.
class Listener {
 public:
  explicit Listener(support::StepWorld& world)
      : service(world.daemon()),
        handler(*service),
        server(world.context.get_executor(), "trainer", {}, handler, world.metrics) {
    CPPUNIT_ASSERT(server.listen({"127.0.0.1", 0}).has_value());
  }
  ~Listener() { server.abort(); }

  std::unique_ptr<StepService> service;
  TrainerHandler handler;
  http::Server server;
};

struct Answer {
  unsigned status = 0;
  json body;
  std::optional<std::string> retry_after;
};

class TrainerInterfaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrainerInterfaceTest);
  CPPUNIT_TEST(a_step_from_open_to_cancel);
  CPPUNIT_TEST(faulty_requests_are_refused);
  CPPUNIT_TEST(replayed_opens);
  CPPUNIT_TEST(poll_hands_over_until_held);
  CPPUNIT_TEST(two_polls_at_once);
  CPPUNIT_TEST(fenced_once_then_unknown);
  CPPUNIT_TEST(refusals_carry_a_retry_delay);
  CPPUNIT_TEST(publishing_a_version);
  CPPUNIT_TEST(invalid_utf8_does_not_break_a_response);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<support::StepWorld>();
    listener_ = std::make_unique<Listener>(*world_);
    client_ =
        std::make_unique<http::Client>(world_->context.get_executor(), "test", world_->metrics);
  }
  void tearDown() override {
    client_.reset();
    listener_.reset();
    world_.reset();
  }

 private:
  boost::asio::awaitable<Answer> exchange(std::string method, std::string target,
                                          std::string body) {
    http::Request request;
    request.head.method = std::move(method);
    request.head.target = std::move(target);
    request.body = std::move(body);
    http::SendOptions options;
    options.deadline = world_->time.now() + std::chrono::seconds(20);
    const core::Address address = listener_->server.local_address();
    const auto response = co_await client_->fetch(address, std::move(request), options);
    Answer answer;
    if (response) {
      answer.status = response->head.status;
      answer.body = json::parse(response->body, nullptr, false);
      if (const auto field = response->head.headers.find("Retry-After")) {
        answer.retry_after = std::string(*field);
      }
    }
    co_return answer;
  }
  Answer send(const std::string& method, const std::string& target, const std::string& body = "") {
    return support::run_task(world_->context, exchange(method, target, body));
  }
  Answer post(const std::string& target, const json& body) {
    return send("POST", target, body.dump());
  }
  static json changed(json body, const std::string& field, const json& value) {
    body[field] = value;
    return body;
  }
  static json poll_body(const std::string& held, int wait_ms = 0, std::uint64_t epoch_seen = 0) {
    return {{"held", held}, {"epoch_seen", epoch_seen}, {"wait_ms", wait_ms}, {"max_samples", 64}};
  }
  static json without(json body, const std::string& field) {
    body.erase(field);
    return body;
  }

  void a_step_from_open_to_cancel() {
    const Answer opened = post(kSteps, kOpenBody);
    CPPUNIT_ASSERT_EQUAL(200u, opened.status);
    CPPUNIT_ASSERT(opened.body == json({{"epoch", 1}, {"samples_expected", 4}}));
    const Answer polled = post(kPoll, poll_body("00", 5000));
    CPPUNIT_ASSERT_EQUAL(200u, polled.status);
    const json& sample = polled.body["samples"][0];
    CPPUNIT_ASSERT(sample["spans"] == json::array({{{"version", 1}, {"token_count", 12}}}));
    CPPUNIT_ASSERT(sample["token_count"] == 12 && sample["score"] == 0.5);
    CPPUNIT_ASSERT(sample["attempts"] == 1 && sample["engine"].is_string());
    CPPUNIT_ASSERT_EQUAL(204u, post(kSteps + "/1/ack", {{"held", "0f"}}).status);
    CPPUNIT_ASSERT(post(kPoll, poll_body("0f")).body["complete"] == true);
    CPPUNIT_ASSERT_EQUAL(204u, send("DELETE", kSteps + "/1").status);
    CPPUNIT_ASSERT_EQUAL(404u, send("DELETE", kSteps + "/1").status);
    CPPUNIT_ASSERT_EQUAL(404u, post(kPoll, poll_body("0f")).status);
  }

  struct Fault {
    std::string name;
    std::string method;
    std::string target;
    std::string body;
    unsigned status;
    std::string code;
  };

  void faulty_requests_are_refused() {
    CPPUNIT_ASSERT_EQUAL(200u, post(kSteps, kOpenBody).status);
    const auto open = [](const std::string& field, const json& value) {
      return changed(kOpenBody, field, value).dump();
    };
    const std::string held = poll_body("00").dump();
    const std::string versions = "/v1/policies/policy/versions";
    const std::string bad = "invalid_argument";
    const std::vector<Fault> faults = {
        {"no JSON", "POST", kSteps, "{", 400, bad},
        {"no object", "POST", kSteps, "[]", 400, bad},
        {"empty body", "POST", kSteps, "", 400, bad},
        {"no step", "POST", kSteps, without(kOpenBody, "step").dump(), 400, bad},
        {"negative step", "POST", kSteps, open("step", -1), 400, bad},
        {"step as text", "POST", kSteps, open("step", "1"), 400, bad},
        {"huge step", "POST", kSteps, open("step", 1e30), 400, bad},
        {"no prompts", "POST", kSteps, open("prompts", json::array()), 400, bad},
        {"a number as prompt", "POST", kSteps, open("prompts", {"a", 1}), 400, bad},
        {"no samples", "POST", kSteps, open("samples_per_prompt", 0), 400, bad},
        {"too many samples", "POST", kSteps, open("samples_per_prompt", 1025), 400, bad},
        {"epoch as text", "POST", kSteps, open("epoch_seen", "1"), 400, bad},
        {"unknown event", "POST", "/v1/events/other/steps", kOpenBody.dump(), 404, "not_found"},
        {"slash in event", "POST", "/v1/events/a%2Fb/steps", kOpenBody.dump(), 404, "not_found"},
        {"another body", "POST", kSteps, open("prompts", {"one", "2"}), 409, "conflict"},
        {"other sample count", "POST", kSteps, open("samples_per_prompt", 3), 409, "conflict"},
        {"unknown step", "POST", kSteps + "/2/poll", held, 404, "not_found"},
        {"poll of unknown event", "POST", "/v1/events/other/steps/1/poll", held, 404, "not_found"},
        {"step in path no number", "POST", kSteps + "/x/poll", held, 400, bad},
        {"negative step in path", "POST", kSteps + "/-1/poll", held, 400, bad},
        {"step in path too large", "POST", kSteps + "/99999999999999999999/poll", held, 400, bad},
        {"bitmap too short", "POST", kPoll, poll_body("").dump(), 400, bad},
        {"bitmap too long", "POST", kPoll, poll_body("0000").dump(), 400, bad},
        {"bit past the end", "POST", kPoll, poll_body("10").dump(), 400, bad},
        {"upper case", "POST", kPoll, poll_body("0F").dump(), 400, bad},
        {"no hexadecimal", "POST", kPoll, poll_body("0g").dump(), 400, bad},
        {"no bitmap", "POST", kPoll, without(poll_body("00"), "held").dump(), 400, bad},
        {"poll without JSON", "POST", kPoll, "held", 400, bad},
        {"no samples asked", "POST", kPoll, changed(poll_body("00"), "max_samples", 0).dump(), 400,
         bad},
        {"endless wait", "POST", kPoll, changed(poll_body("00"), "wait_ms", 1e12).dump(), 400, bad},
        {"bad acknowledgement", "POST", kSteps + "/1/ack", R"({"held":"ff"})", 400, bad},
        {"acknowledgement of unknown", "POST", kSteps + "/9/ack", R"({"held":"00"})", 404,
         "not_found"},
        {"cancel of unknown", "DELETE", kSteps + "/9", "", 404, "not_found"},
        {"version zero", "POST", versions, R"({"version":0,"size_bytes":1})", 400, bad},
        {"no size", "POST", versions, R"({"version":2})", 400, bad},
        {"unknown path", "POST", "/v1/events", "{}", 404, "not_found"},
    };
    for (const Fault& fault : faults) {
      const Answer answer = send(fault.method, fault.target, fault.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, fault.status, answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.name, fault.code, answer.body.value("code", ""));
      CPPUNIT_ASSERT_MESSAGE(fault.name, !answer.body.value("message", "").empty());
    }
    CPPUNIT_ASSERT_EQUAL(405u, send("GET", kSteps).status);
    CPPUNIT_ASSERT_EQUAL(200u, post(kPoll, poll_body("00")).status);
  }

  void replayed_opens() {
    const Answer first = post(kSteps, kOpenBody);
    for (const json& replay :
         {kOpenBody, changed(kOpenBody, "epoch_seen", 1), changed(kOpenBody, "policy_version", 2),
          changed(kOpenBody, "unknown_field", true)}) {
      const Answer again = post(kSteps, replay);
      CPPUNIT_ASSERT_EQUAL(200u, again.status);
      CPPUNIT_ASSERT(again.body == first.body);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listener_->service->open_steps());
    // The trainer returns from another daemon and needs a higher epoch than the one it saw.
    const Answer back = post(kSteps, changed(kOpenBody, "epoch_seen", 7));
    CPPUNIT_ASSERT(back.body["epoch"] == 8);
  }

  void poll_hands_over_until_held() {
    post(kSteps, kOpenBody);
    json all = json::array();
    const bool ready = world_->run_until([&] {
      all = post(kPoll, poll_body("00", 100)).body["samples"];
      return all.size() == 4;
    });
    CPPUNIT_ASSERT(ready);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, post(kPoll, poll_body("00")).body["samples"].size());
    const json limited = post(kPoll, changed(poll_body("00"), "max_samples", 1)).body;
    CPPUNIT_ASSERT(limited["samples"].size() == 1 && limited["complete"] == false);
    const json rest = post(kPoll, poll_body("05")).body;
    CPPUNIT_ASSERT(rest["samples"].size() == 2 && rest["complete"] == true);
    CPPUNIT_ASSERT(rest["samples"][0]["sample"] == 1 && rest["samples"][1]["sample"] == 1);
    // A poll overtaken by a newer one does not clear slots that the newer one acknowledged.
    CPPUNIT_ASSERT(post(kPoll, poll_body("00")).body["samples"].size() == 2);
  }

  void two_polls_at_once() {
    for (const auto& engine : world_->engines) {
      engine->tokens_allowed = 0;
    }
    post(kSteps, kOpenBody);
    std::optional<Answer> older;
    boost::asio::co_spawn(world_->context, exchange("POST", kPoll, poll_body("00", 60'000).dump()),
                          [&](std::exception_ptr, Answer answer) { older = std::move(answer); });
    prometheus::Counter& polls = world_->metrics.counter("stoneport_trainer_polls_total", "");
    CPPUNIT_ASSERT(world_->run_until([&] { return polls.Value() == 1; }));
    const Answer newer = post(kPoll, poll_body("00", 10));
    CPPUNIT_ASSERT_EQUAL(200u, newer.status);
    CPPUNIT_ASSERT(world_->run_until([&] { return older.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(200u, older->status);
    CPPUNIT_ASSERT(older->body["samples"].empty() && older->body["complete"] == false);
  }

  void fenced_once_then_unknown() {
    post(kSteps, kOpenBody);
    const Answer fenced = post(kPoll, poll_body("00", 0, 2));
    CPPUNIT_ASSERT_EQUAL(409u, fenced.status);
    CPPUNIT_ASSERT_EQUAL(std::string("fenced"), fenced.body.value("code", ""));
    CPPUNIT_ASSERT_EQUAL(404u, post(kPoll, poll_body("00", 0, 2)).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, listener_->service->open_steps());
    CPPUNIT_ASSERT(post(kSteps, changed(kOpenBody, "epoch_seen", 2)).body["epoch"] == 3);
  }

  void refusals_carry_a_retry_delay() {
    for (int step = 1; step <= 64; ++step) {
      CPPUNIT_ASSERT_EQUAL(200u, post(kSteps, changed(kOpenBody, "step", step)).status);
    }
    const Answer limited = post(kSteps, changed(kOpenBody, "step", 65));
    CPPUNIT_ASSERT_EQUAL(429u, limited.status);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), limited.retry_after.value_or(""));
    listener_->service->begin_drain();
    const Answer leaving = post(kSteps, changed(kOpenBody, "step", 66));
    CPPUNIT_ASSERT_EQUAL(503u, leaving.status);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), leaving.retry_after.value_or(""));
    CPPUNIT_ASSERT_EQUAL(200u, post(kSteps, kOpenBody).status);
    CPPUNIT_ASSERT_EQUAL(200u, post(kPoll, poll_body("00")).status);
  }

  void publishing_a_version() {
    const json version = {{"version", 3}, {"size_bytes", 1000}};
    const std::string target = "/v1/policies/policy/versions";
    CPPUNIT_ASSERT_EQUAL(200u, post(target, version).status);
    CPPUNIT_ASSERT_EQUAL(200u, post(target, version).status);
    CPPUNIT_ASSERT(world_->publisher.newest_version == core::WeightVersion(3));
    world_->publisher.fails = true;
    CPPUNIT_ASSERT_EQUAL(503u, post(target, {{"version", 4}, {"size_bytes", 1}}).status);
    // The version is not published yet but the trainer reports it, so version 1 is too old.
    post(kSteps, kOpenBody);
    const Answer polled = post(kPoll, poll_body("00", 50));
    CPPUNIT_ASSERT(polled.body["samples"].empty());
  }

  void invalid_utf8_does_not_break_a_response() {
    PollAnswer answer;
    rollout::Sample sample;
    sample.text = "broken \xff text";
    sample.spans = {{core::WeightVersion(1), 1}};
    answer.samples = {sample};
    CPPUNIT_ASSERT(json::accept(format_poll_answer(answer)));
  }

  std::unique_ptr<support::StepWorld> world_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<http::Client> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrainerInterfaceTest);

}  // namespace
}  // namespace stoneport::steps
