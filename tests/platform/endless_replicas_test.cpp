/// \file
/// Replicas and callers that send bytes without end, to a real process with little memory. What
/// waited for the end of a line or of a number read on until the machine had no memory left, and
/// the work of that replica was not done elsewhere.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include "platform_support/platform_stand_in.hpp"
#include "platform_support/raw_replica.hpp"
#include "support/endless_bytes.hpp"

namespace stoneport::tests {
namespace {

using boost::asio::ip::tcp;

constexpr std::uint64_t kMachineMb = 270;
constexpr std::size_t kItems = 12;
constexpr std::chrono::seconds kLongestReports{60};

/// A replica that answers whatever it is asked with a message without end.
class EndlessReplica {
 public:
  /// The form of the answers from now on.
  void use(std::size_t form) { form_ = form; }
  static std::size_t forms() { return endless_answers("").size(); }
  static std::string name_of(std::size_t form) { return endless_answers("")[form].name; }
  std::uint32_t answers() const { return replica_.requests(); }
  std::uint32_t reports() const { return replica_.report_requests(); }
  std::string entry(const std::string& service) const { return replica_.entry(service); }

 private:
  std::atomic<std::size_t> form_ = 0;
  RawReplica replica_{[this](tcp::socket& socket, const RawReplica::Request& request) {
    send_endlessly(socket, endless_answers(request.answer_fields)[form_]);
  }};
};

class EndlessReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessReplicasTest);
  CPPUNIT_TEST(items_go_to_other_replicas);
  CPPUNIT_TEST(requests_and_ratings_go_to_other_replicas);
  CPPUNIT_TEST(reports_are_given_up);
  CPPUNIT_TEST_SUITE_END();

  static PlatformStandIn::Options one_machine() {
    PlatformStandIn::Options options;
    options.processes = 1;
    options.models = 3;
    options.memory_mb = kMachineMb;
    return options;
  }

  static void list(PlatformStandIn& platform, const std::string& id, const std::string& service,
                   const EndlessReplica& replica) {
    platform.on_loop([&] { platform.store().put("servers", id, replica.entry(service)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }

  static void check_memory(PlatformStandIn& platform, const std::string& form) {
    CPPUNIT_ASSERT_MESSAGE(form, platform.running(0));
    const std::uint64_t peak_mb = platform.peak_memory(0) >> 20;
    CPPUNIT_ASSERT_MESSAGE(form + ": " + std::to_string(peak_mb) + " MB", peak_mb < kMachineMb);
  }

  /// Texts, and reports, of one of four replicas of the model.
  void items_go_to_other_replicas() {
    PlatformStandIn platform(one_machine());
    EndlessReplica endless;
    list(platform, "model-endless", "models", endless);
    for (std::size_t form = 0; form < EndlessReplica::forms(); ++form) {
      const std::string name = EndlessReplica::name_of(form);
      endless.use(form);
      const std::string job = "job" + std::to_string(form);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 202u, platform.submit(0, job, kItems).status);
      const bool is_whole = platform.wait_whole(0, job, kItems, std::chrono::seconds(8));
      check_memory(platform, name);
      CPPUNIT_ASSERT_MESSAGE(name, is_whole);
    }
    CPPUNIT_ASSERT(endless.answers() > 0);
  }

  /// Answers to lookups, and to the calls that rate a job's texts, of one of three replicas.
  void requests_and_ratings_go_to_other_replicas() {
    PlatformStandIn platform(one_machine());
    EndlessReplica endless;
    list(platform, "plain-endless", "plain", endless);
    for (std::size_t form = 0; form < EndlessReplica::forms(); ++form) {
      const std::string name = EndlessReplica::name_of(form);
      endless.use(form);
      const std::string job = "job" + std::to_string(form);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 202u, platform.submit(0, job, kItems).status);
      for (int index = 0; index < 10; ++index) {
        const std::string id = "lookup-" + std::to_string(form) + "-" + std::to_string(index);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200u,
                                     platform.request(0, "POST", "/safe/a", id, id).status);
      }
      const bool is_whole = platform.wait_whole(0, job, kItems, std::chrono::seconds(8));
      check_memory(platform, name);
      CPPUNIT_ASSERT_MESSAGE(name, is_whole);
    }
    CPPUNIT_ASSERT(endless.answers() > 0);
  }

  /// The reports by which the coordinator learns what a replica has loaded, one of each form. They
  /// are asked for while a job needs a newer version.
  void reports_are_given_up() {
    PlatformStandIn platform(one_machine());
    EndlessReplica endless;
    list(platform, "model-endless", "models", endless);
    const auto give_up_at = std::chrono::steady_clock::now() + kLongestReports;
    std::uint64_t version = 1;
    while (endless.reports() < EndlessReplica::forms()) {
      const std::string name = EndlessReplica::name_of(endless.reports());
      endless.use(endless.reports());
      platform.name_version(++version);
      const std::string job = "job" + std::to_string(version);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 202u, platform.submit(0, job, kItems).status);
      const bool is_whole = platform.wait_whole(0, job, kItems, std::chrono::seconds(8));
      check_memory(platform, name);
      CPPUNIT_ASSERT_MESSAGE(name, is_whole);
      CPPUNIT_ASSERT_MESSAGE(name, std::chrono::steady_clock::now() < give_up_at);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessReplicasTest);

}  // namespace
}  // namespace stoneport::tests
