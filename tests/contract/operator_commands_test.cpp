/// \file
/// Tests the output and exit codes of stoneportctl commands against a daemon's operator
/// API.
#include <cppunit/extensions/HelperMacros.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/command.hpp"
#include "runtime/event_loop_thread.hpp"
#include "support/configuration_daemon.hpp"
#include "support/fake_table_service.hpp"

namespace stoneport::ctl {
namespace {

struct Invocation {
  std::vector<std::string> arguments;
  ExitCode exit_code;
  std::string out;  ///< expected part of the output
  std::string err;
};

class OperatorCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCommandsTest);
  CPPUNIT_TEST(documents_from_publish_to_rollback);
  CPPUNIT_TEST(an_edited_file_carries_its_base);
  CPPUNIT_TEST(invalid_documents_name_file_and_line);
  CPPUNIT_TEST(exit_codes_of_failures);
  CPPUNIT_TEST(a_wait_that_times_out_names_the_missing_members);
  CPPUNIT_TEST(views);
  CPPUNIT_TEST(usage_errors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    char path[] = "/tmp/stoneport-commands-XXXXXX";
    folder_ = mkdtemp(path);
    loop_ = std::make_unique<runtime::EventLoopThread>("daemon");
    daemon_ = std::make_unique<support::ConfigurationDaemon>(
        loop_->executor(), table_, members_, member("node-1"), support::quick_options());
    server_ = core::to_string(daemon_->server.local_address());
    add_views();
  }

  void tearDown() override {
    boost::asio::co_spawn(loop_->executor(), close_connections(), boost::asio::use_future).get();
    loop_->stop();
    daemon_.reset();
    other_.reset();
    loop_.reset();
    std::filesystem::remove_all(folder_);
  }

  void documents_from_publish_to_rollback() {
    loop_->run();
    const std::string text =
        "kind = \"event-template\"\nname = \"compound-proposals\"\nmodel = \"proposal\"\n";
    const std::string file = write("first.toml", text + "max_tokens = 512\n");
    const std::string changed = write("changed.toml", text + "max_tokens = 99\n");
    check({{"template", "publish", "--wait", file},
           ExitCode::kOk,
           "templates/compound-proposals accepted as revision 1",
           "in force on 1 of 1 daemons"});
    check({{"template", "publish", file}, ExitCode::kOk, "is unchanged since revision 1", ""});
    check({{"parameters", "publish", "examples/compounds.toml", "--output", "json"},
           ExitCode::kOk,
           "\"revision\": 2",
           ""});
    check({{"template", "publish", "--comment", "shorter", changed},
           ExitCode::kOk,
           "accepted as revision 3",
           ""});
    check({{"template", "list"}, ExitCode::kOk, "compound-proposals  event-template  3", ""});
    check({{"template", "history", "compound-proposals"}, ExitCode::kOk, "shorter", ""});
    check({{"template", "diff", "--from", "1", "compound-proposals"},
           ExitCode::kOk,
           "max_tokens  512     99",
           ""});
    check({{"template", "rollback", "--to", "1", "--wait", "compound-proposals"},
           ExitCode::kOk,
           "accepted as revision 4",
           ""});
    check({{"template", "get", "compound-proposals"}, ExitCode::kOk, "max_tokens = 512\n", ""});
  }

  void an_edited_file_carries_its_base() {
    loop_->run();
    check({{"template", "publish", "examples/topups.toml"}, ExitCode::kOk, "revision 1", ""});
    const std::string text = check({{"template", "get", "topups"}, ExitCode::kOk, "", ""});
    const std::string mine =
        write("mine.toml", replaced(text, "max_attempts = 3", "max_attempts = 2"));
    const std::string theirs =
        write("theirs.toml", replaced(text, "max_attempts = 3", "max_attempts = 5"));
    check({{"template", "publish", mine}, ExitCode::kOk, "revision 2", ""});
    check({{"template", "publish", theirs},
           ExitCode::kRefused,
           "",
           "starts from revision 1, but revision 2 by"});
    check({{"template", "publish", theirs}, ExitCode::kRefused, "", "max_attempts  2       5"});
    check(
        {{"template", "publish", "--base-revision", "2", theirs}, ExitCode::kOk, "revision 3", ""});
  }

