/// \file
/// Helpers of the contract tests between daemons.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace stoneport::peer_test {

/// Fails a test whose condition never holds. Daemons tick forever, so the wait would
/// otherwise never end. A passing test does not reach this limit.
inline constexpr auto kConditionTimeout = std::chrono::seconds(30);

/// Runs \p context until \p condition holds; fails after kConditionTimeout.
template <class Condition>
void wait_for(boost::asio::io_context& context, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kConditionTimeout;
  context.restart();
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("timed out waiting for the condition",
                           std::chrono::steady_clock::now() < end);
    context.run_one_for(kConditionTimeout);
  }
}

}  // namespace stoneport::peer_test
