/// \file
/// Scaffolding of the contract tests between daemons.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace stoneport::peer_test {

/// Never reached by a test that passes. Daemons tick for ever, so that a
/// condition that does not come would otherwise be waited for without end.
inline constexpr auto kPatience = std::chrono::seconds(30);

/// Lets \p context work until \p condition holds; fails past kPatience.
template <class Condition>
void wait_for(boost::asio::io_context& context, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  context.restart();
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("the condition is not reached", std::chrono::steady_clock::now() < end);
    context.run_one_for(kPatience);
  }
}

}  // namespace stoneport::peer_test
