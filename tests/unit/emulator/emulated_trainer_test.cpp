/// \file
/// The emulated trainer against a daemon made for the test.
#include <algorithm>

#include "emulator/generated_text.hpp"
#include "emulator/http_answers.hpp"
#include "emulator_fixture.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

/// A daemon's trainer interface that makes each sample itself, by the engines'
/// rules, and hands over one slot an answer. The first poll of a step says that
/// the step is unknown, as a replaced daemon does.
class TestDaemon {
 public:
  TestDaemon() {
    using Request = http::RoutedRequest;
    router_.add("POST", "/v1/policies/{policy}/versions", at_once([this](const Request& request) {
                  version_ = json::parse(request.body).at("version").get<std::uint64_t>();
                  return json_answer(200, json::object());
                }));
    router_.add("POST", "/v1/events/{event}/steps", at_once([this](const Request& request) {
                  return open(json::parse(request.body));
                }));
    router_.add("DELETE", "/v1/events/{event}/steps/{step}",
                at_once([](const Request&) { return empty_answer(); }));
    router_.add(
        "POST", "/v1/events/{event}/steps/{step}/poll",
        at_once([this](const Request& request) { return poll(json::parse(request.body)); }));
  }
  ~TestDaemon() { loop_.stop(); }
  core::Address start() {
    CPPUNIT_ASSERT(server_.listen({"127.0.0.1", 0}));
    const core::Address address = server_.local_address();
    loop_.run();
    return address;
  }

 private:
  http::Response open(const json& body) {
    samples_ = body.at("prompts").size() * body.at("samples_per_prompt").get<std::size_t>();
    per_prompt_ = body.at("samples_per_prompt").get<std::size_t>();
    ++opened_;
    return json_answer(200, {{"epoch", opened_}, {"samples_expected", samples_}});
  }

  http::Response poll(const json& body) {
    if (opened_ % 2 == 1) {
      return not_found_answer("step");
    }
    const std::string held = body.at("held").get<std::string>();
    const auto is_held = [&held](std::size_t slot) {
      const int byte = std::stoi(held.substr(slot / 8 * 2, 2), nullptr, 16);
      return (byte >> (slot % 8) & 1) == 1;
    };
    std::size_t slot = 0;
    while (slot < samples_ && is_held(slot)) {
      ++slot;
    }
    json samples = json::array();
    if (slot < samples_) {
      std::string text;
      append_tokens(text, slot, 0, 3, core::WeightVersion(version_));
      samples.push_back({{"prompt", slot / per_prompt_},
                         {"sample", slot % per_prompt_},
                         {"text", text},
                         {"token_count", 3},
                         {"spans", {{{"version", version_}, {"token_count", 3}}}},
                         {"score", 0.5},
                         {"engine", "test"},
                         {"attempts", 1}});
    }
    return json_answer(
        200, {{"epoch", opened_}, {"complete", slot == samples_}, {"samples", std::move(samples)}});
  }

  std::uint64_t version_ = 1;
  std::uint64_t opened_ = 0;
  std::size_t samples_ = 0;
  std::size_t per_prompt_ = 1;
  core::Metrics metrics_;
  runtime::EventLoopThread loop_{"test-daemon"};
  http::Router router_;
  http::Server server_{loop_.executor(), "test", http::ServerLimits{}, router_, metrics_};
};

class EmulatedTrainerTest : public EmulatorFixture {
  CPPUNIT_TEST_SUITE(EmulatedTrainerTest);
  CPPUNIT_TEST(trainer_runs_its_steps);
  CPPUNIT_TEST(stopped_trainer_cancels_its_step);
  CPPUNIT_TEST_SUITE_END();

  void point_trainer_to(TestDaemon& daemon) {
    const core::Address address = daemon.start();
    const json place = {{"ip", address.ip}, {"port", address.port}};
    CPPUNIT_ASSERT_EQUAL(204U, control("PUT", "trainers/trainer/daemon", place.dump()).status);
  }
  json report_at_end() {
    json report;
    do {
      report = control("GET", "trainers/trainer").document();
    } while (report.at("state") == "running");
    return report;
  }

 public:
  void trainer_runs_its_steps() {
    TestDaemon daemon;
    point_trainer_to(daemon);
    CPPUNIT_ASSERT_EQUAL(
        204U, control("PUT", "trainers/trainer/switches", R"({"lost_poll_answers":2})").status);
    const std::string run =
        R"({"event":"event","policy":"policy","steps":2,"prompts":3,"samples_per_prompt":4,)"
        R"("age_bound":0,"publish_after_samples":5})";
    CPPUNIT_ASSERT_EQUAL(202U, control("POST", "trainers/trainer/run", run).status);
    const json report = report_at_end();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), std::string("finished"),
                                 report.at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(24, report.at("samples_expected").get<int>());
    CPPUNIT_ASSERT_EQUAL(24, report.at("samples_delivered").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, report.at("samples_duplicate").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, report.at("samples_over_bound").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, report.at("samples_wrong_versions").get<int>());
    CPPUNIT_ASSERT_EQUAL(24, report.at("samples_unknown_text").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, report.at("steps_opened_again").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, report.at("lost_poll_answers").get<int>());
    CPPUNIT_ASSERT_EQUAL(3, report.at("versions_published").get<int>());
    const Outcome weights =
        client_.send(address_in(ports_.at("weight_store")), "GET", "/v1/policies/policy");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, weights.document().at("sets").size());
  }

  void stopped_trainer_cancels_its_step() {
    TestDaemon daemon;
    point_trainer_to(daemon);
    CPPUNIT_ASSERT_EQUAL(
        204U,
        control("PUT", "trainers/trainer/switches", R"({"lost_poll_answers":1000000000})").status);
    const std::string run = R"({"event":"event","policy":"policy"})";
    CPPUNIT_ASSERT_EQUAL(202U, control("POST", "trainers/trainer/run", run).status);
    CPPUNIT_ASSERT_EQUAL(409U, control("POST", "trainers/trainer/run", run).status);
    CPPUNIT_ASSERT_EQUAL(204U, control("POST", "trainers/trainer/stop").status);
    const json report = report_at_end();
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), report.at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), 1, report.at("steps_cancelled").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, report.at("samples_delivered").get<int>());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EmulatedTrainerTest);

}  // namespace
}  // namespace stoneport::emulator
