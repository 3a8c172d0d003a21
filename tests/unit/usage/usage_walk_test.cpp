/// \file
/// Random schedules of two reporters with one store and one platform: pauses during a call,
/// delayed writes, lost responses, and changes of the term's holder at any time. Checks that no
/// window is reported with two different counts, fencing tokens never decrease, and calls of
/// different holders do not interleave within the lease time.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "core/random.hpp"
#include "support/fake_record_store.hpp"
#include "support/run_task.hpp"
#include "usage/usage_reporter.hpp"

namespace stoneport::usage {

using std::chrono::milliseconds;

namespace {
constexpr core::Duration kWindow = milliseconds(40);
constexpr core::Duration kLease = milliseconds(30);
constexpr int kSchedules = 60;
constexpr const char* kSeedVariable = "STONEPORT_USAGE_WALK_SEED";

/// Platform that records violations by the calls it gets; calls may be lost, refused or hang.
class FakePlatform : public ports::DutyClient {
 public:
  explicit FakePlatform(core::RandomSource& random) : random_(random) {}

  boost::asio::awaitable<core::Result<void>> report_usage(ports::DutyHolder holder,
                                                          ports::UsageReport report,
                                                          core::Duration timeout) override {
    if (is_calm || !random_.chance(0.3)) {
      take(holder, report);
      co_return core::Result<void>();
    }
    const std::size_t fault = random_.uniform(0, 2);
    if (fault == 0) {
      co_return core::make_error(core::ErrorCode::kRateLimited, "429");
    }
    if (fault == 1) {
      take(holder, report);
    }
    co_await runtime::sleep_for(timeout);
    co_return core::make_error(core::ErrorCode::kOutcomeUnknown, "no answer");
  }

  boost::asio::awaitable<core::Result<void>> order_replicas(ports::DutyHolder, ports::ReplicaOrder,
                                                            core::Duration) override {
    co_return core::Result<void>();
  }

  std::map<WindowIndex, ports::TenantCounts> taken;
  std::vector<std::string> violations;
  bool is_calm = false;

 private:
  void take(const ports::DutyHolder& holder, const ports::UsageReport& report) {
    const auto now = std::chrono::steady_clock::now();
    const auto [known, is_new] = taken.try_emplace(report.window, report.counts);
    if (!is_new && known->second != report.counts) {
      violations.push_back("two different counts of window " + std::to_string(report.window));
    }
    if (holder.fence.value() < fence_) {
      violations.emplace_back("the fence decreased");
    }
    if (holder.fence.value() == fence_ && holder.name != holder_) {
      violations.emplace_back("two holders with the same fence");
    }
    if (holder.name != holder_) {
      const auto last = last_call_.find(holder.name);
      if (last != last_call_.end() && now - last->second < kLease) {
        violations.emplace_back("interleaved calls of two holders within the lease time");
      }
    }
    fence_ = std::max(fence_, holder.fence.value());
    holder_ = holder.name;
    last_call_[holder.name] = now;
  }

