#include "node/suspect_exchange.hpp"

#include <algorithm>

#include "node/member_addresses.hpp"
#include "node/writer_rank.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::node {
namespace asio = boost::asio;
namespace {

wire::SuspectRunNotice notice_of(const ingress::SuspectRun& run, bool is_over) {
  const auto phase = run.has_begun ? wire::SuspectRunPhase::kRunning : wire::SuspectRunPhase::kKept;
  return {run.content, run.replica, run.is_alone, is_over ? wire::SuspectRunPhase::kOver : phase};
}

quarantine::Suspect suspect_of(const wire::SuspectNotice& notice, core::MonotonicTime now) {
  quarantine::Suspect suspect;
  suspect.content = notice.content;
  suspect.generation = notice.generation;
  suspect.ended.insert(notice.ended.begin(), notice.ended.end());
  suspect.forget_at = now + std::chrono::milliseconds(notice.remaining_ms);
  return suspect;
}

}  // namespace

SuspectExchange::SuspectExchange(asio::any_io_executor executor,
                                 controllers::GossipController& gossip, ingress::CrashGuard& guard,
                                 core::NodeId self, std::uint64_t seed,
                                 const core::TimeSource& time, core::Metrics& metrics,
                                 SuspectExchangeSettings settings)
    : executor_(std::move(executor)),
      gossip_(gossip),
      guard_(guard),
      self_(std::move(self)),
      random_(seed),
      time_(time),
      settings_(settings),
      broadcasts_(settings.broadcasts, time.now()),
      run_broadcasts_(settings.run_broadcasts, time.now()),
      introductions_(settings.introductions, time.now()),
      sent_(metrics.counter("stoneport_suspect_reports_sent_total",
                            "Packets sent that report requests suspected of crashing replicas")),
      deferred_(metrics.counter("stoneport_suspect_news_left_to_refresh_total",
                                "Update packets not broadcast because of the rate limit and left "
                                "to the periodic refresh")),
      introduced_(metrics.counter("stoneport_suspect_introductions_total",
                                  "Members that were sent suspects and runs when they joined")) {}

void SuspectExchange::start() {
  guard_.set_self(self_);
  ingress::CrashGuard::Listener listener;
  listener.on_suspect = [this](const quarantine::Suspect& suspect) {
    observed_.insert(suspect.content);
    pending_notices_[suspect.content] = notice_of(suspect);
    schedule_send();
  };
  listener.on_run = [this](const ingress::SuspectRun& run, bool is_over) {
    pending_runs_[run.content] = node::notice_of(run, is_over);
    schedule_send();
  };
  guard_.add_listener(std::move(listener));
  gossip_.on_join([this](const wire::Member& member) { introduce_to(member); });
  runtime::start(executor_, "suspect exchange", run());
}

void SuspectExchange::schedule_send() {
  if (!is_sending_) {
    is_sending_ = true;
    runtime::start(executor_, "suspect news", send_pending());
  }
}

asio::awaitable<void> SuspectExchange::send_pending() {
  co_await runtime::sleep_for(settings_.batch_delay);
  is_sending_ = false;
  std::vector<wire::SuspectNotice> notices;
  for (auto& [content, notice] : pending_notices_) {
    notices.push_back(std::move(notice));
  }
  std::vector<wire::SuspectRunNotice> runs;
  for (auto& [content, run] : pending_runs_) {
    runs.push_back(std::move(run));
  }
  pending_notices_.clear();
  pending_runs_.clear();
  broadcast(pack_reports(notices, runs));
}

asio::awaitable<void> SuspectExchange::run() {
  while (true) {
    co_await runtime::sleep_for(settings_.refresh_interval);
    guard_.forget_old();
    forget_observed();
    refresh_random_member();
    for (const ingress::SuspectRun& run : guard_.own_runs()) {
      pending_runs_[run.content] = node::notice_of(run, false);
      schedule_send();
    }
  }
}

wire::SuspectNotice SuspectExchange::notice_of(const quarantine::Suspect& suspect) const {
  wire::SuspectNotice notice;
  notice.content = suspect.content;
  notice.generation = suspect.generation;
  notice.ended.assign(suspect.ended.begin(), suspect.ended.end());
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(suspect.forget_at - time_.now());
  notice.remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
  return notice;
}

