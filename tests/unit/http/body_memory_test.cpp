/// \file
/// Bodies read whole while their memory is limited: waits, deadlines, cancelled readers and bodies
/// of unknown length.
#include "http/body_memory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <list>

#include "http/deadline_timer.hpp"
#include "http/task_start.hpp"
#include "runtime/cancellable.hpp"

namespace stoneport::http {

namespace asio = boost::asio;
using std::chrono::milliseconds;

class BodyMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyMemoryTest);
  CPPUNIT_TEST(a_body_waits_until_another_one_is_dropped);
  CPPUNIT_TEST(a_wait_ends_at_its_deadline);
  CPPUNIT_TEST(a_cancelled_reader_leaves_the_queue);
  CPPUNIT_TEST(bodies_of_unknown_length_are_read_whole);
  CPPUNIT_TEST(small_bodies_of_unknown_length_do_not_wait_for_large_ones);
  CPPUNIT_TEST(a_body_that_is_too_long_is_not_read);
  CPPUNIT_TEST(memory_is_reclaimed_while_a_body_waits);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kLimit = 4'000'000;  // 3 MB of them for large bodies
  static constexpr std::size_t kPiece = 64 * 1024;

  /// Yields pieces and returns to the event loop before each.
  class Pieces : public BodySource {
   public:
    explicit Pieces(std::size_t length) : left_(length) {}
    asio::awaitable<core::Result<std::optional<std::string>>> next() override {
      co_await asio::post(asio::use_awaitable);
      ++reads;
      const std::size_t size = std::min(left_, kPiece);
      left_ -= size;
      co_return size == 0 ? std::optional<std::string>() : std::string(size, 'x');
    }
    int reads = 0;

   private:
    std::size_t left_;
  };

  struct World {
    using Outcome = std::optional<core::Result<ReservedBody>>;

    /// Reads a body of \p length bytes, which are announced if \p is_known.
    void read(std::size_t length, bool is_known, Outcome& outcome,
              core::Duration limit = std::chrono::seconds(5)) {
      ReservedReadOptions options;
      options.length = is_known ? std::optional<std::uint64_t>(length) : std::nullopt;
      options.max_bytes = 8'000'000;
      options.deadline = monotonic_now() + limit;
      options.listener.on_begin = [this] { ++waits; };
      start_task(context.get_executor(), "read", run(length, std::move(options), outcome));
    }
    asio::awaitable<void> run(std::size_t length, ReservedReadOptions options, Outcome& outcome) {
      Pieces pieces(length);
      outcome = co_await runtime::run_cancellable(read_reserved(pieces, memory, std::move(options)),
                                                  cancels.emplace_back());
      reads += pieces.reads;
    }
    void play(milliseconds length) {
      context.restart();
      context.run_for(length);
    }

    core::Metrics metrics;
    std::list<asio::cancellation_signal> cancels;  ///< one a read, as a signal has one receiver
    asio::io_context context;  ///< destroyed first of these, with the reads that still wait
    BodyMemory memory{context.get_executor(), "test", {.max_bytes = kLimit}, metrics};
    int waits = 0;
    int reads = 0;
  };

  static bool is_whole(const World::Outcome& outcome, std::size_t length) {
    return outcome && outcome->has_value() && (*outcome)->text.size() == length;
  }

  void a_body_waits_until_another_one_is_dropped() {
    World world;
    World::Outcome first;
    World::Outcome second;
    world.read(2'000'000, true, first);
    world.play(milliseconds(50));
    CPPUNIT_ASSERT(is_whole(first, 2'000'000));
    world.read(2'000'000, true, second);
    world.play(milliseconds(50));
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(world.memory.is_short());
    CPPUNIT_ASSERT_EQUAL(1, world.waits);
    first.reset();
    world.play(milliseconds(50));
    CPPUNIT_ASSERT(is_whole(second, 2'000'000));
    CPPUNIT_ASSERT(!world.memory.is_short());
  }

  void a_wait_ends_at_its_deadline() {
    World world;
    World::Outcome first;
    World::Outcome second;
    world.read(2'000'000, true, first);
    world.read(2'000'000, true, second, milliseconds(40));
    world.play(milliseconds(30));
    CPPUNIT_ASSERT(!second.has_value());
    world.play(milliseconds(80));
    CPPUNIT_ASSERT(second.has_value() && !second->has_value());
    CPPUNIT_ASSERT(second->error().code == core::ErrorCode::kOverloaded);
    CPPUNIT_ASSERT(!world.memory.is_short());
  }

  void a_cancelled_reader_leaves_the_queue() {
    World world;
    World::Outcome first;
    World::Outcome second;
    world.read(2'000'000, true, first);
    world.play(milliseconds(50));
    world.read(2'000'000, true, second);
    world.play(milliseconds(20));
    CPPUNIT_ASSERT(world.memory.is_short());
    world.cancels.back().emit(asio::cancellation_type::terminal);
    world.play(milliseconds(20));
    CPPUNIT_ASSERT(!second.has_value());
    CPPUNIT_ASSERT(!world.memory.is_short());
  }

  /// Together they exceed the limit while none is complete.
  void bodies_of_unknown_length_are_read_whole() {
    World world;
    std::vector<World::Outcome> outcomes(6);
    for (World::Outcome& outcome : outcomes) {
      world.read(1'500'000, false, outcome);
    }
    for (int rounds = 0; rounds < 20; ++rounds) {
      world.play(milliseconds(30));
      for (World::Outcome& outcome : outcomes) {
        if (outcome && outcome->has_value() && !(*outcome)->text.empty()) {
          CPPUNIT_ASSERT(is_whole(outcome, 1'500'000));
          (*outcome)->text.clear();
          (*outcome)->reservation.reset();
        }
      }
    }
    for (const World::Outcome& outcome : outcomes) {
      CPPUNIT_ASSERT(outcome && outcome->has_value());
    }
    CPPUNIT_ASSERT(world.waits > 0);
  }

  void small_bodies_of_unknown_length_do_not_wait_for_large_ones() {
    World world;
    std::vector<World::Outcome> large(3);
    for (World::Outcome& outcome : large) {
      world.read(2'000'000, true, outcome);
    }
    world.play(milliseconds(50));
    CPPUNIT_ASSERT(world.memory.is_short());
    for (const std::size_t length : {100, 5'000, 20'000, 60'000}) {
      World::Outcome small;
      world.read(length, false, small);
      world.play(milliseconds(20));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(length), is_whole(small, length));
    }
  }

  void a_body_that_is_too_long_is_not_read() {
    World world;
    World::Outcome outcome;
    world.read(9'000'000, true, outcome);
    world.play(milliseconds(20));
    CPPUNIT_ASSERT(outcome && !outcome->has_value());
    CPPUNIT_ASSERT(outcome->error().code == core::ErrorCode::kTooLarge);
    CPPUNIT_ASSERT_EQUAL(0, world.reads);
  }

  void memory_is_reclaimed_while_a_body_waits() {
    World world;
    World::Outcome first;
    World::Outcome second;
    std::uint64_t asked = 0;
    world.memory.set_reclaim([&](std::uint64_t bytes) {
      asked = bytes;
      first.reset();
    });
    world.read(2'000'000, true, first);
    world.play(milliseconds(50));
    CPPUNIT_ASSERT(first.has_value());
    world.read(2'000'000, true, second);
    world.play(milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2'000'000}, asked);
    CPPUNIT_ASSERT(is_whole(second, 2'000'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyMemoryTest);

}  // namespace stoneport::http
