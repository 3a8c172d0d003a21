#include "controllers/replica_watcher.hpp"

#include <algorithm>
#include <limits>

#include "core/numbers.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

/// A replica counts as unreachable from the second failed poll on; a single lost poll is
/// not sufficient.
constexpr std::uint32_t kFailuresUntilUnreachable = 2;
/// Polls are divided into this many groups with staggered start times, so that engines are
/// not polled at the same moment.
constexpr int kPollGroups = 4;
/// Maximum size of a push message within a packet, in bytes.
constexpr std::size_t kPushBytes = 1200;
constexpr core::Duration kHealthTimeout = std::chrono::seconds(1);
/// Its text is not used.
constexpr std::uint64_t kMaxHealthBytes = 64 * 1024;
constexpr std::uint32_t kPermille = 1000;
/// Of a report in a packet, which has 32 bits for it.
constexpr std::int64_t kMaxAgeMs = std::numeric_limits<std::uint32_t>::max();

std::uint32_t permille(std::uint64_t part, std::uint64_t whole) {
  if (whole == 0) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(kPermille, part * kPermille / whole));
}

wire::ReplicaReport to_wire(const core::ReplicaId& replica, const ports::EngineReport& report) {
  wire::ReplicaReport result;
  result.replica = replica;
  result.incarnation = report.incarnation;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.report_age);
  result.age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMaxAgeMs));
  result.reachable = true;
  result.leaving = report.leaving;
  result.swapping = report.swapping;
  result.running = report.running;
  result.waiting = report.waiting;
  result.max_running = report.max_running;
  result.tokens_per_second =
      core::whole_number<std::uint32_t>(report.tokens_per_second).value_or(0);
  result.kv_used_permille = permille(report.kv_used_tokens, report.kv_capacity_tokens);
  result.version = report.version;
  result.prefetched = report.prefetched.value_or(core::WeightVersion{});
  return result;
}

}  // namespace

struct ReplicaWatcher::Meters {
  explicit Meters(core::Metrics& metrics)
      : polls(metrics.counter("stoneport_watch_polls_total", "Polls of replicas")),
        failures(metrics.counter("stoneport_watch_poll_failures_total",
                                 "Polls of replicas that failed")),
        pushed_bytes(metrics.counter("stoneport_digest_bytes_total",
                                     "Bytes of reports pushed to subscribers")),
        reports(metrics.counter("stoneport_digest_reports_total",
                                "Replica reports accepted from other daemons")),
        watched(metrics.gauge("stoneport_watched_replicas", "Replicas that this daemon polls")) {}
  prometheus::Counter& polls;
  prometheus::Counter& failures;
  prometheus::Counter& pushed_bytes;
  prometheus::Counter& reports;
  prometheus::Gauge& watched;
};

