#include "node/suspect_exchange.hpp"

#include <algorithm>

#include "node/member_addresses.hpp"
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
  suspect.forget_at = now + std::chrono::milliseconds(notice.left_ms);
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
      sent_(metrics.counter("stoneport_suspect_reports_sent_total",
                            "Packets about requests under which replicas ended")),
      left_to_refresh_(metrics.counter("stoneport_suspect_news_left_to_refresh_total",
                                       "Packets of news that the rate kept from going to all "
                                       "members at once")) {}

void SuspectExchange::start() {
  guard_.set_self(self_);
  ingress::CrashGuard::Listener listener;
  listener.on_suspect = [this](const quarantine::Suspect& suspect) {
    new_notices_[suspect.content] = notice_of(suspect);
    wake();
  };
  listener.on_run = [this](const ingress::SuspectRun& run, bool is_over) {
    new_runs_[run.content] = node::notice_of(run, is_over);
    wake();
  };
  guard_.add_listener(std::move(listener));
  runtime::start(executor_, "suspect exchange", run());
}

void SuspectExchange::wake() {
  if (!is_sending_) {
    is_sending_ = true;
    runtime::start(executor_, "suspect news", send_news());
  }
}

asio::awaitable<void> SuspectExchange::send_news() {
  co_await runtime::sleep_for(settings_.gather);
  is_sending_ = false;
  std::vector<wire::SuspectNotice> notices;
  for (auto& [content, notice] : new_notices_) {
    notices.push_back(std::move(notice));
  }
  std::vector<wire::SuspectRunNotice> runs;
  for (auto& [content, run] : new_runs_) {
    runs.push_back(std::move(run));
  }
  new_notices_.clear();
  new_runs_.clear();
  tell_all(packed(notices, runs));
}

asio::awaitable<void> SuspectExchange::run() {
  while (true) {
    co_await runtime::sleep_for(settings_.refresh);
    guard_.forget_old();
    tell_one();
    for (const ingress::SuspectRun& run : guard_.own_runs()) {
      new_runs_[run.content] = node::notice_of(run, false);
      wake();
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
  notice.left_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
  return notice;
}

SuspectExchange::Reports SuspectExchange::packed(
    const std::vector<wire::SuspectNotice>& notices,
    const std::vector<wire::SuspectRunNotice>& runs) const {
  wire::GossipPacket empty;
  empty.sender = gossip_.self();
  empty.message = wire::SuspectReport();
  // The lengths of two lists may take two bytes each.
  constexpr std::size_t kListLengths = 4;
  const std::size_t base = wire::size_without_records(empty) + kListLengths;
  const std::size_t room =
      settings_.most_packet_bytes > base ? settings_.most_packet_bytes - base : 0;
  Reports reports;
  std::size_t left = 0;
  const auto report_with = [&](std::size_t size) -> wire::SuspectReport& {
    if (reports.empty() || size > left) {
      reports.emplace_back();
      left = room;
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

void SuspectExchange::tell_all(const Reports& reports) {
  const std::vector<core::Address> members = addresses_of_others(gossip_.members_by_node(), self_);
  for (const wire::SuspectReport& report : reports) {
    if (!broadcasts_.try_take(time_.now(), 0)) {
      left_to_refresh_.Increment();
      continue;
    }
    for (const core::Address& address : members) {
      gossip_.send_message(address, report);
    }
    sent_.Increment(static_cast<double>(members.size()));
  }
}

void SuspectExchange::tell_one() {
  const std::vector<core::Address> members = addresses_of_others(gossip_.members_by_node(), self_);
  if (!guard_.has_suspects() || members.empty()) {
    return;
  }
  std::vector<wire::SuspectNotice> notices;
  for (const auto& [content, suspect] : guard_.suspects().all()) {
    notices.push_back(notice_of(suspect));
  }
  const core::Address& chosen = members[random_.uniform(0, members.size() - 1)];
  const Reports reports = packed(notices, {});
  for (const wire::SuspectReport& report : reports) {
    gossip_.send_message(chosen, report);
  }
  sent_.Increment(static_cast<double>(reports.size()));
}

void SuspectExchange::hear(const controllers::ReceivedMessage& message) {
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