  void invalid_documents_name_file_and_line() {
    loop_->run();
    const std::string bad = write("bad.toml", "kind = \"parameters\"\nname = \"e\"\ntenat = 1\n");
    const std::string orphan = write("orphan.toml",
                                     "kind = \"parameters\"\nname = \"e\"\ntenant = \"abay\"\n"
                                     "policy = \"p\"\nevent_template = \"missing\"\n");
    const auto invalid = ExitCode::kInvalidDocument;
    check({{"validate", bad}, invalid, "", bad + ":3: tenat: found an unknown key"});
    check({{"validate", bad, orphan}, invalid, "", bad + ": tenant: found nothing"});
    check({{"parameters", "publish", bad}, invalid, "", "the nearest is 'tenant'"});
    check({{"validate", orphan}, invalid, "", orphan + ":5: event_template: found missing"});
    check({{"parameters", "publish", orphan}, invalid, "", orphan + ":5: event_template"});
    check({{"parameters", "publish", "--output=json", orphan}, invalid, "\"line\": 5", ""});
    check({{"template", "publish", orphan}, invalid, "", ":1: kind: found \"parameters\""});
    check({{"validate", "/nowhere.toml"}, invalid, "", "a readable TOML file"});
    check({{"validate", "--offline", orphan}, ExitCode::kOk, "valid by themselves", ""});
    check({{"validate", "examples/topups.toml", "examples/prepaid-topups.toml"},
           ExitCode::kOk,
           "parameters/prepaid-topups: valid",
           ""});
  }

  void exit_codes_of_failures() {
    const std::string file = "examples/topups.toml";
    table_.faults.answers_lost_after_write = 1;
    loop_->run();
    check({{"template", "publish", file}, ExitCode::kUnknownOutcome, "", "is not known"});
    check({{"template", "publish", file}, ExitCode::kOk, "is unchanged since revision 1", ""});
    check({{"template", "get", "none"}, ExitCode::kRefused, "", "not published"});
    server_ = "127.0.0.1:1";
    check({{"template", "list"}, ExitCode::kUnreachable, "", "cannot be reached"});
    check({{"template", "publish", file}, ExitCode::kUnreachable, "", "cannot be reached"});
  }

  void a_wait_that_times_out_names_the_missing_members() {
    other_ = std::make_unique<support::FakeMembership>(members_, member("node-2"));
    loop_->run();
    check({{"template", "publish", "--wait", "--wait-timeout=300ms", "examples/topups.toml"},
           ExitCode::kWaitTimedOut,
           "accepted as revision 1",
           "missing: [\"node-2\"]"});
  }

  void views() {
    daemon_->steps = {open_step(12), open_step(13)};
    loop_->run();
    check({{"template", "publish", "examples/compound-proposals.toml"}, ExitCode::kOk, "", ""});
    check({{"parameters", "publish", "examples/compounds.toml"}, ExitCode::kOk, "", ""});
    check({{"status"}, ExitCode::kOk, "zone   bole-hall", ""});
    check({{"members"}, ExitCode::kOk, "node-1  alive", ""});
    check(
        {{"events"}, ExitCode::kOk, "compounds  abay    proposal-policy  2      unscheduled", ""});
    check({{"events"}, ExitCode::kOk, "compounds  12    3      64", ""});
    check({{"weights"}, ExitCode::kOk, "p       7       e-1      6        false", ""});
    check({{"weights", "--output", "json"}, ExitCode::kOk, "\"newest\": 7", ""});
    check({{"drain", "node 9"}, ExitCode::kOk, "node 9 is draining", ""});
  }

