/// \file
/// Random schedules of many processes that send to one replica as fast as the gate allows. The
/// replica becomes cold at any moment, which each process learns up to two seconds late; the term
/// changes hands, also without the holder's knowledge; processes restart and have differing
/// membership views. No sliding window of one second may contain more requests to the cold replica
/// than the bound.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "core/random.hpp"
#include "eligibility/cold_rate_limiter.hpp"

namespace stoneport::eligibility {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kSchedules = 200;
constexpr int kProcesses = 24;
constexpr std::size_t kViews = 3;
constexpr core::Duration kStep = milliseconds(5);
constexpr core::Duration kLength = seconds(20);
constexpr core::Duration kColdLength = seconds(3);
constexpr core::Duration kLatestNews = seconds(2);
/// As in the coordinator's settings: maximum age of a confirmed heartbeat, and how long a new
/// holder waits for the last sends of the previous one.
constexpr core::Duration kConfirmation = seconds(1);
constexpr core::Duration kLastSends = milliseconds(1100);
/// A holder without news from the store places nothing more after this time.
constexpr core::Duration kOldestView = milliseconds(2200);
constexpr const char* kSeedVariable = "STONEPORT_COLD_WALK_SEED";
constexpr ColdBound kBound{1.5, 5};
constexpr double kRate = 9.5;

struct Process {
  std::unique_ptr<ColdRateLimiter> pace = std::make_unique<ColdRateLimiter>();
  core::MonotonicTime cold_until{};  ///< as known to the process
  core::MonotonicTime coordinates_until{};
  std::size_t view = 0;
};

class Walk {
 public:
  Walk(std::uint64_t seed, bool takes_clients)
      : random_(seed), starts_({{service_, {kColdLength, kRate, takes_clients}}}) {
    for (int index = 0; index < kProcesses; ++index) {
      processes_.emplace_back();
      start(index);
    }
    // All processes have run for a while when the walk begins.
    now_ += seconds(5);
  }

  /// \return the maximum number of requests that the replica received within a second while cold.
  std::size_t run() {
    const core::MonotonicTime end = now_ + kLength;
    take_term(random_.uniform(0, kProcesses - 1));
    for (; now_ < end; now_ += kStep) {
      change_something();
      hear_news();
      confirm_term();
      send();
    }
    return most_in_a_second();
  }

 private:
  void start(std::size_t index) {
    Process& process = processes_[index];
    process.pace = std::make_unique<ColdRateLimiter>();
    process.pace->replace_limits(starts_);
    process.pace->replace_bound(kBound);
    process.coordinates_until = {};
    update_members(index);
  }

  /// Updates the members; each view considers a different third of the processes dead.
  void update_members(std::size_t index) {
    Process& process = processes_[index];
    std::vector<std::string> living;
    for (std::size_t other = 0; other < processes_.size(); ++other) {
      const bool is_missed = process.view > 0 && other % kViews == process.view && other != index;
      if (!is_missed) {
        living.push_back("n" + std::to_string(other));
      }
    }
    process.pace->replace_members("n" + std::to_string(index), std::move(living), now_);
  }

  void take_term(std::size_t index) {
    Process& process = processes_[index];
    holder_ = index;
    taken_at_ = now_;
    process.coordinates_until = core::MonotonicTime::max();
    process.pace->begin_term(now_ + kConfirmation + kLastSends);
  }

  void change_term() {
    const bool knows = random_.chance(0.5);
    Process& former = processes_[holder_];
    former.coordinates_until = knows ? now_ : now_ + kOldestView;
    if (knows) {
      former.pace->set_term_confirmed_until({});
    }
    const std::size_t next = (holder_ + random_.uniform(1, kProcesses - 1)) % kProcesses;
    take_term(next);
  }

