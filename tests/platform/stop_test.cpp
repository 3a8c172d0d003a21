/// \file
/// Stopping processes with SIGTERM. The last process used to wait for a successor and then for the
/// store, for 8 s, before it stopped accepting: nothing was left for the requests that it had taken
/// meanwhile, which were cut. What a stopping process waits for besides must not take their time.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "platform/names.hpp"
#include "platform_support/platform_stand_in.hpp"

namespace stoneport::tests {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// From SIGTERM until the process would be killed, as its settings say.
constexpr milliseconds kGrace{8000};
/// Time after which a change is known everywhere.
constexpr milliseconds kContact{3000};

class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(the_last_process_answers_what_it_took_while_the_store_is_silent);
  CPPUNIT_TEST(the_last_process_answers_slow_requests_that_it_took);
  CPPUNIT_TEST(all_processes_that_stop_at_once_answer_what_they_took);
  CPPUNIT_TEST(a_second_signal_cuts_nothing);
  CPPUNIT_TEST(a_process_with_a_successor_does_not_wait_for_a_silent_store);
  CPPUNIT_TEST_SUITE_END();

  /// Clients that send requests to one process, one after another, until it accepts none.
  class Clients {
   public:
    /// \param stagger time between the first requests of two clients
    Clients(PlatformStandIn& platform, std::size_t process, std::size_t count,
            milliseconds stagger = milliseconds(0))
        : platform_(platform), process_(process), stagger_(stagger) {
      for (std::size_t client = 0; client < count; ++client) {
        threads_.emplace_back([this, client] { send_all(client); });
      }
    }
    ~Clients() { stop(); }
    /// \return the requests that replicas ran and that were not answered.
    std::vector<std::string> stop() {
      is_stopped_ = true;
      for (std::thread& thread : threads_) {
        thread.join();
      }
      threads_.clear();
      std::vector<std::string> lost;
      for (const ReplicaRun& run : platform_.ledger()) {
        if (unanswered_.contains(run.request_id)) {
          lost.push_back(run.request_id);
        }
      }
      return lost;
    }
    std::size_t answered() const { return answered_; }

   private:
    void send_all(std::size_t client) {
      const std::string prefix =
          "c" + std::to_string(process_) + "-" + std::to_string(client) + "-";
      std::this_thread::sleep_for(static_cast<int>(client) * stagger_);
      for (int number = 0; !is_stopped_; ++number) {
        const std::string id = prefix + std::to_string(number);
        HttpCall call;
        call.address = platform_.front(process_);
        call.request.head.method = "POST";
        call.request.head.target = "/safe/a";
        call.request.head.headers.set("Host", "users.example");
        call.request.head.headers.set(platform::kRequestIdHeader, id);
        call.request.body = "x";
        const HttpAnswer answer = HttpCaller().send_all({call}, nullptr).front();
        if (answer.ok()) {
          ++answered_;
        } else {
          const std::lock_guard lock(mutex_);
          unanswered_.insert(id);
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    }

    PlatformStandIn& platform_;
    std::size_t process_;
    milliseconds stagger_;
    std::mutex mutex_;
    std::set<std::string> unanswered_;
    std::atomic<std::size_t> answered_{0};
    std::atomic<bool> is_stopped_{false};
    std::vector<std::thread> threads_;
  };

  static void set_work(PlatformStandIn& platform, milliseconds work) {
    platform.on_loop([&platform, work] {
      for (const std::string& id : platform.replica_ids()) {
        platform.replica(id).faults.work = work;
      }
    });
  }

  /// Sends SIGTERM to \p process. \return the time until its end.
  static milliseconds stop(PlatformStandIn& platform, std::size_t process) {
    const Clock::time_point began = Clock::now();
    platform.send_signal(process, SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, platform.wait(process));
    return std::chrono::duration_cast<milliseconds>(Clock::now() - began);
  }

  static std::string joined(const std::vector<std::string>& lost) {
    std::string text = std::to_string(lost.size()) + " lost:";
    for (const std::string& id : lost) {
      text += " " + id;
    }
    return text;
  }

  static void check_none_lost(const std::vector<std::string>& lost) {
    CPPUNIT_ASSERT_MESSAGE(joined(lost), lost.empty());
  }

  /// Stops the only process under load. \return the requests that were lost.
  static std::vector<std::string> lost_at_the_last(PlatformStandIn& platform,
                                                   milliseconds stagger = milliseconds(0)) {
    std::this_thread::sleep_for(kContact);
    Clients clients(platform, 0, 6, stagger);
    std::this_thread::sleep_for(milliseconds(500));
    const milliseconds taken = stop(platform, 0);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken.count()) + " ms", taken < kGrace);
    CPPUNIT_ASSERT(clients.answered() > 0);
    return clients.stop();
  }

