/// \file
/// Clients that request large answers and read nothing, together with ordinary clients, on a real
/// process with little memory.
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

class SlowReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowReadersTest);
  CPPUNIT_TEST(memory_is_bounded_with_eighty_clients_that_do_not_read);
  CPPUNIT_TEST(a_small_machine_bears_eighty_large_answers_at_once);
  CPPUNIT_TEST(clients_that_read_get_large_answers_of_known_length);
  CPPUNIT_TEST(clients_that_read_get_large_answers_of_unknown_length);
  CPPUNIT_TEST(clients_that_read_get_theirs_beside_stalled_ones);
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

  static void set_answers(PlatformStandIn& platform, std::size_t bytes, bool chunked) {
    platform.on_loop([&] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.answer_bytes = bytes;
        platform.replica(id).faults.chunked = chunked;
      }
    });
  }

  static PlatformStandIn::Options small_machine() {
    PlatformStandIn::Options options;
    options.processes = 1;
    options.memory_mb = kMachineMb;
    return options;
  }

  /// \p count clients ask at once and read what they get.
  static void check_readers(PlatformStandIn& platform, std::size_t count, std::size_t bytes) {
    std::vector<HttpCall> calls(count);
    for (std::size_t index = 0; index < count; ++index) {
      calls[index].address = platform.front(0);
      http::RequestHead& head = calls[index].request.head;
      head.method = "POST";
      head.target = "/safe/large";
      head.headers.set("Host", "users.example");
      head.headers.set(platform::kRequestIdHeader, "reader-" + std::to_string(index));
      head.headers.set(platform::kDeadlineHeader, "20000");
    }
    const std::vector<HttpAnswer> answers = platform.http().send_all(calls, nullptr);
    const auto is_whole = [&](const HttpAnswer& answer) {
      return answer.ok() && answer.body.size() == bytes;
    };
    const auto whole = std::count_if(answers.begin(), answers.end(), is_whole);
    CPPUNIT_ASSERT_EQUAL(count, static_cast<std::size_t>(whole));
    CPPUNIT_ASSERT(platform.running(0));
    const std::uint64_t peak_mb = platform.peak_memory(0) >> 20;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak_mb) + " MB", peak_mb < kMachineMb);
  }

  /// A bound on unsent bytes reset whoever had most unsent, also clients that read.
  void clients_that_read_get_large_answers_of_known_length() {
    PlatformStandIn platform(small_machine());
    set_answers(platform, 4'000'000, false);
    check_readers(platform, 40, 4'000'000);
  }

  /// Partly read answers use up the memory while none is complete.
  void clients_that_read_get_large_answers_of_unknown_length() {
    PlatformStandIn platform(small_machine());
    set_answers(platform, 4'000'000, true);
    check_readers(platform, 40, 4'000'000);
  }

  /// Clients that read nothing hold all memory when the others ask.
  void clients_that_read_get_theirs_beside_stalled_ones() {
    PlatformStandIn platform(small_machine());
    set_answers(platform, 8'000'000, false);
    asio::io_context context;
    std::vector<tcp::socket> stalled;
    for (int reader = 0; reader < 8; ++reader) {
      stalled.push_back(ask(context, platform.front(0), reader));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    set_answers(platform, 4'000'000, false);
    check_readers(platform, 10, 4'000'000);
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
