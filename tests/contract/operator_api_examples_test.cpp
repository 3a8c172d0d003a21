/// \file
/// Runs the examples of docs/api/operators.md in order and compares each response with the
/// documented one.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <sstream>

#include "config/value_codec.hpp"
#include "support/configuration_daemon.hpp"
#include "support/fake_table_service.hpp"
#include "support/run_task.hpp"

namespace stoneport::controllers {
namespace {

struct Block {
  std::string first_line;
  std::string body;
};

/// \return the code blocks marked as http, in order
std::vector<Block> read_blocks(const std::string& path) {
  std::ifstream file(path);
  std::vector<Block> blocks;
  bool inside = false;
  for (std::string line; std::getline(file, line);) {
    if (!inside && line == "```http") {
      inside = true;
      blocks.push_back({});
    } else if (inside && line == "```") {
      inside = false;
    } else if (inside && blocks.back().first_line.empty()) {
      blocks.back().first_line = line;
    } else if (inside) {
      blocks.back().body += line + "\n";
    }
  }
  return blocks;
}

/// Replaces every time with a fixed text.
nlohmann::json without_times(nlohmann::json value) {
  if (!value.is_structured()) {
    return value;
  }
  for (auto& [key, member] : value.items()) {
    member = key == "published_at" ? nlohmann::json("TIME") : without_times(member);
  }
  return value;
}

class OperatorApiExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiExamplesTest);
  CPPUNIT_TEST(documented_responses_match_the_daemon);
  CPPUNIT_TEST_SUITE_END();

 public:
  void documented_responses_match_the_daemon() {
    boost::asio::io_context context{1};
    support::FakeTableService table;
    std::vector<support::FakeMembership*> members;
    wire::Member self;
    self.node = core::NodeId("node-1");
    self.zone = core::ZoneName("bole-hall");
    support::ConfigurationDaemon daemon(context.get_executor(), table, members, self,
                                        support::quick_options());
    daemon.steps = {example_step()};
    const std::vector<Block> blocks = read_blocks("docs/api/operators.md");
    CPPUNIT_ASSERT(blocks.size() >= 20 && blocks.size() % 2 == 0);
    for (std::size_t index = 0; index < blocks.size(); index += 2) {
      const Block& answer = blocks[index + 1];
      const http::Response response = call(context, daemon, blocks[index]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, answer.first_line,
                                   std::to_string(response.head.status));
      CPPUNIT_ASSERT_EQUAL(without_times(nlohmann::json::parse(answer.body)).dump(),
                           without_times(nlohmann::json::parse(response.body)).dump());
    }
    daemon.controller.stop();
    daemon.server.abort();
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
  }

 private:
  /// Returns the open step that the documentation shows.
  static rollout::StepReport example_step() {
    rollout::StepReport step;
    step.event = core::EventName("compounds");
    step.step = core::StepNumber(12);
    step.epoch = core::Epoch(3);
    step.samples_expected = 64;
    step.samples_held = 40;
    step.samples_ready = 2;
    step.running_attempts = 22;
    step.oldest_staleness = 1;
    step.since = *config::parse_wall_time("2026-12-02T08:00:00Z");
    return step;
  }

  static http::Response call(boost::asio::io_context& context, support::ConfigurationDaemon& daemon,
                             const Block& block) {
    http::Request request;
    std::istringstream(block.first_line) >> request.head.method >> request.head.target;
    request.body = block.body;
    http::SendOptions options;
    options.deadline = daemon.time.now() + std::chrono::seconds(10);
    auto response = support::run_task(
        context, daemon.client.fetch(daemon.server.local_address(), std::move(request), options));
    CPPUNIT_ASSERT_MESSAGE(block.first_line, response.has_value());
    return *response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiExamplesTest);

}  // namespace
}  // namespace stoneport::controllers
