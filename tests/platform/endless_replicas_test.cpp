/// \file
/// Replicas and callers that send bytes without end, to a real process with little memory. What
/// waited for the end of a line or of a number read on until the machine had no memory left, and
/// the work of that replica was not done elsewhere.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "support/endless_bytes.hpp"

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kMachineMb = 270;
constexpr std::size_t kItems = 12;

/// A replica that answers whatever it is asked with a message without end. Its calls run on threads
/// of their own, which end with their connections.
class EndlessReplica {
 public:
  EndlessReplica() : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accepting_ = std::thread([this] { accept(); });
  }
  ~EndlessReplica() {
    stopped_ = true;
    boost::system::error_code ignored;
    tcp::socket waker(context_);
    waker.connect(acceptor_.local_endpoint(), ignored);
    accepting_.join();
    for (std::thread& call : calls_) {
      call.join();
    }
  }
  core::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  /// The form of the answers from now on.
  void use(std::size_t form) { form_ = form; }
  static std::size_t forms() { return endless_answers("").size(); }
  static std::string name_of(std::size_t form) { return endless_answers("")[form].name; }
  std::uint32_t answers() const { return answers_; }

  /// The entry of such a replica in the store.
  std::string entry(const std::string& service) const {
    const bool is_model = service == "models";
    nlohmann::json models = nlohmann::json::array();
    if (is_model) {
      models.push_back({{"name", "model"}, {"version", 1}, {"adapters", nlohmann::json::array()}});
    }
    return nlohmann::json({{"service", service},
                           {"address", core::to_string(address())},
                           {"zone", "zone-a"},
                           {"version", "v1"},
                           {"slots", 8},
                           {"coldRemainingMs", 0},
                           {"state", "ready"},
                           {"models", models}})
        .dump();
  }

 private:
  void accept() {
    while (true) {
      tcp::socket socket(context_);
      acceptor_.accept(socket);
      if (stopped_) {
        return;
      }
      calls_.emplace_back(
          [this, call = std::make_shared<tcp::socket>(std::move(socket))] { answer(*call); });
    }
  }
  void answer(tcp::socket& socket) {
    std::string request;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error) {
      return;
    }
    ++answers_;
    const std::string fields = "Content-Type: text/event-stream\r\n" +
                               std::string(platform::kRequestIdHeader) + ": " + id_in(request) +
                               "\r\n" + std::string(platform::kStampHeader) + ": stamp\r\n" +
                               std::string(platform::kVersionsHeader) + ": 1\r\n";
    send_endlessly(socket, endless_answers(fields)[form_]);
  }
  static std::string id_in(const std::string& request) {
    const std::string field = std::string(platform::kRequestIdHeader) + ": ";
    const std::size_t at = request.find(field);
    if (at == std::string::npos) {
      return "";
    }
    const std::size_t start = at + field.size();
    return request.substr(start, request.find('\r', start) - start);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> form_ = 0;
  std::atomic<std::uint32_t> answers_ = 0;
  std::vector<std::thread> calls_;  ///< used by the accepting thread, and after its end
  std::thread accepting_;
};

class EndlessReplicasTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessReplicasTest);
  CPPUNIT_TEST(items_go_to_other_replicas);
  CPPUNIT_TEST(requests_and_ratings_go_to_other_replicas);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessReplicasTest);

}  // namespace
}  // namespace stoneport::tests
