/// \file
/// The emulator as a whole, in this process, over loopback: fault switches,
/// crash and return, relays, and a trainer against a daemon made for the test.
#include "emulator/emulator.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include "emulator/http_answers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr core::Duration kPatience = std::chrono::seconds(20);

const char* const kSettings = R"(
time_scale = 50.0
[[policies]]
name = "policy"
[[engines]]
model = "model"
policy = "policy"
zone = "hall"
count = 2
[[services]]
service = "desk"
zone = "hall"
[[trainers]]
name = "trainer"
)";

const std::string kEngine = "model-hall-1";
const std::string kOtherEngine = "model-hall-2";
const std::string kReplica = "desk-hall-1";

/// What came of one exchange; status 0 when it was cut, refused or timed out.
struct Outcome {
  unsigned status = 0;
  std::string body;
  json document() const { return json::parse(body, nullptr, false); }
};

/// A blocking client for tests.
class TestClient {
 public:
  Outcome send(const core::Address& address, const std::string& method, const std::string& target,
               const std::string& body = "", core::Duration patience = kPatience) {
    http::Request request;
    request.head.method = method;
    request.head.target = target;
    request.body = body;
    http::SendOptions options;
    options.deadline = time_.now() + patience;
    options.fresh_connection = true;
    auto fetched = asio::co_spawn(context_, client_.fetch(address, std::move(request), options),
                                  asio::use_future);
    context_.restart();
    while (fetched.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
      context_.run_one();
    }
    const auto answer = fetched.get();
    return answer ? Outcome{answer->head.status, answer->body} : Outcome{};
  }

 private:
  asio::io_context context_;
  core::Metrics metrics_;
  core::SystemTimeSource time_;
  http::Client client_{context_.get_executor(), "test", metrics_};
};

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

std::string completion(const std::string& stream, std::uint32_t max_tokens = 8) {
  const json body = {{"model", "model"},    {"prompt", "prompt"}, {"max_tokens", max_tokens},
                     {"stream_id", stream}, {"seed", 1},          {"epoch", 1}};
  return body.dump();
}

}  // namespace

class EmulatorTest : public CppUnit::TestFixture {
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
  CPPUNIT_TEST(trainer_runs_its_steps);
  CPPUNIT_TEST(stopped_trainer_cancels_its_step);
  CPPUNIT_TEST(tcp_relay_is_cut_and_heals);
  CPPUNIT_TEST(udp_relay_is_cut_and_heals);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<Emulator> emulator_;
  json ports_;
  TestClient client_;

  static core::Address address_in(const json& entry) {
    return {entry.at("ip").get<std::string>(), entry.at("port").get<std::uint16_t>()};
  }
  Outcome control(const std::string& method, const std::string& path,
                  const std::string& body = "") {
    return client_.send(address_in(ports_.at("control")), method, "/control/" + path, body);
  }
  void set_faults(const std::string& party, const std::string& switches) {
    CPPUNIT_ASSERT_EQUAL(204U, control("PUT", "faults/" + party, switches).status);
  }
  core::Address engine(const std::string& id) { return address_in(ports_.at("engines").at(id)); }
  core::Address replica() { return address_in(ports_.at("services").at(kReplica)); }
  core::Address table() { return address_in(ports_.at("table_service")); }
  json machine(const std::string& id) {
    const Outcome list = client_.send(address_in(ports_.at("machine_list")), "GET", "/v1/machines");
    const json machines = list.document().at("machines");
    for (const json& entry : machines) {
      if (entry.at("id") == id) {
        return entry;
      }
    }
    return {};
  }

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
  void setUp() override {
    auto settings = parse_settings(kSettings);
    CPPUNIT_ASSERT(settings);
    emulator_ = std::make_unique<Emulator>(*settings);
    CPPUNIT_ASSERT(emulator_->start());
    ports_ = emulator_->ports();
  }
  void tearDown() override { emulator_.reset(); }

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

  void tcp_relay_is_cut_and_heals() {
    runtime::EventLoopThread loop("relay");
    const auto relay = make_tcp_relay(loop.executor(), replica());
    CPPUNIT_ASSERT(relay->listen({"127.0.0.1", 0}));
    loop.run();
    const auto get = [&](core::Duration patience = kPatience) {
      return client_.send(relay->address(), "GET", "/balances/1", "", patience).status;
    };
    const auto set = [&](RelaySwitches switches) {
      asio::post(loop.executor(), asio::use_future([&] { relay->set(switches); })).get();
    };
    constexpr core::Duration kShort = std::chrono::milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(200U, get());
    set({true});
    CPPUNIT_ASSERT_EQUAL(0U, get());
    set({false, true});
    CPPUNIT_ASSERT_EQUAL(0U, get(kShort));
    set({});
    CPPUNIT_ASSERT_EQUAL(200U, get());
    loop.stop();
    CPPUNIT_ASSERT(relay->totals().bytes > 0 && relay->totals().dropped >= 1);
  }

  void udp_relay_is_cut_and_heals() {
    using asio::ip::udp;
    asio::io_context context;
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket target(context, any);
    udp::socket sender(context, any);
    runtime::EventLoopThread loop("relay");
    const auto relay =
        make_udp_relay(loop.executor(), {"127.0.0.1", target.local_endpoint().port()});
    CPPUNIT_ASSERT(relay->listen({"127.0.0.1", 0}));
    const udp::endpoint entry(asio::ip::make_address("127.0.0.1"), relay->address().port);
    loop.run();
    const auto set = [&](RelaySwitches switches) {
      asio::post(loop.executor(), asio::use_future([&] { relay->set(switches); })).get();
    };
    const auto dropped = [&] {
      return asio::post(loop.executor(), asio::use_future([&] { return relay->totals().dropped; }))
          .get();
    };
    set({true});
    sender.send_to(asio::buffer("lost", 4), entry);
    while (dropped() == 0) {
    }
    set({});
    sender.send_to(asio::buffer("heard", 5), entry);
    std::array<char, 16> buffer{};
    udp::endpoint from;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, target.receive_from(asio::buffer(buffer), from));
    target.send_to(asio::buffer("back", 4), from);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sender.receive_from(asio::buffer(buffer), from));
    CPPUNIT_ASSERT(from == entry);
    loop.stop();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EmulatorTest);

}  // namespace stoneport::emulator
