/// \file
/// Replicas that send broken answers to real processes. A status outside 100 to 599 counted as a
/// success, could not be passed on, and left its client with a closed connection and no answer.
#include "support/broken_answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/write.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "platform_support/raw_replica.hpp"

namespace stoneport::tests {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kItems = 12;
/// So many that each of three replicas gets some.
constexpr std::size_t kRequestsAtOnce = 40;
/// Until every process has read a row of the store.
constexpr std::chrono::milliseconds kRowDelay{150};

/// A replica that answers whatever it is asked with one form of a broken answer.
class BrokenReplica {
 public:
  using Forms = std::vector<BrokenAnswer> (*)(const std::string&);
  explicit BrokenReplica(Forms forms) : forms_(forms) {}

  /// The form of the answers from now on.
  void use(std::size_t form) { form_ = form; }
  std::size_t forms() const { return forms_("").size(); }
  std::string name_of(std::size_t form) const { return forms_("")[form].name; }
  const RawReplica& raw() const { return replica_; }

 private:
  Forms forms_;
  std::atomic<std::size_t> form_ = 0;
  RawReplica replica_{[this](tcp::socket& socket, const RawReplica::Request& request) {
    boost::system::error_code ignored;
    const std::string bytes = forms_(request.answer_fields)[form_].bytes;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }};
};

nlohmann::json route_to_broken(const std::string& kind) {
  return {{"name", "broken-" + kind},
          {"host", "users.example"},
          {"pathPrefix", "/broken-" + kind},
          {"kind", kind},
          {"service", "broken"},
          {"timeoutMs", 3000},
          {"targetLatencyMs", 500},
          {"maxAttempts", 2}};
}

}  // namespace

class BrokenAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswersTest);
  CPPUNIT_TEST(a_client_gets_502_where_no_other_replica_is);
  CPPUNIT_TEST(requests_that_may_repeat_go_to_other_replicas);
  CPPUNIT_TEST(requests_that_may_not_repeat_get_502_or_an_answer);
  CPPUNIT_TEST(items_and_reports_go_to_other_replicas);
  CPPUNIT_TEST(an_answer_cut_in_its_body_is_not_passed_on_as_whole);
  CPPUNIT_TEST_SUITE_END();

  static PlatformStandIn::Options two_machines() {
    PlatformStandIn::Options options;
    options.processes = 2;
    options.models = 3;
    return options;
  }

  static void list(PlatformStandIn& platform, const std::string& id, const std::string& service,
                   const BrokenReplica& replica) {
    put_entry(platform, id, replica.raw().entry(service));
  }
  static void put_entry(PlatformStandIn& platform, const std::string& id,
                        std::optional<std::string> entry) {
    platform.on_loop(
        [&] { platform.store().put(std::string(platform::kReplicaTable), id, std::move(entry)); });
    std::this_thread::sleep_for(kRowDelay);
  }
  static void configure_broken_routes(PlatformStandIn& platform) {
    platform.configure(
        2, {route_to_broken("safe"), route_to_broken("unsafe"), route_to_broken("streaming")});
    std::this_thread::sleep_for(kRowDelay);
  }
  static std::string log_of(const PlatformStandIn& platform, std::size_t process) {
    std::ifstream file(platform.folder() + "/node-" + std::to_string(process) + ".log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }
  static std::string describe(const std::string& form, const HttpAnswer& answer) {
    return form + ": " + std::to_string(answer.status) + " " + answer.failure + answer.body;
  }

  /// Calls \p check with each form's name and a prefix for ids, while a replica of \p service sends
  /// that form. Each comes from a replica of its own, so that none is ejected for the forms before.
  template <class Check>
  static void for_each_form(PlatformStandIn& platform, BrokenReplica& replica,
                            const std::string& service, Check check) {
    for (std::size_t form = 0; form < replica.forms(); ++form) {
      const std::string id = service + "-broken-" + std::to_string(form);
      replica.use(form);
      list(platform, id, service, replica);
      check(replica.name_of(form), id);
      put_entry(platform, id, std::nullopt);
    }
  }

  void a_client_gets_502_where_no_other_replica_is() {
    PlatformStandIn platform(two_machines());
    configure_broken_routes(platform);
    BrokenReplica replica(&answers_with_broken_head);
    for_each_form(platform, replica, "broken", [&](const std::string& name, const std::string& id) {
      for (const std::string kind : {"safe", "unsafe", "streaming"}) {
        for (std::size_t process = 0; process < 2; ++process) {
          const std::string request = id + "-" + kind + "-" + std::to_string(process);
          const HttpAnswer answer =
              platform.request(process, "POST", "/broken-" + kind + "/a", request, request);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(name + ", " + kind, answer), 502u, answer.status);
        }
      }
    });
    const std::string log = log_of(platform, 0);
    CPPUNIT_ASSERT(log.find("status 0 is outside 100 to 599") != std::string::npos);
    CPPUNIT_ASSERT(log.find("status 600 is outside 100 to 599") != std::string::npos);
    CPPUNIT_ASSERT(log.find("\"request_done\"") == std::string::npos);
  }

  /// Sends many requests at once to both processes: with one at a time, replicas to which a
  /// connection is kept would get them all.
  static std::vector<HttpAnswer> request_at_once(PlatformStandIn& platform,
                                                 const std::string& target, const std::string& id) {
    std::vector<HttpCall> calls(kRequestsAtOnce);
    for (std::size_t index = 0; index < calls.size(); ++index) {
      http::RequestHead& head = calls[index].request.head;
      calls[index].address = platform.front(index % 2);
      head.method = "POST";
      head.target = target;
      head.headers.set("Host", "users.example");
      head.headers.set(platform::kRequestIdHeader, id + "-" + std::to_string(index));
      head.headers.set(platform::kDeadlineHeader, "4000");
    }
    return platform.http().send_all(calls, nullptr);
  }

  static std::string expected_body(const std::string& id, std::size_t index) {
    return "answer to " + id + "-" + std::to_string(index);
  }

  void requests_that_may_repeat_go_to_other_replicas() {
    PlatformStandIn platform(two_machines());
    BrokenReplica replica(&answers_with_broken_head);
    for_each_form(platform, replica, "plain", [&](const std::string& name, const std::string& id) {
      const std::uint32_t before = replica.raw().requests();
      const auto answers = request_at_once(platform, "/safe/a", id);
      for (std::size_t index = 0; index < answers.size(); ++index) {
        const HttpAnswer& answer = answers[index];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(name, answer), 200u, answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected_body(id, index), answer.body);
      }
      CPPUNIT_ASSERT_MESSAGE(name, replica.raw().requests() > before);
    });
  }

  void requests_that_may_not_repeat_get_502_or_an_answer() {
    PlatformStandIn platform(two_machines());
    BrokenReplica replica(&answers_with_invalid_status);
    for_each_form(platform, replica, "plain", [&](const std::string& name, const std::string& id) {
      const std::uint32_t before = replica.raw().requests();
      const auto answers = request_at_once(platform, "/once/a", id);
      std::uint32_t failed = 0;
      for (std::size_t index = 0; index < answers.size(); ++index) {
        const HttpAnswer& answer = answers[index];
        failed += answer.status == 502 ? 1 : 0;
        const bool is_whole = answer.status == 200 && answer.body == expected_body(id, index);
        CPPUNIT_ASSERT_MESSAGE(describe(name, answer), is_whole || answer.status == 502);
      }
      CPPUNIT_ASSERT_MESSAGE(name, failed > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, replica.raw().requests() - before, failed);
    });
  }

  /// Texts of a job, and the reports that an order of weights begins with.
  void items_and_reports_go_to_other_replicas() {
    PlatformStandIn platform(two_machines());
    BrokenReplica replica(&answers_with_invalid_status);
    list(platform, "model-broken", "models", replica);
    for (std::size_t form = 0; form < replica.forms(); ++form) {
      const std::string name = replica.name_of(form);
      replica.use(form);
      platform.name_version(2 + form);
      const std::string job = "job" + std::to_string(form);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 202u, platform.submit(0, job, kItems).status);
      CPPUNIT_ASSERT_MESSAGE(name, platform.wait_whole(1, job, kItems, std::chrono::seconds(8)));
    }
    CPPUNIT_ASSERT(replica.raw().report_requests() > 0);
    CPPUNIT_ASSERT(replica.raw().requests() > replica.raw().report_requests());
    for (std::size_t process = 0; process < 2; ++process) {
      CPPUNIT_ASSERT(platform.running(process));
    }
  }

  /// A whole answer gets 502; a stream that has begun is cut, so that nobody takes it for whole.
  void an_answer_cut_in_its_body_is_not_passed_on_as_whole() {
    PlatformStandIn platform(two_machines());
    configure_broken_routes(platform);
    BrokenReplica replica(&answers_cut_in_body);
    for_each_form(platform, replica, "broken", [&](const std::string& name, const std::string& id) {
      for (const std::string kind : {"safe", "unsafe", "streaming"}) {
        const HttpAnswer answer =
            platform.request(0, "POST", "/broken-" + kind + "/a", id + "-" + kind, "body");
        const unsigned expected = kind == "streaming" ? 0 : 502;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(name + ", " + kind, answer), expected, answer.status);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);

}  // namespace stoneport::tests