ReplicaWatcher::ReplicaWatcher(asio::any_io_executor executor, MachineListController& machines,
                               GossipController& gossip, ports::ModelEngineFactory& engines,
                               http::Client& client, ReplicaWatcherSettings settings,
                               const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      machines_(machines),
      gossip_(gossip),
      engines_(engines),
      client_(client),
      settings_(settings),
      time_(time),
      meters_(std::make_unique<Meters>(metrics)),
      publisher_(settings.digest_bytes_per_second, kPushBytes),
      subscriber_(gossip.self().node) {}

ReplicaWatcher::~ReplicaWatcher() = default;

void ReplicaWatcher::start() {
  alive_ = std::make_shared<bool>(true);
  const auto mark_stale = [this] { watches_are_stale_ = true; };
  machines_.on_change(mark_stale);
  gossip_.on_change(mark_stale);
  gossip_.on_message([this](const ReceivedMessage& received) { receive(received); });
  runtime::start(executor_, "replica watcher", run(alive_));
}

std::vector<core::ReplicaId> ReplicaWatcher::watched() const {
  std::vector<core::ReplicaId> replicas;
  for (const auto& [replica, watch] : watches_) {
    replicas.push_back(replica);
  }
  return replicas;
}

std::vector<core::ReplicaId> ReplicaWatcher::wanted() const {
  const auto machines = machines_.machines();
  std::set<core::ReplicaId> replicas;
  for (const ReplicaSelector& selector : selectors_) {
    const std::vector<core::ReplicaId> wanted = selector(*machines);
    replicas.insert(wanted.begin(), wanted.end());
  }
  return {replicas.begin(), replicas.end()};
}

void ReplicaWatcher::update_watches() {
  watches_are_stale_ = false;
  const std::vector<wire::Member> members = gossip_.members();
  const core::NodeId self = gossip_.self().node;
  const auto machines = machines_.machines();
  std::set<core::ReplicaId> listed;
  std::map<core::ReplicaId, std::shared_ptr<Watch>> chosen;
  for (const ports::Machine& machine : *machines) {
    if (!is_replica(machine)) {
      continue;
    }
    const core::ReplicaId replica(machine.id);
    listed.insert(replica);
    const std::vector<wire::Member> watchers = watchers_of(replica, members);
    const bool ours = std::any_of(watchers.begin(), watchers.end(),
                                  [&](const auto& watcher) { return watcher.node == self; });
    if (!ours) {
      continue;
    }
    const auto known = watches_.find(replica);
    const bool same_place =
        known != watches_.end() && known->second->machine.address == machine.address;
    auto watch = same_place ? known->second : std::make_shared<Watch>();
    watch->machine = machine;
    chosen.emplace(replica, std::move(watch));
  }
  watches_ = std::move(chosen);
  std::erase_if(own_reports_, [&](const auto& entry) { return !watches_.contains(entry.first); });
  reports_.keep_only(listed);
  meters_->watched.Set(static_cast<double>(watches_.size()));
}

asio::awaitable<void> ReplicaWatcher::run(std::weak_ptr<bool> alive) {
  for (int phase = 0; !alive.expired(); phase = (phase + 1) % kPollGroups) {
    if (watches_are_stale_ && phase == 0) {
      update_watches();
    }
    int position = 0;
    for (const auto& [replica, watch] : watches_) {
      if (position++ % kPollGroups == phase && !watch->polling) {
        watch->polling = true;
        runtime::start(executor_, "replica poll", poll(watch, alive));
      }
    }
    if (phase == 0) {
      subscribe();
    }
    push_digests();
    co_await runtime::sleep_for(settings_.watch_interval / kPollGroups);
  }
}

asio::awaitable<void> ReplicaWatcher::poll(std::shared_ptr<Watch> watch,
                                           std::weak_ptr<bool> alive) {
  meters_->polls.Increment();
  const core::Result<wire::ReplicaReport> outcome = co_await read(watch);
  watch->polling = false;
  if (!alive.expired()) {
    finish_poll(*watch, outcome);
  }
}

asio::awaitable<core::Result<wire::ReplicaReport>> ReplicaWatcher::read(
    std::shared_ptr<Watch> watch) {
  if (watch->machine.role == ports::MachineRole::kEngine) {
    co_return co_await read_engine(watch);
  }
  co_return co_await read_service(watch);
}

asio::awaitable<core::Result<wire::ReplicaReport>> ReplicaWatcher::read_engine(
    std::shared_ptr<Watch> watch) {
  const std::shared_ptr<ports::ModelEngine> engine = engines_.engine_at(watch->machine.address);
  const auto report = co_await engine->report();
  if (!report) {
    co_return report.error();
  }
  wire::ReplicaReport result = to_wire(core::ReplicaId(watch->machine.id), *report);
  const auto known = own_reports_.find(result.replica);
  if (known != own_reports_.end() && known->second.report.incarnation != result.incarnation) {
    watch->prefixes.clear();
  }
  const auto events = co_await engine->cache_events(watch->prefixes.latest_sequence());
  if (events) {
    watch->prefixes.apply(*events);
  }
  result.cached_prefixes = watch->prefixes.newest();
  co_return result;
}

asio::awaitable<core::Result<wire::ReplicaReport>> ReplicaWatcher::read_service(
    std::shared_ptr<Watch> watch) {
  http::Request request;
  request.head.target = "/healthz";
  http::SendOptions options;
  options.deadline = time_.now() + kHealthTimeout;
  options.connect_timeout = kHealthTimeout;
  options.max_body_bytes = kMaxHealthBytes;
  const core::Address address = watch->machine.address;
  const auto response = co_await client_.fetch(address, std::move(request), options);
  if (!response) {
    co_return response.error().error;
  }
  // Any response shows that the process is alive, since a service need not implement this
  // route.
  wire::ReplicaReport result;
  result.replica = core::ReplicaId(watch->machine.id);
  result.incarnation = watch->machine.incarnation;
  result.reachable = true;
  co_return result;
}

void ReplicaWatcher::finish_poll(Watch& watch, const core::Result<wire::ReplicaReport>& outcome) {
  const core::ReplicaId replica(watch.machine.id);
  if (!watches_.contains(replica)) {
    return;
  }
  wire::ReplicaReport report;
  if (outcome) {
    watch.failures = 0;
    report = *outcome;
  } else {
    meters_->failures.Increment();
    ++watch.failures;
    if (watch.failures < kFailuresUntilUnreachable) {
      return;
    }
    const auto known = own_reports_.find(replica);
    if (known != own_reports_.end()) {
      report = known->second.report;
    }
    report.replica = replica;
    report.incarnation = std::max(report.incarnation, watch.machine.incarnation);
    report.age_ms = 0;
    report.reachable = false;
  }
  const core::MonotonicTime taken_at = time_.now();
  own_reports_[replica] = TimedReport{report, taken_at};
  accept_report(gossip_.self().node, std::move(report), taken_at);
}

void ReplicaWatcher::accept_report(const core::NodeId& watcher, wire::ReplicaReport report,
                                   core::MonotonicTime taken_at) {
  const auto age = std::chrono::milliseconds(report.age_ms);
  if (!reports_.add(watcher, std::move(report), taken_at - age)) {
    return;
  }
  for (const auto& listener : listeners_) {
    listener();
  }
}

void ReplicaWatcher::receive(const ReceivedMessage& received) {
  if (const auto* subscription = std::get_if<wire::DigestSubscription>(&received.message)) {
    publisher_.subscribe(received.sender, received.from, subscription->replicas, time_.now());
    return;
  }
  if (const auto* push = std::get_if<wire::DigestPush>(&received.message)) {
    for (const wire::ReplicaReport& report : push->reports) {
      meters_->reports.Increment();
      accept_report(received.sender, report, time_.now());
    }
  }
}

void ReplicaWatcher::push_digests() {
  for (DigestPublisher::Push& push : publisher_.due(own_reports_, time_.now())) {
    const std::size_t bytes = gossip_.send_message(push.to, std::move(push.message));
    meters_->pushed_bytes.Increment(static_cast<double>(bytes));
  }
}

void ReplicaWatcher::subscribe() {
  const auto requests = subscriber_.due(wanted(), gossip_.members(), reports_, time_.now());
  for (const DigestSubscriber::Request& request : requests) {
    gossip_.send_message(request.to, request.message);
  }
}

}  // namespace stoneport::controllers
