/// \file
/// Tests the responses of the operator and peer routes for configuration over loopback.
#include "configuration_fixture.hpp"

namespace stoneport::controllers {
namespace {

struct Call {
  std::string method;
  std::string target;
  std::string body;
  unsigned status;
  std::string contains;  ///< expected part of the body
};

const std::string kTemplate = R"({"kind":"event-template","name":"t","model":"proposal"})";

std::string publication(const std::string& document, int base_revision) {
  return R"({"document":)" + document + R"(,"base_revision":)" + std::to_string(base_revision) +
         R"(,"author":"selam","comment":"why"})";
}

class OperatorConfigurationTest : public ConfigurationFixture {
  CPPUNIT_TEST_SUITE(OperatorConfigurationTest);
  CPPUNIT_TEST(answers_in_order);
  CPPUNIT_TEST(malformed_requests_change_nothing);
  CPPUNIT_TEST(store_faults_are_distinguished);
  CPPUNIT_TEST(counts_members_in_force);
  CPPUNIT_TEST(peers_receive_the_changes_they_lack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answers_in_order() {
    ConfigurationDaemon& daemon = add_daemon("a");
    const std::string longer =
        R"({"kind":"event-template","name":"t","model":"proposal","max_tokens":9})";
    const std::string orphan = R"({"kind":"parameters","name":"e","tenant":"abay",)"
                               R"("event_template":"s","policy":"p"})";
    const std::string base = "/v1/operator/templates";
    const std::vector<Call> calls = {
        {"GET", base, "", 200, R"("documents":[],"revision":0)"},
        {"GET", base + "/t", "", 404, R"("code":"not_found")"},
        {"GET", base + "/t/history", "", 404, R"("code":"not_found")"},
        {"PUT", base + "/t", publication(kTemplate, 0), 200, R"("revision":1,"unchanged":false)"},
        {"PUT", base + "/t", publication(kTemplate, 0), 200, R"("revision":1,"unchanged":true)"},
        {"PUT", base + "/t", publication(longer, 0), 409, R"("after":9,"before":2048,"key")"},
        {"PUT", base + "/t", publication(longer, 1), 200, R"("revision":2)"},
        {"GET", base + "/t", "", 200, R"("author":"selam")"},
        {"GET", base, "", 200, R"("kind":"event-template","name":"t")"},
        {"GET", base + "/t/history", "", 200, R"("revision":2})"},
        {"GET", base + "/t/diff?from=1", "", 200, R"([{"after":9,"before":2048,)"},
        {"GET", base + "/t/diff?from=2&to=2", "", 200, R"("changes":[])"},
        {"GET", base + "/t/diff?from=7", "", 404, "not published at revision 7"},
        {"GET", base + "/t/diff", "", 400, "from must name"},
        {"POST", base + "/t/rollback",
         R"({"revision":1,"base_revision":1,"author":"a","comment":""})", 409, "conflict"},
        {"POST", base + "/t/rollback",
         R"({"revision":1,"base_revision":2,"author":"a","comment":""})", 200, R"("revision":3)"},
        {"GET", base + "/t", "", 200, R"("max_tokens":2048)"},
        {"PUT", "/v1/operator/parameters/e", publication(orphan, 0), 422, "the nearest is 't'"},
        {"POST", "/v1/operator/validate", R"({"documents":[)" + orphan + "]}", 422,
         R"("file":"parameters/e","found":"s","key":"event_template")"},
        {"POST", "/v1/operator/validate", R"({"documents":[)" + longer + "]}", 200,
         R"("valid":true)"},
    };
    for (const Call& each : calls) {
      check(daemon, each);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, daemon.revision());
  }

  void malformed_requests_change_nothing() {
    ConfigurationDaemon& daemon = add_daemon("a");
    const std::string target = "/v1/operator/templates/t";
    const std::string two_problems =
        R"({"document":{"kind":"event-template","name":"t"},"author":"","base_revision":0})";
    const std::string deep(200'000, '[');
    const std::vector<Call> calls = {
        {"GET", "/v1/operator/templates/%ff", "", 404, "not_found"},
        {"GET", "/v1/operator/templates/t/diff?from=%ff", "", 400, "from must name"},
        {"PUT", "/v1/operator/templates/%ff", publication(kTemplate, 0), 422, "the path names"},
        {"PUT", target, publication(deep + std::string(deep.size(), ']'), 0), 422, "JSON"},
        {"POST", "/v1/operator/validate", R"({"documents":[)" + deep, 422, "JSON"},
        {"POST", "/peer/configuration", deep + std::string(deep.size(), ']'), 400, "code"},
        {"PUT", target, "", 422, "a JSON object"},
        {"PUT", target, "[1]", 422, "a JSON object"},
        {"PUT", target, "{\"document\":", 422, "a JSON object"},
        {"PUT", target, publication("null", 0), 422, "a JSON object"},
        {"PUT", target, publication(kTemplate, -1), 422, "a whole number from 0 on"},
        {"PUT", target, two_problems, 422, R"("key":"model")"},
        {"PUT", target, two_problems, 422, R"("key":"author")"},
        {"PUT", "/v1/operator/templates/u", publication(kTemplate, 0), 422, "the path names"},
        {"PUT", "/v1/operator/parameters/t", publication(kTemplate, 0), 422, "the path names"},
        {"POST", target + "/rollback", "{}", 422, R"("key":"revision")"},
        {"POST", "/v1/operator/validate", R"({"documents":{}})", 422, "a list of documents"},
        {"POST", "/v1/operator/validate", R"({"documents":[7]})", 422, "documents[0]"},
        {"DELETE", target, "", 405, "code"},
        {"GET", "/peer/configuration?since=x", "", 400, "since"},
        {"POST", "/peer/configuration", "", 400, "code"},
        {"POST", "/peer/configuration", R"({"node":"n","zone":"z","ready":true})", 400, "code"},
    };
    for (const Call& each : calls) {
      check(daemon, each);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, daemon.revision());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, table_.commits);
  }

  void store_faults_are_distinguished() {
    ConfigurationDaemon& daemon = add_daemon("a", peers_only_options());
    CPPUNIT_ASSERT(run_until_ready(daemon));
    const std::string target = "/v1/operator/templates/t";
    table_.faults.unavailable = true;
    check(daemon, {"PUT", target, publication(kTemplate, 0), 503, "not accepted"});
    check(daemon, {"GET", target + "/history", "", 503, "unavailable"});
    check(daemon, {"GET", target, "", 404, "not_found"});
    table_.faults.unavailable = false;
    table_.faults.answers_lost_after_write = 1;
    const unsigned unknown = http::status_for(core::ErrorCode::kOutcomeUnknown);
    check(daemon, {"PUT", target, publication(kTemplate, 0), unknown, "outcome_unknown"});
    check(daemon, {"PUT", target, publication(kTemplate, 0), 200, R"("unchanged":true)"});
  }

  void counts_members_in_force() {
    ConfigurationDaemon& first = add_daemon("a");
    ConfigurationDaemon& second = add_daemon("b", peers_only_options());
    CPPUNIT_ASSERT(run_until_ready(second));
    second.server.abort();
    second.membership.cut_off();
    accepted(first, event_template("t"), 0);
    check(first, {"GET", "/v1/operator/in-force?revision=1", "", 200,
                  R"({"in_force":1,"missing":["node-2"],"revision":1,"total":2})"});
    second.membership.rejoin();
    CPPUNIT_ASSERT(everywhere(1));
    check(first, {"GET", "/v1/operator/in-force", "", 200, R"("in_force":2,"missing":[])"});
  }

  void peers_receive_the_changes_they_lack() {
    ConfigurationDaemon& daemon = add_daemon("a");
    accepted(daemon, event_template("t"), 0);
    accepted(daemon, event_template("u"), 0);
    const http::Response all = call(daemon, {"GET", "/peer/configuration", "", 200, ""});
    const http::Response newer = call(daemon, {"GET", "/peer/configuration?since=1", "", 200, ""});
    const auto whole = peer_configuration_from_json(all.body);
    const auto delta = peer_configuration_from_json(newer.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, whole->delta.changed.documents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta->delta.changed.documents.size());
    CPPUNIT_ASSERT(whole->ready);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), whole->zone.value());
  }

 private:
  http::Response call(ConfigurationDaemon& daemon, const Call& each) {
    http::Request request;
    request.head.method = each.method;
    request.head.target = each.target;
    request.body = each.body;
    http::SendOptions options;
    options.deadline = daemon.time.now() + std::chrono::seconds(10);
    const auto response = support::run_task(
        context_, daemon.client.fetch(daemon.server.local_address(), std::move(request), options));
    CPPUNIT_ASSERT_MESSAGE(each.target, response.has_value());
    return *response;
  }

  void check(ConfigurationDaemon& daemon, const Call& each) {
    const http::Response response = call(daemon, each);
    const std::string what = each.method + " " + each.target + ": " + response.body;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, each.status, response.head.status);
    CPPUNIT_ASSERT_MESSAGE(what, response.body.find(each.contains) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorConfigurationTest);

}  // namespace
}  // namespace stoneport::controllers
