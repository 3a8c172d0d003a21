/// \file
/// Load spikes at a small service that many processes send to: how many requests are served, and
/// which are refused.
#include "routing/adaptive_throttle.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace stoneport::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kTarget = milliseconds(150);
constexpr core::Duration kCallerWaits = milliseconds(800);
/// How long a replica that refused a request gets none while others are left.
constexpr core::Duration kRefusalMemory = milliseconds(50);
/// Number of refusals after which a request is given up in any case.
constexpr std::uint32_t kMaxRefusals = 6;
constexpr double kMeanServiceSeconds = 0.027;
constexpr std::size_t kReplicas = 6;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kQueue = 24;
constexpr double kCapacity = kReplicas * kSlots / kMeanServiceSeconds;

core::MonotonicTime at(double second) {
  return core::MonotonicTime(core::from_seconds(1000 + second));
}

/// Arrivals of one kind of request within a period.
struct Arrivals {
  double per_second = 0;
  double from = 0;
  double until = 0;
  std::string tenant = {};
  std::uint32_t rank = 0;
};

/// Results of one kind of request within a period.
struct Served {
  int asked = 0;
  int in_time = 0;
  int refused = 0;  ///< refused at least once
  int sends = 0;
  double latest_refusal = 0;  ///< seconds from its arrival to its refusal
  double share_in_time() const { return asked == 0 ? 1.0 : static_cast<double>(in_time) / asked; }
};

/// Simulates arrivals at a service of kReplicas, each with kSlots and a queue that refuses when
/// full. Each process has its own throttle; callers retry after the given time while they have time
/// left.
class LoadSimulator {
 public:
  explicit LoadSimulator(std::size_t processes, std::uint64_t seed) : random_(seed) {
    for (std::size_t index = 0; index < processes; ++index) {
      processes_.emplace_back(seed * 1000 + index);
    }
  }
  double slowness = 1;  ///< factor on all service times
  /// Share of requests that each replica refuses regardless of load.
  std::array<double, kReplicas> refuses = {};

  void play(const std::vector<Arrivals>& arrivals, double end) {
    for (std::size_t kind = 0; kind < arrivals.size(); ++kind) {
      plan_arrival(arrivals, kind, arrivals[kind].from);
    }
    while (!events_.empty() && events_.top().time < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.act();
    }
  }
  /// \return the results of the requests of \p kind that arrived at or after \p from and before
  /// \p until.
  Served served(std::size_t kind, double from, double until) const {
    Served sum;
    for (const Request& request : requests_) {
      if (request.kind != kind || request.arrived < from || request.arrived >= until) {
        continue;
      }
      ++sum.asked;
      sum.in_time += request.answered > 0 && request.answered - request.arrived <= 0.15 ? 1 : 0;
      sum.refused += request.refused ? 1 : 0;
      sum.sends += request.sends;
      sum.latest_refusal = std::max(sum.latest_refusal, request.refused_after);
    }
    return sum;
  }

 private:
  struct Event {
    double time = 0;
    std::function<void()> act;
    bool operator<(const Event& other) const { return time > other.time; }
  };
  struct Request {
    std::size_t kind = 0;
    Arrivals from;
    std::size_t process = 0;
    double arrived = 0;
    double sent = 0;
    double answered = 0;
    double refused_after = 0;  ///< longest time from arrival, or a retry, to a refusal
    double last_arrival = 0;   ///< time of the last arrival or retry
    int sends = 0;
    std::uint32_t refusals = 0;  ///< refusals by replicas since the last arrival or retry
    bool refused = false;
  };
  struct Process {
    explicit Process(std::uint64_t seed) : throttle({}, seed) {}
    AdaptiveThrottle throttle;
    std::array<double, kReplicas> refused_until = {};
    std::array<int, kReplicas> in_flight = {};
  };
  struct Replica {
    std::size_t running = 0;
    std::deque<std::size_t> queue;
  };
  static constexpr double kLinkSeconds = 0.0005;