SuspectExchange::Reports SuspectExchange::pack_reports(
    const std::vector<wire::SuspectNotice>& notices,
    const std::vector<wire::SuspectRunNotice>& runs) const {
  wire::GossipPacket empty;
  empty.sender = gossip_.self();
  empty.message = wire::SuspectReport();
  // The lengths of the two lists may take two further bytes each.
  constexpr std::size_t kListHeadBytes = 4;
  const std::size_t base = wire::size_without_records(empty) + kListHeadBytes;
  const std::size_t capacity =
      settings_.max_packet_bytes > base ? settings_.max_packet_bytes - base : 0;
  Reports reports;
  std::size_t left = 0;
  const auto report_with = [&](std::size_t size) -> wire::SuspectReport& {
    if (reports.empty() || size > left) {
      reports.emplace_back();
      left = capacity;
    }
    left -= std::min(left, size);
    return reports.back();
  };
  for (const wire::SuspectRunNotice& run : runs) {
    report_with(wire::encoded_size(run)).runs.push_back(run);
  }
  for (const wire::SuspectNotice& notice : notices) {
    report_with(wire::encoded_size(notice)).suspects.push_back(notice);
  }
  return reports;
}

void SuspectExchange::broadcast(const Reports& reports) {
  const std::vector<core::Address> members = addresses_of_others(gossip_.members_by_node(), self_);
  for (const wire::SuspectReport& report : reports) {
    core::TokenBucket& limit = report.suspects.empty() ? run_broadcasts_ : broadcasts_;
    if (!limit.try_take(time_.now(), 0)) {
      deferred_.Increment();
      continue;
    }
    for (const core::Address& address : members) {
      gossip_.send_message(address, report);
    }
    sent_.Increment(static_cast<double>(members.size()));
  }
}

bool SuspectExchange::is_introducer_of(const wire::Member& member) const {
  return writer_rank(member.node.value(), self_, gossip_.members_by_node()) < settings_.introducers;
}

void SuspectExchange::introduce_to(const wire::Member& member) {
  if (!guard_.may_restrict()) {
    return;
  }
  const bool is_introducer = is_introducer_of(member);
  std::vector<wire::SuspectNotice> notices;
  for (const auto& [content, suspect] : guard_.suspects().all()) {
    if (is_introducer || observed_.contains(content)) {
      notices.push_back(notice_of(suspect));
    }
  }
  std::vector<wire::SuspectRunNotice> runs;
  for (const ingress::SuspectRun& run : guard_.own_runs()) {
    runs.push_back(node::notice_of(run, false));
  }
  const Reports reports = pack_reports(notices, runs);
  for (const wire::SuspectReport& report : reports) {
    if (!introductions_.try_take(time_.now(), 0)) {
      deferred_.Increment();
      continue;
    }
    gossip_.send_message(member.gossip_address, report);
    sent_.Increment();
  }
  introduced_.Increment(reports.empty() ? 0 : 1);
}

void SuspectExchange::forget_observed() {
  std::erase_if(observed_, [this](const core::RequestFingerprint& content) {
    return guard_.suspects().find(content) == nullptr;
  });
}

void SuspectExchange::refresh_random_member() {
  const std::vector<core::Address> members = addresses_of_others(gossip_.members_by_node(), self_);
  if (!guard_.has_suspects() || members.empty()) {
    return;
  }
  std::vector<wire::SuspectNotice> notices;
  for (const auto& [content, suspect] : guard_.suspects().all()) {
    notices.push_back(notice_of(suspect));
  }
  const core::Address& chosen = members[random_.uniform(0, members.size() - 1)];
  const Reports reports = pack_reports(notices, {});
  for (const wire::SuspectReport& report : reports) {
    gossip_.send_message(chosen, report);
  }
  sent_.Increment(static_cast<double>(reports.size()));
}

void SuspectExchange::on_message(const controllers::ReceivedMessage& message) {
  const auto* report = std::get_if<wire::SuspectReport>(&message.message);
  if (report == nullptr) {
    return;
  }
  const core::MonotonicTime now = time_.now();
  for (const wire::SuspectNotice& notice : report->suspects) {
    guard_.apply_remote_suspect(suspect_of(notice, now));
  }
  for (const wire::SuspectRunNotice& run : report->runs) {
    const bool has_begun = run.phase == wire::SuspectRunPhase::kRunning;
    const bool is_over = run.phase == wire::SuspectRunPhase::kOver;
    guard_.apply_remote_run(message.sender, {run.content, run.replica, run.is_alone, has_begun},
                            is_over);
  }
}

}  // namespace stoneport::node
