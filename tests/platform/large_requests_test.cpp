/// \file
/// Many large requests at the same time on a real process with little memory. Each body was in
/// memory several times and nothing limited their sum, so that the machine ran out of memory.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class LargeRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeRequestsTest);
  CPPUNIT_TEST(eighty_large_requests_at_once_are_served);
  CPPUNIT_TEST(clients_that_stop_sending_do_not_block_the_others);
  CPPUNIT_TEST(what_cannot_be_held_in_time_is_refused_and_has_not_run);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kMachineMb = 120;
  static constexpr std::size_t kBodyBytes = 2'000'000;

  static PlatformStandIn::Options small_machine() {
    PlatformStandIn::Options options;
    options.processes = 1;
    options.memory_mb = kMachineMb;
    return options;
  }

  static void set_work(PlatformStandIn& platform, std::chrono::milliseconds work) {
    platform.on_loop([&] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.work = work;
      }
    });
  }

  static HttpCall call_of(PlatformStandIn& platform, const std::string& id,
                          std::chrono::milliseconds deadline) {
    HttpCall call;
    call.address = platform.front(0);
    call.request.head.method = "POST";
    call.request.head.target = "/safe/upload";
    call.request.head.headers.set("Host", "users.example");
    call.request.head.headers.set(platform::kRequestIdHeader, id);
    call.request.head.headers.set(platform::kDeadlineHeader, std::to_string(deadline.count()));
    call.request.body.resize(kBodyBytes, 'x');
    return call;
  }

  static std::vector<HttpAnswer> send(PlatformStandIn& platform, std::size_t count,
                                      std::chrono::milliseconds deadline) {
    std::vector<HttpCall> calls;
    for (std::size_t index = 0; index < count; ++index) {
      calls.push_back(call_of(platform, "upload-" + std::to_string(index), deadline));
    }
    return platform.http().send_all(calls, nullptr);
  }

  static std::size_t count_of(const std::vector<HttpAnswer>& answers, unsigned status) {
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(),
                      [&](const HttpAnswer& answer) { return answer.status == status; }));
  }

  static void check_memory(PlatformStandIn& platform) {
    CPPUNIT_ASSERT(platform.running(0));
    const std::uint64_t peak_mb = platform.peak_memory(0) >> 20;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak_mb) + " MB", peak_mb < kMachineMb);
  }

  void eighty_large_requests_at_once_are_served() {
    PlatformStandIn platform(small_machine());
    set_work(platform, std::chrono::milliseconds(200));
    const std::vector<HttpAnswer> answers = send(platform, 80, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, count_of(answers, 200));
    check_memory(platform);
  }

  /// Each announces a body and sends a part of it.
  void clients_that_stop_sending_do_not_block_the_others() {
    PlatformStandIn platform(small_machine());
    asio::io_context context;
    std::vector<tcp::socket> stopped;
    for (int client = 0; client < 40; ++client) {
      stopped.emplace_back(context, tcp::v4());
      const core::Address front = platform.front(0);
      stopped.back().connect(tcp::endpoint(asio::ip::make_address(front.ip), front.port));
      const std::string head = "POST /safe/upload HTTP/1.1\r\nHost: users.example\r\n" +
                               std::string(platform::kRequestIdHeader) + ": stopped-" +
                               std::to_string(client) + "\r\nContent-Length: 2000000\r\n\r\n";
      asio::write(stopped.back(), asio::buffer(head + std::string(500'000, 'x')));
    }
    const std::vector<HttpAnswer> answers = send(platform, 20, std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, count_of(answers, 200));
    check_memory(platform);
  }

  void what_cannot_be_held_in_time_is_refused_and_has_not_run() {
    PlatformStandIn platform(small_machine());
    set_work(platform, std::chrono::milliseconds(600));
    const std::vector<HttpAnswer> answers = send(platform, 40, std::chrono::milliseconds(1000));
    const std::size_t refused = count_of(answers, 503);
    CPPUNIT_ASSERT(refused > 0);
    for (std::size_t index = 0; index < answers.size(); ++index) {
      if (answers[index].status == 503) {
        CPPUNIT_ASSERT(answers[index].headers.find("Retry-After").has_value());
        const std::string id = "upload-" + std::to_string(index);
        for (const ReplicaRun& run : platform.ledger()) {
          CPPUNIT_ASSERT_MESSAGE(id, run.request_id != id);
        }
      }
    }
    check_memory(platform);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeRequestsTest);

}  // namespace
}  // namespace stoneport::tests
