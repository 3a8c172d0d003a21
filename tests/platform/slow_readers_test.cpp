/// \file
/// Clients that request large answers and read nothing, together with ordinary clients, on a real
/// process with little memory.
#include <cppunit/extensions/HelperMacros.h>

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

class SlowReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowReadersTest);
  CPPUNIT_TEST(memory_is_bounded_with_eighty_clients_that_do_not_read);
  CPPUNIT_TEST(a_small_machine_bears_eighty_large_answers_at_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kMachineMb = 120;

  /// Requests an answer and leaves it unread.
  static tcp::socket ask(asio::io_context& context, const core::Address& front, int reader) {
    constexpr int kSmallWindow = 4096;
    tcp::socket socket(context, tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kSmallWindow));
    socket.connect(tcp::endpoint(asio::ip::make_address(front.ip), front.port));
    const std::string request =
        "POST /safe/large HTTP/1.1\r\nHost: users.example\r\n" +
        std::string(platform::kRequestIdHeader) + ": slow-" + std::to_string(reader) + "\r\n" +
        std::string(platform::kDeadlineHeader) + ": 20000\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    return socket;
  }

  /// The requests are sent one after another, at intervals of a replica's answer time.
  void memory_is_bounded_with_eighty_clients_that_do_not_read() {
    // Kernel buffers hold up to 4 MB per client.
    check_slow_readers(8'000'000, std::chrono::milliseconds(50));
  }
  /// All answers arrive from the replicas at once, before any client is known to be slow.
  void a_small_machine_bears_eighty_large_answers_at_once() {
    check_slow_readers(2'000'000, std::chrono::milliseconds(0));
  }

  /// All 80 answers together exceed the machine's memory.
  static void check_slow_readers(std::size_t answer_bytes, std::chrono::milliseconds apart) {
    PlatformStandIn::Options options;
    options.processes = 1;
    options.memory_mb = kMachineMb;
    PlatformStandIn platform(options);
    const auto set_answer_bytes = [&platform](std::size_t bytes) {
      platform.on_loop([&] {
        for (const std::string& id : platform.replica_ids()) {
          platform.replica(id).faults.answer_bytes = bytes;
        }
      });
    };
    set_answer_bytes(answer_bytes);
    asio::io_context context;
    std::vector<tcp::socket> readers;
    for (int reader = 0; reader < 80; ++reader) {
      readers.push_back(ask(context, platform.front(0), reader));
      std::this_thread::sleep_for(apart);
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    set_answer_bytes(0);
    for (int index = 0; index < 20; ++index) {
      const HttpAnswer answer =
          platform.request(0, "POST", "/safe/small", "quick-" + std::to_string(index), "body");
      CPPUNIT_ASSERT_EQUAL(200u, answer.status);
    }
    CPPUNIT_ASSERT(platform.running(0));
    const std::uint64_t peak_mb = platform.peak_memory(0) >> 20;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak_mb) + " MB", peak_mb < kMachineMb);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowReadersTest);

}  // namespace
}  // namespace stoneport::tests