  void plan(double time, std::function<void()> act) { events_.push({time, std::move(act)}); }
  void plan_arrival(const std::vector<Arrivals>& all, std::size_t kind, double after) {
    const double time = after + random_.exponential(1 / all[kind].per_second);
    if (time >= all[kind].until) {
      return;
    }
    plan(time, [this, &all, kind] {
      Request request;
      request.kind = kind;
      request.from = all[kind];
      request.process = random_.uniform(0, processes_.size() - 1);
      request.arrived = now_;
      requests_.push_back(request);
      decide(requests_.size() - 1);
      plan_arrival(all, kind, now_);
    });
  }
  ThrottleRequest asked_by(const Request& request) const {
    const double left = request.arrived + core::to_seconds(kCallerWaits) - now_;
    return {"look", core::TenantName(request.from.tenant), request.from.rank,
            core::from_seconds(left)};
  }
  void decide(std::size_t index) {
    Request& request = requests_[index];
    request.last_arrival = now_;
    request.refusals = 0;
    const ThrottleDecision decision =
        processes_[request.process].throttle.decide(asked_by(request), at(now_));
    if (decision.verdict != ThrottleVerdict::kAdmit) {
      return handle_refusal(index, decision.retry_after);
    }
    request.sent = now_;
    send(index, kReplicas);
  }
  void handle_refusal(std::size_t index, core::Duration retry_after) {
    Request& request = requests_[index];
    request.refused = true;
    request.refused_after = std::max(request.refused_after, now_ - request.last_arrival);
    const double retry = now_ + core::to_seconds(retry_after);
    if (retry < request.arrived + core::to_seconds(kCallerWaits)) {
      plan(retry, [this, index] { decide(index); });
    }
  }
  std::size_t choose(const Process& process, std::size_t excluded) {
    const auto cost = [&](std::size_t replica) {
      const bool is_full = process.refused_until[replica] > now_;
      return process.in_flight[replica] + (is_full ? 1000 : 0) +
             (replica == excluded ? 1000000 : 0);
    };
    std::size_t best = random_.uniform(0, kReplicas - 1);
    for (std::size_t step = 0; step < kReplicas; ++step) {
      const std::size_t other = (best + step) % kReplicas;
      best = cost(other) < cost(best) ? other : best;
    }
    return best;
  }
  void send(std::size_t index, std::size_t excluded) {
    Request& request = requests_[index];
    Process& process = processes_[request.process];
    const std::size_t replica = choose(process, excluded);
    ++request.sends;
    ++process.in_flight[replica];
    plan(now_ + kLinkSeconds, [this, index, replica] { arrive(index, replica); });
  }
  void arrive(std::size_t index, std::size_t place) {
    Replica& replica = replicas_[place];
    const bool is_full = replica.running == kSlots && replica.queue.size() >= kQueue;
    if (is_full || random_.chance(refuses[place])) {
      plan(now_ + kLinkSeconds, [this, index, place] { refused_by(index, place); });
      return;
    }
    if (replica.running < kSlots) {
      return run(index, place);
    }
    replica.queue.push_back(index);
  }
  void run(std::size_t index, std::size_t place) {
    ++replicas_[place].running;
    // Nine in ten are log-normal, one in ten takes about three times as long.
    const double usual = random_.log_normal(std::log(0.0210), 0.3);
    const double took = (random_.chance(0.1) ? 3 * usual : usual) * slowness;
    plan(now_ + took, [this, index, place] { end(index, place); });
  }
  void end(std::size_t index, std::size_t place) {
    Replica& replica = replicas_[place];
    --replica.running;
    plan(now_ + kLinkSeconds, [this, index, place] {
      Request& request = requests_[index];
      Process& process = processes_[request.process];
      --process.in_flight[place];
      request.answered = now_;
      process.throttle.note_end(asked_by(request), core::from_seconds(now_ - request.sent), kTarget,
                                at(now_));
    });
    if (!replica.queue.empty()) {
      const std::size_t next = replica.queue.front();
      replica.queue.pop_front();
      run(next, place);
    }
  }
  void refused_by(std::size_t index, std::size_t place) {
    Request& request = requests_[index];
    Process& process = processes_[request.process];
    --process.in_flight[place];
    process.refused_until[place] = now_ + core::to_seconds(kRefusalMemory);
    const ReplicaRefusal refusal = {core::ReplicaId(std::to_string(place)), false,
                                    ++request.refusals, at(request.last_arrival)};
    const bool may_resend = process.throttle.note_refusal(asked_by(request), refusal, at(now_));
    if (may_resend && request.refusals <= kMaxRefusals) {
      return send(index, place);
    }
    process.throttle.note_end(asked_by(request), std::nullopt, kTarget, at(now_));
    handle_refusal(index, process.throttle.refuse(asked_by(request), at(now_)));
  }

