#include "node/health_exchange.hpp"

#include <algorithm>

#include "node/member_addresses.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::node {
namespace asio = boost::asio;
namespace {

wire::HealthFindingKind wire_kind(ingress::FindingKind kind) {
  switch (kind) {
    case ingress::FindingKind::kSilent:
      return wire::HealthFindingKind::kSilent;
    case ingress::FindingKind::kFailing:
      return wire::HealthFindingKind::kFailing;
    case ingress::FindingKind::kAnswered:
      break;
  }
  return wire::HealthFindingKind::kAnswered;
}

ingress::FindingKind finding_kind(wire::HealthFindingKind kind) {
  switch (kind) {
    case wire::HealthFindingKind::kSilent:
      return ingress::FindingKind::kSilent;
    case wire::HealthFindingKind::kFailing:
      return ingress::FindingKind::kFailing;
    case wire::HealthFindingKind::kAnswered:
      break;
  }
  return ingress::FindingKind::kAnswered;
}

wire::HealthFinding notice_of(const ingress::HealthFinding& finding, core::MonotonicTime now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - finding.at);
  return {finding.replica, wire_kind(finding.kind), static_cast<std::uint32_t>(age.count())};
}

ingress::HealthFinding finding_of(const wire::HealthFinding& notice, core::MonotonicTime now) {
  return {notice.replica, finding_kind(notice.kind),
          now - std::chrono::milliseconds(notice.age_ms)};
}

}  // namespace

struct HealthExchange::Meters {
  explicit Meters(core::Metrics& metrics)
      : sent(metrics.counter("stoneport_health_packets_sent_total",
                             "Packets sent that report silent or failing replicas")),
        suppressed(metrics.counter("stoneport_health_findings_untold_total",
                                   "Findings not sent because enough other processes had reported "
                                   "them, or because this process made them of most replicas of "
                                   "a service")),
        rate_limited(
            metrics.counter("stoneport_health_packets_left_out_total",
                            "Packets that report replicas, not sent because of the rate limit")),
        unknown_reporter(received(metrics, "unknown_reporter")),
        avoided(
            metrics.gauge("stoneport_health_replicas_avoided",
                          "Replicas that get no work because several processes reported them")) {
    for (std::size_t outcome = 0; outcome < ingress::kRemoteFindingOutcomes; ++outcome) {
      const std::string_view name = to_string(static_cast<ingress::RemoteFindingOutcome>(outcome));
      outcomes[outcome] = &received(metrics, std::string(name));
    }
  }
  static prometheus::Counter& received(core::Metrics& metrics, const std::string& outcome) {
    return metrics.counter("stoneport_health_findings_heard_total",
                           "Findings received from other processes, by outcome",
                           {{"outcome", outcome}});
  }

  prometheus::Counter& sent;
  prometheus::Counter& suppressed;
  prometheus::Counter& rate_limited;
  prometheus::Counter& unknown_reporter;
  prometheus::Gauge& avoided;
  std::array<prometheus::Counter*, ingress::kRemoteFindingOutcomes> outcomes{};
};

HealthExchange::HealthExchange(asio::any_io_executor executor,
                               controllers::GossipController& gossip, ingress::SharedHealth& health,
                               core::NodeId self, std::uint64_t seed, const core::TimeSource& time,
                               core::Metrics& metrics, HealthExchangeSettings settings)
    : executor_(std::move(executor)),
      gossip_(gossip),
      health_(health),
      self_(std::move(self)),
      random_(seed),
      time_(time),
      settings_(settings),
      packets_(settings.packets, time.now()),
      meters_(std::make_unique<Meters>(metrics)) {}

HealthExchange::~HealthExchange() = default;

void HealthExchange::start() {
  is_started_ = true;
  health_.start([this](const ingress::HealthFinding& finding) { enqueue(finding); });
  runtime::start(executor_, "health exchange", run());
}

