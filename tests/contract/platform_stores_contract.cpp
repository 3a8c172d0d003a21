/// \file
/// Contracts of the object store, weight store, machine list and scoring service ports: their
/// clients against faulty answers and against the emulator.
#include "emulator/emulator.hpp"
#include "platform_fixture.hpp"
#include "ports/http_machine_list.hpp"
#include "ports/http_object_store.hpp"
#include "ports/http_scoring_service.hpp"
#include "ports/http_weight_store.hpp"

namespace stoneport::platform_test {
namespace {
using ports::HttpEndpoint;

const core::PolicyName kPolicy{"compounds"};

asio::awaitable<CallEnd> get_object(HttpEndpoint endpoint) {
  ports::HttpObjectStore store(std::move(endpoint));
  co_return co_await end_of(store.get("claims/a"));
}
asio::awaitable<CallEnd> put_object(HttpEndpoint endpoint) {
  ports::HttpObjectStore store(std::move(endpoint));
  co_return co_await end_of(store.put("claims/a", "content"));
}
asio::awaitable<CallEnd> weight_status(HttpEndpoint endpoint) {
  ports::HttpWeightStore store(std::move(endpoint));
  co_return co_await end_of(store.status(kPolicy));
}
asio::awaitable<CallEnd> publish_weights(HttpEndpoint endpoint) {
  ports::HttpWeightStore store(std::move(endpoint));
  ports::WeightSet set{kPolicy, core::WeightVersion(2), 10};
  co_return co_await end_of(store.publish(std::move(set)));
}
asio::awaitable<CallEnd> list_machines(HttpEndpoint endpoint) {
  ports::HttpMachineList list(std::move(endpoint));
  co_return co_await end_of(list.list());
}
asio::awaitable<CallEnd> score_sample(HttpEndpoint endpoint) {
  const core::MonotonicTime deadline = endpoint.default_deadline();
  ports::HttpScoringService service(std::move(endpoint));
  ports::ScoringRequest request{"prompt", "completion"};
  co_return co_await end_of(
      service.score(core::ServiceName("judge"), std::move(request), deadline));
}

const PortCall kGet{"get object", CallKind::kRead, get_object};
const PortCall kPut{"put object", CallKind::kEffect, put_object};
const PortCall kStatus{"weight status", CallKind::kRead, weight_status};
const PortCall kPublish{"publish weights", CallKind::kEffect, publish_weights};
const PortCall kList{"list machines", CallKind::kRead, list_machines};
const PortCall kScore{"score", CallKind::kRead, score_sample};

/// \return a machine document with one field replaced.
std::string machine_with(const char* field, nlohmann::json value) {
  nlohmann::json machine = {{"id", "n1"},    {"role", "node"},   {"serves", ""},
                            {"ip", "::1"},   {"port", 80},       {"zone", "z"},
                            {"region", "r"}, {"incarnation", 1}, {"state", "live"}};
  machine[field] = std::move(value);
  return nlohmann::json{{"machines", {machine}}}.dump();
}

/// One listener of the emulator on the test's thread.
template <class Listener>
struct StoreFixture {
  template <class... More>
  explicit StoreFixture(More&... more)
      : listener(context.get_executor(), metrics, more...), client(context) {
    listener.listen({"127.0.0.1", 0}).value();
  }
  HttpEndpoint endpoint() { return client.endpoint(listener.address()); }

  core::Metrics metrics;  // declared first: tasks destroyed with the context still use it
  asio::io_context context;
  Listener listener;
  ClientFixture client;
};

class ObjectStoreContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreContract);
  CPPUNIT_TEST(faults);
  CPPUNIT_TEST(objects_survive_a_round_trip);
  CPPUNIT_TEST_SUITE_END();

  void faults() {
    check_common_faults({kGet, kPut});
    check_refused_connection({kGet, kPut});
    check_bad_answers(kGet, ErrorCode::kTooLarge, {{oversized_body()}});
    check_bad_answers(kGet, ErrorCode::kUnavailable, {{"half", ScriptedAnswer::Shape::kCut}});
    check_end("404", ErrorCode::kNotFound, call_scripted(kGet, {404, "", ""}));
  }