  /// Guards against a hand-over to a store that does not answer at the cost of requests in flight.
  void the_last_process_answers_what_it_took_while_the_store_is_silent() {
    PlatformStandIn platform({1, 1, 3});
    set_work(platform, milliseconds(60));
    std::this_thread::sleep_for(kContact);
    platform.on_loop([&] { platform.store().switches.silent = true; });
    check_none_lost(lost_at_the_last(platform));
  }

  /// Guards against requests that are taken later than they could be answered.
  void the_last_process_answers_slow_requests_that_it_took() {
    PlatformStandIn platform({1, 1, 3});
    set_work(platform, milliseconds(1700));
    check_none_lost(lost_at_the_last(platform, milliseconds(290)));
  }

  void all_processes_that_stop_at_once_answer_what_they_took() {
    PlatformStandIn platform({3, 1, 3});
    set_work(platform, milliseconds(60));
    std::this_thread::sleep_for(kContact);
    std::vector<std::unique_ptr<Clients>> clients;
    for (std::size_t process = 0; process < 3; ++process) {
      clients.push_back(std::make_unique<Clients>(platform, process, 2));
    }
    std::this_thread::sleep_for(milliseconds(500));
    platform.on_loop([&] { platform.store().switches.silent = true; });
    const Clock::time_point began = Clock::now();
    for (std::size_t process = 0; process < 3; ++process) {
      platform.send_signal(process, SIGTERM);
    }
    for (std::size_t process = 0; process < 3; ++process) {
      CPPUNIT_ASSERT_EQUAL(0, platform.wait(process));
    }
    CPPUNIT_ASSERT(Clock::now() - began < kGrace);
    for (const std::unique_ptr<Clients>& one : clients) {
      check_none_lost(one->stop());
    }
  }

  /// Guards against a signal that ends a stopping process, or begins its time anew.
  void a_second_signal_cuts_nothing() {
    PlatformStandIn platform({1, 1, 3});
    set_work(platform, milliseconds(60));
    std::this_thread::sleep_for(kContact);
    Clients clients(platform, 0, 6);
    std::thread again([&platform] {
      for (const milliseconds pause : {milliseconds(700), milliseconds(2000)}) {
        std::this_thread::sleep_for(pause);
        platform.send_signal(0, SIGTERM);
      }
    });
    const milliseconds taken = stop(platform, 0);
    again.join();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken.count()) + " ms", taken < kGrace);
    check_none_lost(clients.stop());
  }

  /// Guards against a rolling stop that takes longer for each process while the store is silent.
  void a_process_with_a_successor_does_not_wait_for_a_silent_store() {
    constexpr milliseconds kUsualStop{4500};
    PlatformStandIn platform({2, 1, 3});
    set_work(platform, milliseconds(60));
    std::this_thread::sleep_for(kContact);
    platform.on_loop([&] { platform.store().switches.silent = true; });
    const std::size_t stopped = platform.coordinator().value_or(0);
    Clients clients(platform, stopped, 4);
    const milliseconds taken = stop(platform, stopped);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken.count()) + " ms", taken < kUsualStop);
    check_none_lost(clients.stop());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace
}  // namespace stoneport::tests
