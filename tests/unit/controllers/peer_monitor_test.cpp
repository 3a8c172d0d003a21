/// \file
/// Operators must be able to tell a process that knows no other one from one that lost a packet:
/// the time without peers counts from the start, and again after all peers are lost.
#include "controllers/peer_monitor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace stoneport::controllers {

using namespace std::chrono_literals;

class PeerMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMonitorTest);
  CPPUNIT_TEST(time_without_peers_counts_until_the_first_and_after_the_last);
  CPPUNIT_TEST_SUITE_END();

  static double value_of(const core::Metrics& metrics, const std::string& name) {
    const std::string text = "\n" + metrics.to_text();
    const std::size_t line = text.find("\n" + name + " ");
    CPPUNIT_ASSERT(line != std::string::npos);
    return std::stod(text.substr(line + name.size() + 2));
  }

  void time_without_peers_counts_until_the_first_and_after_the_last() {
    core::Metrics metrics;
    PeerMonitor monitor(metrics);
    const core::MonotonicTime start{10s};
    monitor.start(start);
    monitor.update(0, start + 500ms);
    monitor.update(2, start + 1000ms);
    monitor.update(1, start + 5000ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, value_of(metrics, "stoneport_gossip_alone_seconds_total"),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, value_of(metrics, "stoneport_gossip_live_peers"), 1e-9);
    monitor.update(0, start + 6000ms);
    monitor.update(0, start + 8000ms);
    monitor.update(1, start + 8500ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, value_of(metrics, "stoneport_gossip_alone_seconds_total"),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, value_of(metrics, "stoneport_gossip_peers_lost_total"), 1e-9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMonitorTest);

}  // namespace stoneport::controllers