asio::awaitable<void> HealthExchange::run() {
  while (true) {
    health_.forget_old(time_.now());
    health_.set_processes(addresses_of_others(gossip_.members_by_node(), self_).size() + 1);
    meters_->avoided.Set(static_cast<double>(health_.avoided()));
    co_await runtime::sleep_for(settings_.expiry_interval);
  }
}

void HealthExchange::enqueue(const ingress::HealthFinding& finding) {
  pending_[finding.replica] = finding;
  if (!is_sending_) {
    is_sending_ = true;
    runtime::start(executor_, "health news", send_pending());
  }
}

core::Duration HealthExchange::random_delay() {
  const auto members = static_cast<std::int64_t>(gossip_.members_by_node().size());
  const core::Duration spread =
      std::min(settings_.jitter_per_member * members, settings_.max_jitter);
  return settings_.batch_delay + core::from_seconds(core::to_seconds(spread) * random_.fraction());
}

asio::awaitable<void> HealthExchange::send_pending() {
  co_await runtime::sleep_for(random_delay());
  is_sending_ = false;
  for (const wire::HealthReport& report : drain_pending()) {
    broadcast(report);
  }
}

std::vector<wire::HealthReport> HealthExchange::drain_pending() {
  const core::MonotonicTime now = time_.now();
  wire::GossipPacket empty;
  empty.sender = gossip_.self();
  empty.message = wire::HealthReport();
  // The length of the list may take two further bytes.
  constexpr std::size_t kListHeadBytes = 2;
  const std::size_t base = wire::size_without_records(empty) + kListHeadBytes;
  std::vector<wire::HealthReport> reports;
  std::size_t size = 0;
  for (const auto& [replica, finding] : pending_) {
    if (!health_.should_report(finding, now)) {
      meters_->suppressed.Increment();
      continue;
    }
    wire::HealthFinding notice = notice_of(finding, now);
    const std::size_t added = wire::encoded_size(notice);
    if (reports.empty() || size + added > settings_.max_packet_bytes) {
      reports.emplace_back();
      size = base;
    }
    size += added;
    reports.back().findings.push_back(std::move(notice));
  }
  pending_.clear();
  return reports;
}

std::vector<core::Address> HealthExchange::choose_receivers() {
  std::vector<core::Address> members = addresses_of_others(gossip_.members_by_node(), self_);
  const core::MonotonicTime now = time_.now();
  std::size_t taken = 0;
  while (taken < members.size() && packets_.try_take(now, 0)) {
    const std::size_t drawn = random_.uniform(taken, members.size() - 1);
    std::swap(members[taken], members[drawn]);
    ++taken;
  }
  meters_->rate_limited.Increment(static_cast<double>(members.size() - taken));
  members.resize(taken);
  return members;
}

void HealthExchange::broadcast(const wire::HealthReport& report) {
  const std::vector<core::Address> receivers = choose_receivers();
  for (const core::Address& address : receivers) {
    gossip_.send_message(address, report);
  }
  meters_->sent.Increment(static_cast<double>(receivers.size()));
}

void HealthExchange::on_message(const controllers::ReceivedMessage& message) {
  const auto* report = std::get_if<wire::HealthReport>(&message.message);
  if (report == nullptr || !is_started_) {
    return;
  }
  const auto sender = gossip_.members_by_node().find(message.sender);
  if (sender == gossip_.members_by_node().end() || message.sender == self_) {
    meters_->unknown_reporter.Increment(static_cast<double>(report->findings.size()));
    return;
  }
  const ingress::HealthReporter reporter{message.sender, sender->second.zone};
  const core::MonotonicTime now = time_.now();
  for (const wire::HealthFinding& notice : report->findings) {
    const ingress::RemoteFindingOutcome outcome =
        health_.apply_remote_finding(reporter, finding_of(notice, now), now);
    meters_->outcomes.at(static_cast<std::size_t>(outcome))->Increment();
  }
}

}  // namespace stoneport::node