  core::RandomSource& random_;
  std::uint64_t fence_ = 0;
  std::string holder_;
  std::map<std::string, std::chrono::steady_clock::time_point> last_call_;
};
}  // namespace

class UsageWalkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsageWalkTest);
  CPPUNIT_TEST(windows_are_reported_once_under_every_schedule);
  CPPUNIT_TEST_SUITE_END();

  /// A process that may hold the term.
  struct Process {
    std::string name;
    std::shared_ptr<UsageReporter> reporter;
    /// Whether the process considers itself the holder. Updated late after a change of the term,
    /// as in a paused process.
    std::shared_ptr<bool> is_holder = std::make_shared<bool>(false);
  };

  struct World {
    explicit World(std::uint64_t seed)
        : random(seed), platform(random), reader(store, time, metrics) {}

    void gain(Process& process) {
      const jobs::TermRecord record{++epoch, process.name};
      ports::RecordTransaction bid;
      bid.partition = std::string(jobs::kTermPartition);
      bid.writes.push_back(
          {std::string(jobs::kTermTable), std::string(jobs::kTermKey), jobs::encode_term(record)});
      const core::Revision revision = *store.apply(bid);
      process.is_holder = std::make_shared<bool>(true);
      const auto is_holder = process.is_holder;
      jobs::TermContext context{{core::Epoch(epoch), revision, {}},
                                [is_holder] { return *is_holder; }};
      UsageReporterSettings settings;
      settings.holder = process.name;
      settings.freeze = {milliseconds(4), milliseconds(20)};
      settings.fence = {kLease + milliseconds(14), milliseconds(6)};
      settings.due_after = milliseconds(60);
      settings.give_up_after = std::chrono::seconds(60);
      settings.call_timeout = milliseconds(6);
      settings.write_timeout = milliseconds(6);
      settings.tick = milliseconds(3);
      UsageReporter::Inputs inputs{context_.get_executor(),
                                   store,
                                   reader,
                                   platform,
                                   clock,
                                   [] { return true; },
                                   [] {
                                     return std::vector<std::string>{"one", "two"};
                                   },
                                   time,
                                   metrics};
      process.reporter =
          std::make_shared<UsageReporter>(std::move(inputs), std::move(context), settings);
      process.reporter->start();
    }

    static void lose(Process& process) {
      *process.is_holder = false;
      if (process.reporter) {
        process.reporter->stop();
      }
    }

    /// The processes keep counting, and mostly write their counts after the window is frozen.
    void count() {
      for (const char* name : {"one", "two"}) {
        ProcessCounts& counts = counted[name];
        ++counts.windows[clock.current()][core::TenantName(name)];
        if (random.chance(0.3)) {
          counts.complete_through = clock.current() - 1;
          ports::RecordTransaction write;
          write.partition = std::string(kCountPartition);
          write.writes.push_back({std::string(kCountTable), name, encode_process_counts(counts)});
          store.apply(write);
        }
      }
    }

    void strike() {
      switch (random.uniform(0, 5)) {
        case 0:
          store.faults.lose_answers = 1;
          break;
        case 1:
          store.faults.lose_requests = 1;
          break;
        case 2:
          store.faults.act_late = 1;
          break;
        case 3:
          store.apply_late();
          break;
        default:
          store.faults.down = random.chance(0.3);
          break;
      }
    }

    void run_for(core::Duration length) {
      context_.restart();
      context_.run_for(length);
    }

    core::RandomSource random;
    support::FakeRecordStore store;
    FakePlatform platform;
    core::SystemTimeSource time;
    core::Metrics metrics;
    WindowClock clock{time, kWindow};
    jobs::JobStore reader;
    std::map<std::string, ProcessCounts> counted;
    std::uint64_t epoch = 0;
    boost::asio::io_context context_;
  };

  static void walk(std::uint64_t seed, std::size_t& windows) {
    World world(seed);
    Process processes[] = {{"a"}, {"b"}};
    std::size_t holder = 0;
    world.gain(processes[holder]);
    for (int step = 0; step < 40; ++step) {
      world.count();
      world.strike();
      if (world.random.chance(0.15)) {
        const std::size_t former = holder;
        holder = 1 - holder;
        // The former holder notices the loss of the term some time after the other has gained it.
        world.gain(processes[holder]);
        world.run_for(milliseconds(world.random.uniform(0, 8)));
        World::lose(processes[former]);
      }
      world.run_for(milliseconds(world.random.uniform(1, 12)));
    }
    world.store.faults = {};
    world.platform.is_calm = true;
    world.run_for(milliseconds(260));
    World::lose(processes[holder]);
    world.run_for(milliseconds(20));
    const std::string where = "seed " + std::to_string(seed);
    for (const std::string& violation : world.platform.violations) {
      std::cout << where << ": " << violation << std::endl;
    }
    CPPUNIT_ASSERT_MESSAGE(where, world.platform.violations.empty());
    CPPUNIT_ASSERT_MESSAGE(where + ": nothing was reported", !world.platform.taken.empty());
    windows += world.platform.taken.size();
  }

  void windows_are_reported_once_under_every_schedule() {
    std::size_t windows = 0;
    if (const char* const replayed = std::getenv(kSeedVariable)) {
      walk(std::stoull(replayed), windows);
      return;
    }
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
      walk(seed, windows);
    }
    std::cout << "guarantee: a window of usage has one report | " << kSchedules
              << " schedules, replay with " << kSeedVariable << " | " << windows
              << " windows, 0 violations" << std::endl;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageWalkTest);

}  // namespace stoneport::usage
