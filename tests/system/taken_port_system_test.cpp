/// \file
/// A daemon refuses at its start a port on which another process listens, also
/// one that would share it.
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <filesystem>

#include "support/child_process.hpp"
#include "support/test_cluster.hpp"

namespace stoneport::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

class TakenPortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakenPortTest);
  CPPUNIT_TEST(daemon_refuses_a_taken_port);
  CPPUNIT_TEST_SUITE_END();

 public:
  void daemon_refuses_a_taken_port() {
    const std::string log = (std::filesystem::temp_directory_path() /
                             ("stoneport-taken-port-" + std::to_string(getpid()) + ".log"))
                                .string();
    asio::io_context context;
    tcp::acceptor holder(context);
    holder.open(tcp::v4());
    holder.set_option(ReusePort(true));
    holder.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    holder.listen();
    const std::string taken = "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
    const std::string free = "127.0.0.1:0";
    const std::vector<std::string> listeners = {"--caller-listener", "--trainer-listener",
                                                "--admin-listener", "--peer-listener"};
    for (const std::string& taken_listener : listeners) {
      std::vector<std::string> arguments = {TestCluster::binary("stoneportd"),
                                            "--config",
                                            "examples/demo-daemon.toml",
                                            "--node",
                                            "node-1",
                                            "--zone",
                                            "bole-hall",
                                            "--gossip-listener",
                                            free};
      for (const std::string& listener : listeners) {
        arguments.push_back(listener);
        arguments.push_back(listener == taken_listener ? taken : free);
      }
      ChildProcess daemon(arguments, log);
      wait_until("the daemon refuses its " + taken_listener, [&] { return !daemon.running(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(taken_listener, 1, daemon.wait());
    }
    std::filesystem::remove(log);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TakenPortTest);

}  // namespace
}  // namespace stoneport::tests
