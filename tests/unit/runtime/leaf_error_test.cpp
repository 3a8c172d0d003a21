/// \file
/// Shows why coroutines return core::Result and not Boost.LEAF errors (docs/design/errors.md). If
/// the first test fails with a newer Boost, that rule is no longer needed.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <boost/leaf.hpp>

#include "core/error.hpp"

namespace stoneport::runtime {
namespace {
namespace asio = boost::asio;
namespace leaf = boost::leaf;

struct Cause {
  int number = 0;
};

/// Creates its error after a suspension, when no handler scope is active.
asio::awaitable<leaf::result<int>> fail_after_suspension() {
  co_await asio::post(asio::use_awaitable);
  co_return leaf::new_error(Cause{7});
}

leaf::result<int> fail_at_once() {
  return leaf::new_error(Cause{7});
}

/// \return the cause's number, or -1 when only the catch-all handler ran.
int handle(const std::function<leaf::result<int>()>& attempt) {
  return leaf::try_handle_all(
      attempt, [](const Cause& cause) { return cause.number; }, [] { return -1; });
}

template <class Task>
auto run(Task task) {
  asio::io_context context;
  auto result = asio::co_spawn(context, task(), asio::use_future);
  context.run();
  return result.get();
}

class LeafErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafErrorTest);
  CPPUNIT_TEST(leaf_error_object_is_lost_across_co_await);
  CPPUNIT_TEST(leaf_error_object_arrives_within_one_synchronous_scope);
  CPPUNIT_TEST(result_is_preserved_across_co_await);
  CPPUNIT_TEST_SUITE_END();

 public:
  void leaf_error_object_is_lost_across_co_await() {
    const auto task = []() -> asio::awaitable<int> {
      leaf::result<int> failed = co_await fail_after_suspension();
      co_return handle([&] { return std::move(failed); });
    };
    CPPUNIT_ASSERT_EQUAL(-1, run(task));
  }

  void leaf_error_object_arrives_within_one_synchronous_scope() {
    const auto task = []() -> asio::awaitable<int> {
      co_await asio::post(asio::use_awaitable);
      co_return handle(fail_at_once);
    };
    CPPUNIT_ASSERT_EQUAL(7, run(task));
  }

  void result_is_preserved_across_co_await() {
    const auto fail = []() -> asio::awaitable<core::Result<int>> {
      co_await asio::post(asio::use_awaitable);
      co_return core::make_error(core::ErrorCode::kConflict, "another revision");
    };
    const auto task = [&]() -> asio::awaitable<std::string> {
      const core::Result<int> failed = co_await fail();
      co_return failed.error().message;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("another revision"), run(task));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafErrorTest);

}  // namespace
}  // namespace stoneport::runtime
