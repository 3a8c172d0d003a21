/// \file
/// Relays of the emulator: cut, black hole and heal, over TCP and UDP.
#include "emulator/relay.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include "emulator_fixture.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::emulator {
namespace {

class RelayTest : public EmulatorFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(tcp_relay_is_cut_and_heals);
  CPPUNIT_TEST(udp_relay_is_cut_and_heals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tcp_relay_is_cut_and_heals() {
    runtime::EventLoopThread loop("relay");
    const auto relay = make_tcp_relay(loop.executor(), replica());
    CPPUNIT_ASSERT(relay->listen({"127.0.0.1", 0}));
    loop.run();
    const auto get = [&](core::Duration patience = kPatience) {
      return client_.send(relay->address(), "GET", "/balances/1", "", patience).status;
    };
    const auto set = [&](RelaySwitches switches) {
      asio::post(loop.executor(), asio::use_future([&] { relay->set(switches); })).get();
    };
    constexpr core::Duration kShort = std::chrono::milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(200U, get());
    set({true});
    CPPUNIT_ASSERT_EQUAL(0U, get());
    set({false, true});
    CPPUNIT_ASSERT_EQUAL(0U, get(kShort));
    set({});
    CPPUNIT_ASSERT_EQUAL(200U, get());
    loop.stop();
    CPPUNIT_ASSERT(relay->totals().bytes > 0 && relay->totals().dropped >= 1);
  }

  void udp_relay_is_cut_and_heals() {
    using asio::ip::udp;
    asio::io_context context;
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket target(context, any);
    udp::socket sender(context, any);
    runtime::EventLoopThread loop("relay");
    const auto relay =
        make_udp_relay(loop.executor(), {"127.0.0.1", target.local_endpoint().port()});
    CPPUNIT_ASSERT(relay->listen({"127.0.0.1", 0}));
    const udp::endpoint entry(asio::ip::make_address("127.0.0.1"), relay->address().port);
    loop.run();
    const auto set = [&](RelaySwitches switches) {
      asio::post(loop.executor(), asio::use_future([&] { relay->set(switches); })).get();
    };
    const auto dropped = [&] {
      return asio::post(loop.executor(), asio::use_future([&] { return relay->totals().dropped; }))
          .get();
    };
    set({true});
    sender.send_to(asio::buffer("lost", 4), entry);
    while (dropped() == 0) {
    }
    set({});
    sender.send_to(asio::buffer("heard", 5), entry);
    std::array<char, 16> buffer{};
    udp::endpoint from;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, target.receive_from(asio::buffer(buffer), from));
    target.send_to(asio::buffer("back", 4), from);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sender.receive_from(asio::buffer(buffer), from));
    CPPUNIT_ASSERT(from == entry);
    loop.stop();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace stoneport::emulator
