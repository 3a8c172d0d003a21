/// \file
/// Callers that send bytes without end, to a real process with little memory. It had refused them
/// and read on for as long as the bytes came.
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"
#include "support/endless_bytes.hpp"

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kMachineMb = 270;

class EndlessCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessCallersTest);
  CPPUNIT_TEST(callers_are_cut_and_the_others_served);
  CPPUNIT_TEST_SUITE_END();

  /// Three callers at once for each form; lookups beside them are answered in time.
  void callers_are_cut_and_the_others_served() {
    constexpr std::chrono::seconds kMaxTime{6};
    PlatformStandIn::Options options;
    options.processes = 1;
    options.memory_mb = kMachineMb;
    PlatformStandIn platform(options);
    const std::string line = "POST /safe/a HTTP/1.1\r\n";
    const std::string fields =
        "Host: users.example\r\n" + std::string(platform::kRequestIdHeader) + ": endless\r\n";
    std::vector<EndlessMessage> messages = endless_heads(line);
    for (EndlessMessage& message : endless_chunked_bodies(line, fields)) {
      messages.push_back(std::move(message));
    }
    for (const EndlessMessage& message : messages) {
      const Clock::time_point began = Clock::now();
      std::atomic<int> open = 3;
      std::vector<std::thread> callers;
      for (int caller = 0; caller < 3; ++caller) {
        callers.emplace_back([&] {
          asio::io_context context;
          tcp::socket socket(context);
          const core::Address front = platform.front(0);
          socket.connect(tcp::endpoint(asio::ip::make_address(front.ip), front.port));
          send_endlessly(socket, message);
          --open;
        });
      }
      const std::string id = "lookup beside " + message.name;
      const HttpAnswer answer = platform.request(0, "POST", "/safe/a", "lookup", id);
      while (open > 0 && Clock::now() - began < kMaxTime) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      const bool are_cut = open == 0;
      if (!are_cut) {
        platform.kill(0);  // otherwise the callers' threads never end
      }
      for (std::thread& caller : callers) {
        caller.join();
      }
      CPPUNIT_ASSERT_MESSAGE(message.name, are_cut);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message.name, 200u, answer.status);
      const std::uint64_t peak_mb = platform.peak_memory(0) >> 20;
      CPPUNIT_ASSERT_MESSAGE(message.name + ": " + std::to_string(peak_mb) + " MB",
                             peak_mb < kMachineMb);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessCallersTest);

}  // namespace
}  // namespace stoneport::tests
