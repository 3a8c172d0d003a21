/// \file
/// Clients that leave while their requests wait for a replica. Requests that must not be repeated,
/// and streams, were sent to the next replica all the same, seconds later.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;
namespace asio = boost::asio;

class ClientGoneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientGoneTest);
  CPPUNIT_TEST(what_waited_for_a_replica_is_not_run_for_a_client_that_has_left);
  CPPUNIT_TEST_SUITE_END();

  static asio::ip::tcp::socket send(asio::io_context& context, const core::Address& address,
                                    const std::string& target, const std::string& id) {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    const std::string text = "POST " + target + " HTTP/1.1\r\nHost: users.example\r\n" +
                             std::string(platform::kRequestIdHeader) + ": " + id +
                             "\r\nContent-Length: 1\r\n\r\nx";
    asio::write(socket, asio::buffer(text));
    return socket;
  }

  static void set_down(PlatformStandIn& platform, bool is_down) {
    platform.on_loop([&platform, is_down] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.down = is_down;
      }
    });
  }

  void what_waited_for_a_replica_is_not_run_for_a_client_that_has_left() {
    constexpr int kClients = 10;
    constexpr milliseconds kListed{1500};  // the lapse of the replicas' entries, or their return
    PlatformStandIn platform({1, 2, 2});
    set_down(platform, true);
    std::this_thread::sleep_for(kListed);
    asio::io_context context;
    {
      std::vector<asio::ip::tcp::socket> clients;
      for (const char* target : {"/once/a", "/stream/a", "/resume/a", "/safe/a"}) {
        for (int client = 0; client < kClients; ++client) {
          clients.push_back(send(context, platform.front(0), target,
                                 std::string(target).substr(1, 4) + std::to_string(client)));
        }
      }
      std::this_thread::sleep_for(milliseconds(300));
    }
    set_down(platform, false);
    std::this_thread::sleep_for(kListed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, platform.ledger().size());
    CPPUNIT_ASSERT_EQUAL(200u, platform.request(0, "POST", "/once/a", "after", "x").status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientGoneTest);

}  // namespace
}  // namespace stoneport::tests
