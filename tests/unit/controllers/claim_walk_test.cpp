/// \file
/// Randomized test of claims, reproducible from its seed: two daemons that crash and are
/// replaced, callers that repeat requests with their key, and a store with outages and
/// lost, late and duplicated writes. Invariant: a request is sent at most once per key.
/// STONEPORT_CLAIM_SEED=N replays one schedule, STONEPORT_CLAIM_SCHEDULES=N sets the number
/// of schedules.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "controllers/table_claim_registry.hpp"
#include "support/fake_object_store.hpp"
#include "support/scheduled_table_service.hpp"

namespace stoneport::controllers {
namespace {

constexpr std::uint64_t kSchedules = 10'000;
constexpr int kSteps = 60;
constexpr std::uint32_t kMaxRequests = 8;
constexpr double kFaultRate = 0.3;
constexpr std::size_t kKeys = 2;

struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  std::uint64_t taken_with_outcome = 0;
  std::uint64_t taken_unknown = 0;
  std::uint64_t released = 0;
  std::uint64_t crashes = 0;
  std::uint64_t outages = 0;
  std::uint64_t double_sends = 0;
  std::uint64_t wrong_outcomes = 0;
  std::uint64_t keys_never_sent = 0;
  std::uint64_t keys_blocked = 0;  ///< never sent, and still claimed after the faults ended
};

filters::ClaimKey key_number(std::size_t number) {
  return {core::TenantName("desk"), core::ServiceName("top-up"), "key-" + std::to_string(number),
          7};
}

/// One process of one daemon. Destroying it destroys its event loop first, with all
/// coroutines suspended on it.
struct Daemon {
  Daemon(support::ScheduledStore& store, int life, core::TimeSource& time, const double& fault_rate)
      : life(life),
        table(store, life, fault_rate),
        registry(context.get_executor(), table, objects, time, core::NodeId("node"),
                 core::Incarnation(static_cast<std::uint64_t>(life)), metrics) {}

  int life;
  support::FakeObjectStore objects;
  core::Metrics metrics;
  boost::asio::io_context context;
  support::ScheduledTableService table;
  TableClaimRegistry registry;
};

class Schedule {
 public:
  Schedule(std::uint64_t seed, bool claim_condition, Tally& tally)
      : random_(seed), store_(random_), tally_(tally) {
    store_.skip_conditions = !claim_condition;
    for (auto& daemon : daemons_) {
      replace(daemon);
    }
  }

  ~Schedule() {
    for (auto& daemon : daemons_) {
      kill(daemon);
    }
  }

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      take_step();
    }
    end_faults();
    repeat_every_key();
  }

 private:
  using DaemonSlot = std::unique_ptr<Daemon>;

  void replace(DaemonSlot& slot) {
    kill(slot);
    slot = std::make_unique<Daemon>(store_, ++lives_, time_, fault_rate_);
  }

  void kill(DaemonSlot& slot) {
    if (slot) {
      store_.drop_owner(slot->life);
      slot.reset();
    }
  }

  DaemonSlot& any_daemon() { return daemons_[random_.uniform(0, 1)]; }

  void take_step() {
    const std::uint64_t choice = random_.uniform(0, 99);
    if (choice < 15 && requests_ < kMaxRequests) {
      ++requests_;
      start(*any_daemon(), random_.uniform(0, kKeys - 1));
    } else if (choice < 20) {
      ++tally_.crashes;
      replace(any_daemon());
    } else if (choice < 25) {
      store_.down = !store_.down;
      ++tally_.outages;
    } else if (choice < 35) {
      time_.advance(std::chrono::seconds(random_.uniform(1, 60)));
      start_release(*any_daemon());
    } else if (choice < 45 && store_.has_delayed()) {
      store_.deliver_one();
    } else if (store_.has_waiting()) {
      store_.resume_one();
    }
    poll();
  }

  void poll() {
    for (auto& daemon : daemons_) {
      daemon->context.restart();
      daemon->context.poll();
    }
  }

  void settle() {
    poll();
    while (store_.has_waiting()) {
      store_.resume_one();
      poll();
    }
  }

  void end_faults() {
    store_.down = false;
    fault_rate_ = 0;
    settle();
    while (store_.has_delayed()) {
      store_.deliver_one();
    }
    for (auto& daemon : daemons_) {
      time_.advance(std::chrono::seconds(300));
      start_release(*daemon);
      settle();
    }
  }

  void repeat_every_key() {
    for (std::size_t key = 0; key < kKeys; ++key) {
      if (sends_[key] == 0) {
        ++tally_.keys_never_sent;
        start(*any_daemon(), key);
        settle();
        tally_.keys_blocked += last_was_taken_ ? 1 : 0;
      }
    }
  }

  void start(Daemon& daemon, std::size_t key) {
    boost::asio::co_spawn(daemon.context, request(daemon, key), boost::asio::detached);
  }

  void start_release(Daemon& daemon) {
    boost::asio::co_spawn(daemon.context, daemon.registry.release_abandoned(),
                          boost::asio::detached);
  }

  /// Point at which the daemon may crash.
  boost::asio::awaitable<void> pause(int life) {
    std::function<void()> nothing = [] {};
    co_await store_.wait(life, std::nullopt, std::move(nothing));
  }

  boost::asio::awaitable<void> request(Daemon& daemon, std::size_t key) {
    const int life = daemon.life;
    auto answer = co_await daemon.registry.claim(key_number(key));
    if (!answer) {
      ++tally_.refused;
      co_return;
    }
    last_was_taken_ = std::holds_alternative<filters::ClaimTaken>(*answer);
    if (last_was_taken_) {
      check_taken(key, std::get<filters::ClaimTaken>(*answer));
      co_return;
    }
    const core::WriteId claim = std::get<filters::ClaimGranted>(*answer).claim;
    co_await pause(life);
    if (random_.chance(0.25)) {
      ++tally_.released;
      co_await daemon.registry.release(key_number(key), claim);
      co_return;
    }
    send(key, claim);
    co_await pause(life);
    filters::RecordedOutcome outcome{200, "text/plain", claim.value()};
    co_await daemon.registry.record(key_number(key), claim, std::move(outcome));
  }

  void send(std::size_t key, const core::WriteId& claim) {
    ++tally_.sent;
    ++sends_[key];
    sent_under_[key] = claim.value();
    tally_.double_sends += sends_[key] > 1 ? 1 : 0;
  }

  void check_taken(std::size_t key, const filters::ClaimTaken& taken) {
    if (!taken.outcome) {
      ++tally_.taken_unknown;
      return;
    }
    ++tally_.taken_with_outcome;
    tally_.wrong_outcomes += taken.outcome->body != sent_under_[key] ? 1 : 0;
  }

  core::RandomSource random_;
  support::ScheduledStore store_;
  core::ManualTimeSource time_;
  Tally& tally_;
  double fault_rate_ = kFaultRate;
  std::array<DaemonSlot, 2> daemons_;
  std::array<std::uint32_t, kKeys> sends_{};
  std::array<std::string, kKeys> sent_under_;
  int lives_ = 0;
  std::uint32_t requests_ = 0;
  bool last_was_taken_ = false;
};