  void objects_survive_a_round_trip() {
    StoreFixture<emulator::ObjectListener> fixture;
    ports::HttpObjectStore store(fixture.endpoint());
    for (const std::string& content :
         {std::string(), std::string("\0\xff\r\n", 4), std::string(50'000, 'x')}) {
      CPPUNIT_ASSERT(http_test::run(fixture.context, store.put("claims/a b", content)));
      const auto found = http_test::run(fixture.context, store.get("claims/a b"));
      CPPUNIT_ASSERT(found && *found == content);
    }
    const auto missing = http_test::run(fixture.context, store.get("claims/a"));
    CPPUNIT_ASSERT(!missing && missing.error().code == ErrorCode::kNotFound);
    fixture.listener.faults().cut_bodies = 1;
    const auto cut = http_test::run(fixture.context, store.get("claims/a b"));
    CPPUNIT_ASSERT(!cut && cut.error().code == ErrorCode::kUnavailable);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreContract);

class WeightStoreContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightStoreContract);
  CPPUNIT_TEST(faults);
  CPPUNIT_TEST(published_sets_are_listed);
  CPPUNIT_TEST_SUITE_END();

  void faults() {
    check_common_faults({kStatus, kPublish});
    check_refused_connection({kStatus, kPublish});
    check_bad_answers(kStatus, ErrorCode::kProtocol,
                      {{""},
                       {"{}"},
                       {R"({"sets":[]})"},
                       {R"({"bytes_per_second":1})"},
                       {R"({"sets":[],"bytes_per_second":-1})"},
                       {R"({"sets":[{"version":1}],"bytes_per_second":1})"},
                       {R"({"sets":[{"version":"1","size_bytes":1}],"bytes_per_second":1})"}});
  }

  void published_sets_are_listed() {
    emulator::WeightSource source(1000);
    StoreFixture<emulator::WeightListener> fixture(source);
    ports::HttpWeightStore store(fixture.endpoint());
    ports::WeightSet set{kPolicy, core::WeightVersion(7), 123};
    CPPUNIT_ASSERT(http_test::run(fixture.context, store.publish(set)));
    const auto status = http_test::run(fixture.context, store.status(kPolicy));
    CPPUNIT_ASSERT(status && status->bytes_per_second == 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, status->sets.size());
    CPPUNIT_ASSERT(status->sets.front().version == core::WeightVersion(7));
    CPPUNIT_ASSERT(status->sets.front().size_bytes == 123);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeightStoreContract);

class MachineListContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineListContract);
  CPPUNIT_TEST(faults);
  CPPUNIT_TEST(machines_are_listed);
  CPPUNIT_TEST_SUITE_END();

  void faults() {
    check_common_faults({kList});
    check_refused_connection({kList});
    check_bad_answers(kList, ErrorCode::kProtocol,
                      {{""},
                       {"{}"},
                       {R"({"machines":[{}]})"},
                       {machine_with("id", 1)},
                       {machine_with("id", "")},
                       {machine_with("id", std::string(129, 'n'))},
                       {machine_with("role", "printer")},
                       {machine_with("state", "gone")},
                       {machine_with("port", 0)},
                       {machine_with("port", 65'536)},
                       {machine_with("incarnation", nullptr)}});
    check_bad_answers(kList, ErrorCode::kUnavailable,
                      {{"{\"machines\":[", ScriptedAnswer::Shape::kCut}});
  }

  void machines_are_listed() {
    emulator::EmulatorSettings settings;
    emulator::MachineEntry node;
    node.id = "n1";
    node.port = 4000;
    node.zone = "bole-hall";
    node.state = "leaving";
    node.incarnation = 5;
    settings.nodes = {node};
    emulator::EngineGroup engines;
    engines.model = core::ModelName("compounds");
    engines.policy = kPolicy;
    engines.zone = "kaliti-hall";
    settings.engines = {engines};
    emulator::Emulator emulator(settings);
    emulator.start().value();
    const auto port = emulator.ports().at("machine_list").at("port").get<std::uint16_t>();

    asio::io_context context;
    ClientFixture client(context);
    ports::HttpMachineList list(client.endpoint({"127.0.0.1", port}));
    const auto machines = http_test::run(context, list.list());
    emulator.stop();
    CPPUNIT_ASSERT(machines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machines->size());
    for (const ports::Machine& machine : *machines) {
      const bool is_node = machine.id == "n1";
      CPPUNIT_ASSERT(machine.role ==
                     (is_node ? ports::MachineRole::kNode : ports::MachineRole::kEngine));
      CPPUNIT_ASSERT(machine.state ==
                     (is_node ? ports::MachineState::kLeaving : ports::MachineState::kLive));
      CPPUNIT_ASSERT(!is_node || machine.incarnation == core::Incarnation(5));
      CPPUNIT_ASSERT(is_node || machine.serves == "compounds");
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MachineListContract);

class ScoringServiceContract : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScoringServiceContract);
  CPPUNIT_TEST(faults);
  CPPUNIT_TEST(score_is_read);
  CPPUNIT_TEST_SUITE_END();

  void faults() {
    check_common_faults({kScore});
    check_refused_connection({kScore});
    check_bad_answers(kScore, ErrorCode::kProtocol,
                      {{""}, {"{}"}, {R"({"score":"0.5"})"}, {R"({"score":null})"}, {"0.5"}});
  }

  void score_is_read() {
    StoreFixture<emulator::ScoringListener> fixture;
    ports::HttpScoringService service(fixture.endpoint());
    const auto score = http_test::run(
        fixture.context,
        service.score(core::ServiceName("judge"), {"prompt", "completion"}, http_test::soon()));
    CPPUNIT_ASSERT(score && *score == emulator::score_of("judge", "prompt", "completion"));
    const auto broken = http_test::run(
        fixture.context,
        service.score(core::ServiceName("judge"), {"\xff", "completion"}, http_test::soon()));
    CPPUNIT_ASSERT(!broken && broken.error().code == ErrorCode::kInvalidArgument);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ScoringServiceContract);

}  // namespace
}  // namespace stoneport::platform_test
