/// \file
/// Snapshots and calls between threads. Also run under the thread sanitizer.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio.hpp>
#include <future>

#include "core/error.hpp"
#include "runtime/event_loop_thread.hpp"
#include "runtime/snapshot.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::runtime {
namespace {
namespace asio = boost::asio;

struct Table {
  std::uint64_t first = 0;
  std::uint64_t second = 0;  ///< equal to first unless the snapshot is torn
};

template <class Value>
Value call(EventLoopThread& thread, asio::awaitable<Value> task) {
  return asio::co_spawn(thread.executor(), std::move(task), asio::use_future).get();
}

class RuntimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuntimeTest);
  CPPUNIT_TEST(snapshots_arrive_untorn_and_in_order);
  CPPUNIT_TEST(snapshot_is_kept_while_in_use);
  CPPUNIT_TEST(run_on_switches_threads_and_back);
  CPPUNIT_TEST(run_on_passes_errors_as_values);
  CPPUNIT_TEST(stopping_twice_is_safe);
  CPPUNIT_TEST(sleep_ends_after_its_length);
  CPPUNIT_TEST_SUITE_END();

 public:
  void snapshots_arrive_untorn_and_in_order() {
    constexpr std::uint64_t kPublished = 1000;
    EventLoopThread control("control");
    EventLoopThread traffic_one("traffic-1");
    EventLoopThread traffic_two("traffic-2");
    SnapshotPublisher<Table> publisher;
    const auto view_one = publisher.subscribe(traffic_one.executor());
    const auto view_two = publisher.subscribe(traffic_two.executor());
    for (EventLoopThread* thread : {&control, &traffic_one, &traffic_two}) {
      thread->run();
    }
    const auto watch = [](const SnapshotView<Table>& view) -> asio::awaitable<bool> {
      std::uint64_t newest = 0;
      bool in_order = true;
      while (newest < kPublished) {
        const std::shared_ptr<const Table> table = view.get();
        in_order = in_order && table->first == table->second && table->first >= newest;
        newest = table->first;
        co_await asio::post(asio::use_awaitable);
      }
      co_return in_order;
    };
    auto seen_one = asio::co_spawn(traffic_one.executor(), watch(*view_one), asio::use_future);
    auto seen_two = asio::co_spawn(traffic_two.executor(), watch(*view_two), asio::use_future);
    asio::post(control.executor(), [&publisher] {
      for (std::uint64_t number = 1; number <= kPublished; ++number) {
        publisher.publish(std::make_shared<const Table>(Table{number, number}));
      }
    });
    CPPUNIT_ASSERT(seen_one.get());
    CPPUNIT_ASSERT(seen_two.get());
  }

  void snapshot_is_kept_while_in_use() {
    asio::io_context context;
    SnapshotPublisher<Table> publisher;
    const auto view = publisher.subscribe(context.get_executor());
    const std::shared_ptr<const Table> before = view->get();
    publisher.publish(std::make_shared<const Table>(Table{1, 1}));
    CPPUNIT_ASSERT(view->get() == before);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, publisher.current()->first);
    context.run();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, view->get()->first);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, before->first);
  }

  void run_on_switches_threads_and_back() {
    EventLoopThread control("control");
    EventLoopThread traffic("traffic");
    control.run();
    traffic.run();
    const auto thread_id = []() -> asio::awaitable<std::thread::id> {
      co_return std::this_thread::get_id();
    };
    struct Visited {
      std::thread::id before, there, after;
    };
    const auto visit = [&]() -> asio::awaitable<Visited> {
      Visited visited;
      visited.before = std::this_thread::get_id();
      visited.there = co_await run_on(control.executor(), thread_id());
      visited.after = std::this_thread::get_id();
      co_return visited;
    };
    const Visited visited = call(traffic, visit());
    CPPUNIT_ASSERT(visited.before == visited.after);
    CPPUNIT_ASSERT(visited.there == call(control, thread_id()));
    CPPUNIT_ASSERT(visited.there != visited.before);
  }

  void run_on_passes_errors_as_values() {
    EventLoopThread control("control");
    EventLoopThread traffic("traffic");
    control.run();
    traffic.run();
    const auto refuse = []() -> asio::awaitable<core::Result<std::string>> {
      co_return core::make_error(core::ErrorCode::kFenced, "a higher epoch",
                                 std::chrono::seconds(3));
    };
    const core::Result<std::string> refused = call(traffic, run_on(control.executor(), refuse()));
    CPPUNIT_ASSERT(refused.error().code == core::ErrorCode::kFenced);
    CPPUNIT_ASSERT_EQUAL(std::string("a higher epoch"), refused.error().message);
    CPPUNIT_ASSERT(refused.error().retry_after == core::Duration(std::chrono::seconds(3)));
  }

  void stopping_twice_is_safe() {
    EventLoopThread thread("twice");
    thread.run();
    thread.stop();
    thread.stop();
    EventLoopThread never_run("never");
    never_run.stop();
  }

  void sleep_ends_after_its_length() {
    asio::io_context context;
    const auto start = std::chrono::steady_clock::now();
    const core::Duration length = std::chrono::milliseconds(5);
    asio::co_spawn(context, sleep_for(length), asio::detached);
    context.run();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= length);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RuntimeTest);

}  // namespace
}  // namespace stoneport::runtime