std::optional<std::uint64_t> number_from_environment(const char* name) {
  const char* text = std::getenv(name);
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::strtoull(text, nullptr, 10);
}

void print(const char* title, std::uint64_t schedules, const Tally& tally) {
  std::cout << "\n"
            << title << ": schedules " << schedules << ", crashes " << tally.crashes
            << ", outage switches " << tally.outages << ", sent " << tally.sent << ", refused "
            << tally.refused << ", released " << tally.released << ", repeats with outcome "
            << tally.taken_with_outcome << ", repeats unknown " << tally.taken_unknown
            << ", double sends " << tally.double_sends << ", wrong outcomes "
            << tally.wrong_outcomes << ", keys never sent " << tally.keys_never_sent
            << ", of these blocked " << tally.keys_blocked << std::endl;
}

class ClaimWalkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimWalkTest);
  CPPUNIT_TEST(a_key_is_sent_under_at_most_once);
  CPPUNIT_TEST(the_check_fails_without_the_claim_condition);
  CPPUNIT_TEST_SUITE_END();

  void a_key_is_sent_under_at_most_once() {
    const auto replayed = number_from_environment("STONEPORT_CLAIM_SEED");
    const std::uint64_t first = replayed.value_or(1);
    const std::uint64_t count =
        replayed ? 1 : number_from_environment("STONEPORT_CLAIM_SCHEDULES").value_or(kSchedules);
    Tally tally;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      Schedule(seed, true, tally).run();
      const std::string name = "replay with STONEPORT_CLAIM_SEED=" + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{0}, tally.double_sends);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::uint64_t{0}, tally.wrong_outcomes);
    }
    print("claims", count, tally);
    // A full run must have exercised faults and repeated requests to be conclusive.
    const bool whole_run = count >= kSchedules;
    CPPUNIT_ASSERT(!whole_run || tally.sent > count / 2);
    CPPUNIT_ASSERT(!whole_run || tally.taken_with_outcome > count / 10);
    CPPUNIT_ASSERT(!whole_run || tally.taken_unknown > count / 10);
    CPPUNIT_ASSERT(!whole_run || tally.released > count / 10);
  }

  void the_check_fails_without_the_claim_condition() {
    constexpr std::uint64_t kUnguarded = 500;
    Tally tally;
    for (std::uint64_t seed = 1; seed <= kUnguarded; ++seed) {
      Schedule(seed, false, tally).run();
    }
    print("claims without their condition", kUnguarded, tally);
    CPPUNIT_ASSERT(tally.double_sends > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ClaimWalkTest);

}  // namespace
}  // namespace stoneport::controllers