  void usage_errors() {
    loop_->run();
    const auto usage = ExitCode::kUsage;
    check({{}, usage, "", "Commands:"});
    check({{"help"}, ExitCode::kOk, "Exit codes:", ""});
    check({{"tempate", "list"}, usage, "", "the nearest is 'template list'"});
    check({{"template", "get"}, usage, "", "usage: stoneportctl template get NAME"});
    check({{"template", "get", "a", "b"}, usage, "", "usage:"});
    check({{"template", "list", "--otput", "json"}, usage, "", "otput"});
    check({{"template", "list", "--output", "xml"}, usage, "", "allowed: table, json"});
    check({{"template", "diff", "t"}, usage, "", "--from is missing"});
    check({{"template", "publish", "--wait-timeout", "5", "f"}, usage, "", "a duration"});
    check({{"template", "publish", "--help"}, ExitCode::kOk, "Examples:", ""});
    check({{"completion"}, ExitCode::kOk, "publish get list history diff rollback", ""});
    server_ = "localhost:1";
    check({{"status"}, usage, "", "an IP number and a port"});
  }

 private:
  static rollout::StepReport open_step(std::uint64_t number) {
    rollout::StepReport step;
    step.event = core::EventName("compounds");
    step.step = core::StepNumber(number);
    step.epoch = core::Epoch(3);
    step.samples_expected = 64;
    return step;
  }

  static wire::Member member(const std::string& node) {
    wire::Member self;
    self.node = core::NodeId(node);
    self.incarnation = core::Incarnation(1);
    self.zone = core::ZoneName("bole-hall");
    return self;
  }

  void add_view(const std::string& method, const std::string& path, const std::string& body) {
    daemon_->router.add(method, path,
                        [body](http::RoutedRequest) -> boost::asio::awaitable<http::Response> {
                          co_return http::json_response(200, body);
                        });
  }

  void add_views() {
    add_view("GET", "/v1/operator/status", R"({"zone":"bole-hall","ready":true})");
    add_view("GET", "/v1/operator/members",
             R"({"members":[{"node":"node-1","state":"alive","zone":"a"}]})");
    add_view("GET", "/v1/operator/weights",
             R"({"policies":[{"policy":"p","newest":7,)"
             R"("replicas":[{"replica":"e-1","version":6,"swapping":false}]}]})");
    add_view("POST", "/v1/operator/members/{node}/drain", "{}");
  }

  std::string write(const std::string& name, const std::string& text) const {
    const std::string path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

  static std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  }

  /// A connection that is still writing its response uses the daemon's metrics, which go before the
  /// loop does.
  boost::asio::awaitable<void> close_connections() {
    daemon_->server.abort();
    const bool is_closed = co_await daemon_->server.wait_until_idle(std::chrono::seconds(10));
    CPPUNIT_ASSERT(is_closed);
  }

  /// Runs one invocation and checks its result.
  /// \return its output
  std::string check(const Invocation& each) const {
    std::vector<std::string> arguments = {"--server", server_};
    arguments.insert(arguments.end(), each.arguments.begin(), each.arguments.end());
    if (!each.arguments.empty() && each.arguments[0] == "help") {
      arguments = each.arguments;
    }
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode exit_code = run(arguments, out, err);
    const std::string what = each.arguments.empty() ? "" : each.arguments[0];
    const std::string printed = what + ": " + out.str() + "\n" + err.str();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(printed, static_cast<int>(each.exit_code),
                                 static_cast<int>(exit_code));
    CPPUNIT_ASSERT_MESSAGE(printed, out.str().find(each.out) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(printed, err.str().find(each.err) != std::string::npos);
    return out.str();
  }

  std::string folder_;
  std::string server_;
  support::FakeTableService table_;
  std::vector<support::FakeMembership*> members_;
  std::unique_ptr<runtime::EventLoopThread> loop_;
  std::unique_ptr<support::ConfigurationDaemon> daemon_;
  std::unique_ptr<support::FakeMembership> other_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandsTest);

}  // namespace
}  // namespace stoneport::ctl