  core::RandomSource random_;
  double now_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Request> requests_;
  std::vector<Process> processes_;
  std::array<Replica, kReplicas> replicas_;
};

constexpr double kSpikeSeconds = 10;

/// Load of \p times the capacity after three seconds at half of it.
std::vector<Arrivals> load_spike_of(double times) {
  return {{0.5 * kCapacity, 0, 3}, {times * kCapacity, 3, 3 + kSpikeSeconds}};
}

std::string describe(double times, std::size_t processes, const Served& served) {
  return std::to_string(times) + " times capacity, " + std::to_string(processes) +
         " processes: asked " + std::to_string(served.asked) + ", in time " +
         std::to_string(served.in_time) + ", refused " + std::to_string(served.refused) +
         ", sends " + std::to_string(served.sends) + ", refused after " +
         std::to_string(served.latest_refusal);
}

}  // namespace

class AdaptiveThrottleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdaptiveThrottleTest);
  CPPUNIT_TEST(a_load_spike_is_served_up_to_capacity_without_excess_sends);
  CPPUNIT_TEST(below_capacity_callers_are_served_in_time);
  CPPUNIT_TEST(after_a_load_spike_nothing_is_refused);
  CPPUNIT_TEST(a_slow_service_that_refuses_nothing_is_not_throttled);
  CPPUNIT_TEST(a_slow_service_with_one_replica_that_refuses_is_not_throttled);
  CPPUNIT_TEST(a_replica_that_refuses_beside_idle_ones_leads_to_no_refusal);
  CPPUNIT_TEST(a_greedy_tenant_takes_nothing_from_modest_ones);
  CPPUNIT_TEST(a_higher_rank_is_not_refused_before_a_lower_one);
  CPPUNIT_TEST(a_lower_rank_does_not_starve);
  CPPUNIT_TEST(retries_take_nothing_from_new_requests);
  CPPUNIT_TEST(retry_after_is_when_a_request_would_be_admitted);
  CPPUNIT_TEST(untracked_tenants_are_refused_too);
  CPPUNIT_TEST_SUITE_END();

  /// Overload must not reduce throughput: at least nine tenths of the capacity are served in time
  /// for any number of requests, and replicas receive at most a tenth more sends than requests.
  void a_load_spike_is_served_up_to_capacity_without_excess_sends() {
    std::uint64_t seed = 20;
    for (const std::size_t processes : {12, 82, 400}) {
      for (const double times : {1.0, 1.5, 3.0, 10.0, 1.0, 1.5, 3.0, 10.0}) {
        LoadSimulator simulator(processes, ++seed);
        const std::vector<Arrivals> arrivals = load_spike_of(times);
        simulator.play(arrivals, 20);
        const Served served = simulator.served(1, 3, 3 + kSpikeSeconds);
        const std::string what = describe(times, processes, served);
        CPPUNIT_ASSERT_MESSAGE(what, served.in_time >= 0.9 * kCapacity * kSpikeSeconds);
        CPPUNIT_ASSERT_MESSAGE(what, served.sends <= 1.1 * served.asked);
        CPPUNIT_ASSERT_MESSAGE(what, served.latest_refusal <= core::to_seconds(kTarget) / 8);
      }
    }
  }

  void below_capacity_callers_are_served_in_time() {
    for (const std::size_t processes : {12, 82, 400}) {
      LoadSimulator simulator(processes, 8);
      const std::vector<Arrivals> arrivals = load_spike_of(0.9);
      simulator.play(arrivals, 20);
      const Served served = simulator.served(1, 3, 3 + kSpikeSeconds);
      CPPUNIT_ASSERT_MESSAGE(describe(0.9, processes, served), served.share_in_time() >= 0.95);
    }
  }

  void after_a_load_spike_nothing_is_refused() {
    LoadSimulator simulator(82, 9);
    const std::vector<Arrivals> arrivals = {{3 * kCapacity, 0, 5}, {0.5 * kCapacity, 5, 15}};
    simulator.play(arrivals, 20);
    const Served later = simulator.served(1, 7, 15);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(0.5, 82, later), 0, later.refused);
    const Served soon = simulator.served(1, 6, 7);
    CPPUNIT_ASSERT_MESSAGE(describe(0.5, 82, soon), soon.share_in_time() >= 0.95);
  }

  void a_slow_service_that_refuses_nothing_is_not_throttled() {
    LoadSimulator simulator(82, 10);
    simulator.slowness = 6;
    const std::vector<Arrivals> arrivals = {{0.1 * kCapacity, 0, 10}};
    simulator.play(arrivals, 15);
    const Served served = simulator.served(0, 0, 10);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(0.1, 82, served), 0, served.refused);
  }

  void a_slow_service_with_one_replica_that_refuses_is_not_throttled() {
    LoadSimulator simulator(82, 10);
    simulator.slowness = 6;
    simulator.refuses[2] = 0.45;
    const std::vector<Arrivals> arrivals = {{0.1 * kCapacity, 0, 10}};
    simulator.play(arrivals, 15);
    const Served served = simulator.served(0, 0, 10);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(0.1, 82, served), 0, served.refused);
  }

  void a_replica_that_refuses_beside_idle_ones_leads_to_no_refusal() {
    for (const std::size_t processes : {12, 82, 400}) {
      LoadSimulator simulator(processes, 11);
      simulator.refuses[2] = 0.45;
      const std::vector<Arrivals> arrivals = {{0.4 * kCapacity, 0, 10}};
      simulator.play(arrivals, 15);
      const Served served = simulator.served(0, 0, 10);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(0.4, processes, served), 0, served.refused);
    }
  }

  void a_greedy_tenant_takes_nothing_from_modest_ones() {
    LoadSimulator simulator(12, 12);
    std::vector<Arrivals> arrivals = {{3 * kCapacity, 0, 10, "greedy"}};
    for (int tenant = 0; tenant < 3; ++tenant) {
      arrivals.push_back({0.15 * kCapacity, 0, 10, "modest-" + std::to_string(tenant)});
    }
    simulator.play(arrivals, 15);
    for (std::size_t modest = 1; modest < arrivals.size(); ++modest) {
      const Served served = simulator.served(modest, 2, 10);
      CPPUNIT_ASSERT_MESSAGE(describe(0.15, 12, served), served.share_in_time() >= 0.9);
    }
    // The rest goes to the greedy tenant.
    const Served greedy = simulator.served(0, 2, 10);
    CPPUNIT_ASSERT_MESSAGE(describe(3, 12, greedy), greedy.in_time >= 0.9 * 0.55 * kCapacity * 8);
  }

  void a_higher_rank_is_not_refused_before_a_lower_one() {
    LoadSimulator simulator(12, 13);
    const std::vector<Arrivals> arrivals = {{0.6 * kCapacity, 0, 10, "urgent", 0},
                                            {2 * kCapacity, 0, 10, "idle", 1}};
    simulator.play(arrivals, 15);
    const Served high = simulator.served(0, 2, 10);
    const Served low = simulator.served(1, 2, 10);
    CPPUNIT_ASSERT_MESSAGE(describe(0.6, 12, high), high.share_in_time() >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(describe(2, 12, low), low.in_time >= 0.9 * 0.3 * kCapacity * 8);
  }

  void a_lower_rank_does_not_starve() {
    LoadSimulator simulator(12, 14);
    const std::vector<Arrivals> arrivals = {{3 * kCapacity, 0, 10, "urgent", 0},
                                            {kCapacity, 0, 10, "idle", 1}};
    simulator.play(arrivals, 15);
    const Served low = simulator.served(1, 2, 10);
    CPPUNIT_ASSERT_MESSAGE(describe(1, 12, low), low.in_time >= 0.02 * kCapacity * 8);
  }

  static void arm(AdaptiveThrottle& throttle) {
    const ThrottleRequest request = {"look", core::TenantName("one"), 0, kCallerWaits};
    throttle.note_refusal(request, {core::ReplicaId("a"), false, 1, at(0)}, at(0));
    throttle.note_refusal(request, {core::ReplicaId("b"), false, 2, at(0)}, at(0));
  }

  /// \return a throttle for a service overloaded tenfold by new requests.
  static AdaptiveThrottle overloaded_throttle() {
    AdaptiveThrottle throttle({}, 15);
    arm(throttle);
    for (int request = 0; request < 300; ++request) {
      const core::MonotonicTime now = at(request * 0.001);
      const ThrottleRequest asked = {"look", core::TenantName("one"), 0, kCallerWaits};
      const bool is_admitted = throttle.decide(asked, now).verdict == ThrottleVerdict::kAdmit;
      if (is_admitted) {
        const bool is_answered = request % 10 == 0;
        throttle.note_end(asked, is_answered ? std::optional(milliseconds(20)) : std::nullopt,
                          kTarget, now);
      }
    }
    return throttle;
  }

  void retries_take_nothing_from_new_requests() {
    AdaptiveThrottle throttle = overloaded_throttle();
    const ThrottleRequest retry = {"look", core::TenantName("one"), 0, milliseconds(600)};
    CPPUNIT_ASSERT(throttle.decide(retry, at(0.3)).verdict == ThrottleVerdict::kRetried);
    // Callers of another tenant may have less time from the start.
    const ThrottleRequest other = {"look", core::TenantName("two"), 0, milliseconds(600)};
    CPPUNIT_ASSERT(throttle.decide(other, at(0.3)).verdict != ThrottleVerdict::kRetried);
    // Served once new requests are no longer refused.
    CPPUNIT_ASSERT(throttle.decide(retry, at(3)).verdict == ThrottleVerdict::kAdmit);
  }

  void retry_after_is_when_a_request_would_be_admitted() {
    AdaptiveThrottle throttle = overloaded_throttle();
    for (int caller = 0; caller < 100; ++caller) {
      const ThrottleRequest retry = {"look", core::TenantName("one"), 0, milliseconds(600)};
      const ThrottleDecision decision = throttle.decide(retry, at(0.3));
      CPPUNIT_ASSERT(decision.verdict == ThrottleVerdict::kRetried);
      CPPUNIT_ASSERT(decision.retry_after >= milliseconds(1900));
      CPPUNIT_ASSERT(throttle.decide(retry, at(0.3) + decision.retry_after).verdict ==
                     ThrottleVerdict::kAdmit);
      throttle = overloaded_throttle();
    }
  }

  void untracked_tenants_are_refused_too() {
    AdaptiveThrottle throttle({}, 16);
    arm(throttle);
    int refused = 0;
    for (int request = 0; request < 2000; ++request) {
      const core::TenantName tenant("tenant-" + std::to_string(request % 200));
      const ThrottleDecision decision =
          throttle.decide({"look", tenant, 0, kCallerWaits}, at(request * 0.0005));
      if (decision.verdict == ThrottleVerdict::kAdmit) {
        throttle.note_end({"look", tenant, 0, kCallerWaits}, std::nullopt, kTarget,
                          at(request * 0.0005));
      }
      refused += decision.verdict != ThrottleVerdict::kAdmit ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused), refused > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdaptiveThrottleTest);

}  // namespace stoneport::routing
