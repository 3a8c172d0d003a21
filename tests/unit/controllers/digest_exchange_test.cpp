/// \file
/// Tests of the distribution of replica reports in virtual time: budgets, renewal, fallback
/// to the second watcher, and selection of the report to use.
#include "controllers/digest_exchange.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include "controllers/digest_simulation.hpp"
#include "controllers/machine_list_view.hpp"
#include "controllers/prefix_sample.hpp"
#include "wire/gossip_codec.hpp"

namespace stoneport::controllers {
namespace {

using namespace std::chrono_literals;

const core::ReplicaId kReplica("engine-1");
const core::NodeId kSubscriber("node-9");
const core::Address kAddress{"127.0.0.1", 7000};
constexpr std::size_t kPacketBytes = 1200;

TimedReport make_report(std::uint32_t running, core::MonotonicTime taken_at,
                        std::optional<std::vector<std::uint64_t>> prefixes = std::nullopt) {
  TimedReport timed;
  timed.report.replica = kReplica;
  timed.report.reachable = true;
  timed.report.running = running;
  timed.report.cached_prefixes = std::move(prefixes);
  timed.taken_at = taken_at;
  return timed;
}

std::vector<wire::Member> make_members(int count) {
  std::vector<wire::Member> members;
  for (int index = 0; index < count; ++index) {
    wire::Member member;
    member.node = core::NodeId("node-" + std::to_string(index));
    member.gossip_address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    members.push_back(member);
  }
  return members;
}

class DigestExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DigestExchangeTest);
  CPPUNIT_TEST(a_push_is_sent_on_change_and_as_a_heartbeat);
  CPPUNIT_TEST(prefixes_are_sent_on_change_at_a_limited_rate);
  CPPUNIT_TEST(a_subscription_ends_without_renewal);
  CPPUNIT_TEST(the_budget_is_kept_and_no_subscriber_starves);
  CPPUNIT_TEST(the_second_watcher_is_used_while_the_first_is_silent);
  CPPUNIT_TEST(the_best_report_is_the_newest_with_a_reachable_replica);
  CPPUNIT_TEST(omitted_prefixes_remain_until_a_new_process);
  CPPUNIT_TEST(a_cluster_keeps_its_budget_and_misses_no_report);
  CPPUNIT_TEST(the_machine_list_yields_seeds_and_newly_leaving_nodes);
  CPPUNIT_TEST(a_prefix_sample_follows_events_and_forgets_on_gaps);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_push_is_sent_on_change_and_as_a_heartbeat() {
    DigestPublisher publisher(100'000, kPacketBytes);
    publisher.subscribe(kSubscriber, kAddress, {kReplica}, now_);
    std::map<core::ReplicaId, TimedReport> watched = {{kReplica, make_report(1, now_ - 500ms)}};
    const auto first = publisher.due(watched, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    CPPUNIT_ASSERT(first[0].to == kAddress);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{500}, first[0].message.reports[0].age_ms);
    CPPUNIT_ASSERT(publisher.due(watched, now_ + 1s).empty());
    watched[kReplica] = make_report(2, now_ + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, publisher.due(watched, now_ + 1s).size());
    CPPUNIT_ASSERT(publisher.due(watched, now_ + 2s).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, publisher.due(watched, now_ + 1s + kReportRefresh).size());
  }

  void prefixes_are_sent_on_change_at_a_limited_rate() {
    DigestPublisher publisher(100'000, kPacketBytes);
    publisher.subscribe(kSubscriber, kAddress, {kReplica}, now_);
    struct Case {
      core::Duration at;
      std::vector<std::uint64_t> prefixes;
      bool expected;
    };
    const std::vector<Case> cases = {
        {0s, {1}, true}, {1s, {2}, false}, {6s, {2}, true}, {12s, {2}, false}, {13s, {3}, true}};
    std::uint32_t running = 0;
    for (const Case& one : cases) {
      const std::map<core::ReplicaId, TimedReport> watched = {
          {kReplica, make_report(++running, now_ + one.at, one.prefixes)}};
      const auto pushes = publisher.due(watched, now_ + one.at);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushes.size());
      CPPUNIT_ASSERT_EQUAL(one.expected, pushes[0].message.reports[0].cached_prefixes.has_value());
    }
  }

  void a_subscription_ends_without_renewal() {
    DigestPublisher publisher(100'000, kPacketBytes);
    publisher.subscribe(kSubscriber, kAddress, {kReplica}, now_);
    publisher.due({}, now_ + kSubscriptionLifetime - 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, publisher.subscriber_count());
    publisher.due({}, now_ + kSubscriptionLifetime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, publisher.subscriber_count());
  }

  void the_budget_is_kept_and_no_subscriber_starves() {
    constexpr double kBytesPerSecond = 2'000;
    constexpr int kSubscribers = 30;
    constexpr int kSeconds = 10;
    DigestPublisher publisher(kBytesPerSecond, kPacketBytes);
    std::map<core::Address, int> pushes_by_address;
    double bytes = 0;
    for (int second = 0; second < kSeconds; ++second) {
      for (int index = 0; index < kSubscribers; ++index) {
        publisher.subscribe(core::NodeId("node-" + std::to_string(index)),
                            {"127.0.0.1", static_cast<std::uint16_t>(index + 1)}, {kReplica}, now_);
      }
      const std::map<core::ReplicaId, TimedReport> watched = {
          {kReplica, make_report(static_cast<std::uint32_t>(second), now_)}};
      for (const auto& push : publisher.due(watched, now_)) {
        ++pushes_by_address[push.to];
        bytes += static_cast<double>(wire::encoded_size(push.message.reports[0]) + 130);
      }
      now_ += 1s;
    }
    CPPUNIT_ASSERT(bytes <= kBytesPerSecond * (kSeconds + 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kSubscribers}, pushes_by_address.size());
  }

  void the_second_watcher_is_used_while_the_first_is_silent() {
    const std::vector<wire::Member> members = make_members(5);
    const std::vector<wire::Member> watchers = watchers_of(kReplica, members);
    DigestSubscriber subscriber(kSubscriber);
    ReplicaReports reports;
    const auto asked = [&](core::MonotonicTime now) {
      std::set<core::Address> addresses;
      for (const auto& request : subscriber.due({kReplica}, members, reports, now)) {
        addresses.insert(request.to);
      }
      return addresses;
    };
    const core::Address first = watchers[0].gossip_address;
    const core::Address second = watchers[1].gossip_address;
    // No report has arrived yet: both watchers are asked.
    CPPUNIT_ASSERT(asked(now_) == (std::set<core::Address>{first, second}));
    CPPUNIT_ASSERT(asked(now_ + 1s).empty());
    reports.add(watchers[0].node, make_report(1, now_).report, now_ + 4s);
    CPPUNIT_ASSERT(asked(now_ + 5s) == std::set<core::Address>{first});
    // The first watcher stops reporting.
    CPPUNIT_ASSERT(asked(now_ + 12s) == (std::set<core::Address>{first, second}));
    // The first watcher reports that the replica is unreachable.
    wire::ReplicaReport gone = make_report(1, now_).report;
    gone.reachable = false;
    reports.add(watchers[0].node, gone, now_ + 20s);
    CPPUNIT_ASSERT(asked(now_ + 20s) == (std::set<core::Address>{first, second}));
  }

  void the_best_report_is_the_newest_with_a_reachable_replica() {
    ReplicaReports reports;
    wire::ReplicaReport gone = make_report(0, now_).report;
    gone.reachable = false;
    reports.add(core::NodeId("w1"), gone, now_);
    CPPUNIT_ASSERT(!reports.best(kReplica, now_)->report.reachable);
    reports.add(core::NodeId("w2"), make_report(3, now_).report, now_ - 2s);
    CPPUNIT_ASSERT(reports.best(kReplica, now_)->report.reachable);
    // Once the report with a reachable replica is too old, the newer one is used.
    CPPUNIT_ASSERT(!reports.best(kReplica, now_ + kReportFreshness)->report.reachable);
    CPPUNIT_ASSERT(!reports.add(core::NodeId("w2"), make_report(9, now_).report, now_ - 3s));
    CPPUNIT_ASSERT(reports.best(core::ReplicaId("engine-2"), now_) == nullptr);
    reports.keep_only({});
    CPPUNIT_ASSERT(reports.best(kReplica, now_) == nullptr);
  }

  void omitted_prefixes_remain_until_a_new_process() {
    ReplicaReports reports;
    const core::NodeId watcher("w1");
    reports.add(watcher, make_report(1, now_, std::vector<std::uint64_t>{5}).report, now_);
    reports.add(watcher, make_report(2, now_).report, now_ + 1s);
    CPPUNIT_ASSERT(reports.best(kReplica, now_)->report.cached_prefixes.has_value());
    wire::ReplicaReport restarted = make_report(0, now_).report;
    restarted.incarnation = core::Incarnation(2);
    reports.add(watcher, restarted, now_ + 2s);
    CPPUNIT_ASSERT(!reports.best(kReplica, now_)->report.cached_prefixes.has_value());
  }

  void a_cluster_keeps_its_budget_and_misses_no_report() {
    DigestMeasurementSettings settings;
    settings.members = 20;
    settings.replicas = 36;
    settings.length = 20s;
    const DigestMeasurement measured = measure_digests(settings);
    CPPUNIT_ASSERT_EQUAL(0.0, measured.missing_ratio);
    CPPUNIT_ASSERT(measured.max_sent_bytes < 1.5 * settings.bytes_per_second);
    CPPUNIT_ASSERT(measured.age_p99 < core::to_seconds(kReportFreshness));
  }

  void the_machine_list_yields_seeds_and_newly_leaving_nodes() {
    using ports::MachineState;
    const auto node = [](const std::string& id, std::uint16_t port, MachineState state) {
      ports::Machine machine;
      machine.id = id;
      machine.address = {"127.0.0.1", port};
      machine.state = state;
      return machine;
    };
    const std::vector<ports::Machine> before = {node("a", 1, MachineState::kLive),
                                                node("b", 2, MachineState::kLeaving)};
    const std::vector<ports::Machine> after = {node("a", 1, MachineState::kLeaving),
                                               node("b", 2, MachineState::kLeaving),
                                               node("c", 3, MachineState::kLeaving)};
    CPPUNIT_ASSERT((seed_addresses(after, core::NodeId("b")) ==
                    std::vector<core::Address>{{"127.0.0.1", 1}, {"127.0.0.1", 3}}));
    CPPUNIT_ASSERT(newly_leaving_nodes(before, after) ==
                   std::vector<core::NodeId>{core::NodeId("a")});
    CPPUNIT_ASSERT(poll_interval(2s, 20) == core::Duration(2s));
    CPPUNIT_ASSERT(poll_interval(2s, 930) > core::Duration(30s));
  }

  void a_prefix_sample_follows_events_and_forgets_on_gaps() {
    PrefixSample sample;
    sample.apply({{{1, 10, true}, {2, 20, true}, {3, 10, false}}, 3, false});
    CPPUNIT_ASSERT(sample.newest() == std::vector<std::uint64_t>{20});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, sample.latest_sequence());
    sample.apply({{{9, 30, true}}, 9, true});
    CPPUNIT_ASSERT(sample.newest() == std::vector<std::uint64_t>{30});
    ports::CacheEvents many;
    for (std::uint64_t sequence = 10; sequence < 10 + 2 * kRememberedPrefixes; ++sequence) {
      many.events.push_back({sequence, sequence, true});
    }
    sample.apply(many);
    CPPUNIT_ASSERT_EQUAL(kPublishedPrefixes, sample.newest().size());
    sample.clear();
    CPPUNIT_ASSERT(sample.newest().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sample.latest_sequence());
  }

 private:
  core::MonotonicTime now_{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestExchangeTest);

}  // namespace
}  // namespace stoneport::controllers
