/// \file
/// Runs the curl examples of docs/api/callers.md.
#include <fstream>
#include <iomanip>

#include "contract/scripted_engine.hpp"

namespace stoneport::caller_test {
namespace {

/// \return the curl commands in the page's code blocks, continued lines joined.
std::vector<std::string> read_commands() {
  std::ifstream page("docs/api/callers.md");
  std::vector<std::string> commands;
  bool goes_on = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("curl ")) {
      commands.emplace_back();
      goes_on = true;
    }
    if (goes_on) {
      goes_on = line.ends_with('\\');
      commands.back() += line.substr(0, line.size() - (goes_on ? 1 : 0)) + " ";
    }
  }
  return commands;
}

/// \return the request that a curl command with -i, -s, -d and -H makes.
http::Request parse_command(const std::string& command) {
  http::Request request;
  std::istringstream words(command);
  std::string word;
  words >> word;
  while (words >> std::quoted(word, '\'')) {
    if (word == "-d") {
      words >> std::quoted(request.body, '\'');
      request.head.method = "POST";
    } else if (word == "-H") {
      std::string field;
      words >> std::quoted(field, '\'');
      const std::size_t colon = field.find(": ");
      request.head.headers.add(field.substr(0, colon), field.substr(colon + 2));
    } else if (word.starts_with("http://")) {
      request.head.target = word.substr(word.find('/', 7));
    } else {
      CPPUNIT_ASSERT_MESSAGE(word, word == "-i" || word == "-s");
    }
  }
  return request;
}

}  // namespace

class CallerExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerExamplesTest);
  CPPUNIT_TEST(each_example_is_answered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void each_example_is_answered() {
    ScriptedEngines engines;
    CallerFixture fixture(CallerOptions{{}, &engines});
    FaultyBackEnd back_end(fixture.context);
    publish(fixture, back_end.address(), engines);
    std::vector<std::string> answers;
    for (const std::string& command : read_commands()) {
      const CallerView view = fixture.call(parse_command(command));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(command, 200u, view.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(command, std::string("completed"), view.outcome);
      answers.push_back(view.body);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("GET /crystals/42?fields=band_gap []"), answers[0]);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(POST /entries [{"meter":"M-7","amount":20}])"), answers[1]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("ab"),
        nlohmann::json::parse(answers[2])["choices"][0]["text"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.claims.entries.size());
  }

 private:
  static void publish(CallerFixture& fixture, const core::Address& back_end,
                      ScriptedEngines& engines) {
    auto configuration = std::make_shared<config::Configuration>();
    auto table = std::make_shared<routing::RoutingTable>();
    routing::Replica replica;
    replica.id = core::ReplicaId("replica");
    replica.address = back_end;
    for (const char* name : {"materials", "topup"}) {
      config::ServiceTemplate service;
      service.name = core::TemplateName(name);
      service.service = core::ServiceName(name);
      configuration->service_templates[service.name] = service;
      table->services[service.service].push_back(replica);
    }
    replica.address = {"127.0.0.1", 1};
    table->models[core::ModelName("chat")].push_back(replica);
    auto engine = std::make_shared<ScriptedEngine>(fixture.context.get_executor());
    engine->script = {chunk(0, 2, "ab", 7), end_of_stream(2)};
    engines.engines[replica.address] = engine;
    fixture.configurations.publish(configuration);
    fixture.routing_tables.publish(table);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerExamplesTest);

}  // namespace stoneport::caller_test