  void change_something() {
    const bool is_calm = now_ - taken_at_ > kOldestView + kConfirmation;
    if (is_calm && random_.chance(0.004)) {
      change_term();
    }
    if (random_.chance(0.01)) {
      const std::size_t index = random_.uniform(0, kProcesses - 1);
      if (index != holder_) {
        start(index);
      }
    }
    if (random_.chance(0.002)) {
      for (std::size_t index = 0; index < processes_.size(); ++index) {
        processes_[index].view = random_.uniform(0, kViews - 1);
        update_members(index);
      }
    }
    if (now_ >= cold_until_ && random_.chance(0.005)) {
      cold_until_ = now_ + kColdLength;
      cold_spells_.emplace_back(now_, cold_until_);
      for (core::MonotonicTime& hears_at : hears_at_) {
        hears_at = now_ + core::from_seconds(random_.fraction() * core::to_seconds(kLatestNews));
      }
      // Front ends that have not been informed send without a limit by the gate.
      front_ends_from_ = now_ + kLatestNews;
    }
  }

  void hear_news() {
    for (std::size_t index = 0; index < processes_.size(); ++index) {
      if (now_ >= hears_at_[index]) {
        processes_[index].cold_until = cold_until_;
      }
    }
  }

  void confirm_term() { processes_[holder_].pace->set_term_confirmed_until(now_ + kConfirmation); }

  void send() {
    for (Process& process : processes_) {
      if (now_ < process.coordinates_until) {
        send_as(process, Sender::kCoordinator);
      }
      const bool is_bounded = now_ >= front_ends_from_ && now_ < cold_until_;
      if (is_bounded && starts_.at(service_).takes_clients) {
        send_as(process, Sender::kFrontEnd);
      }
    }
  }

  void send_as(Process& process, Sender sender) {
    const RateLimitedReplica to{replica_, service_, process.cold_until};
    for (int tries = 0; tries < 3 && process.pace->may_send(to, sender, now_); ++tries) {
      process.pace->note_sent(to, sender, now_);
      sent_.push_back(now_);
    }
  }

  std::size_t most_in_a_second() const {
    std::size_t most = 0;
    for (const auto& [from, until] : cold_spells_) {
      for (auto first = sent_.begin(); first != sent_.end(); ++first) {
        if (*first < from || *first >= until) {
          continue;
        }
        const auto last = std::upper_bound(first, sent_.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }

  core::RandomSource random_;
  const core::ServiceName service_{"service"};
  const core::ReplicaId replica_{"replica"};
  ColdStarts starts_;
  std::vector<Process> processes_;
  core::MonotonicTime now_{seconds(100)};
  core::MonotonicTime taken_at_{};
  core::MonotonicTime cold_until_{};
  core::MonotonicTime front_ends_from_{};
  std::vector<std::pair<core::MonotonicTime, core::MonotonicTime>> cold_spells_;
  std::vector<core::MonotonicTime> hears_at_ =
      std::vector<core::MonotonicTime>(kProcesses, core::MonotonicTime::max());
  std::vector<core::MonotonicTime> sent_;
  std::size_t holder_ = 0;
};

}  // namespace

class ColdRateLimiterWalkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdRateLimiterWalkTest);
  CPPUNIT_TEST(a_cold_replica_never_receives_more_than_the_bound);
  CPPUNIT_TEST_SUITE_END();

  void a_cold_replica_never_receives_more_than_the_bound() {
    const char* const named = std::getenv(kSeedVariable);
    const std::uint64_t first = named == nullptr ? 1 : std::strtoull(named, nullptr, 10);
    const std::uint64_t schedules = named == nullptr ? kSchedules : 1;
    const auto allowed = static_cast<std::size_t>(kRate * kBound.overage + kBound.slack);
    int violations = 0;
    std::size_t most = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
      for (const bool takes_clients : {false, true}) {
        const std::size_t seen = Walk(seed, takes_clients).run();
        most = std::max(most, seen);
        if (seen > allowed) {
          ++violations;
          std::cout << kSeedVariable << "=" << seed << " clients " << takes_clients << ": " << seen
                    << " requests in a second\n";
        }
      }
    }
    std::cout << "guarantee: no cold replica gets more than it bears | late news, changes of "
                 "holder, restarts, differing views | "
              << violations << " (most in a second " << most << " of " << allowed << ")\n";
    CPPUNIT_ASSERT_EQUAL(0, violations);
    CPPUNIT_ASSERT(most > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdRateLimiterWalkTest);

}  // namespace stoneport::eligibility
