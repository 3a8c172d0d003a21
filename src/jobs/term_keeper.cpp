#include "jobs/term_keeper.hpp"

#include <algorithm>

#include "core/decision_log.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {

/// Fraction of a core: coordination of the users' deployment, after it had grown, used 0.05 on
/// average, and several times that while jobs arrive.
constexpr double kAmpleProcessorShare = 0.5;
constexpr core::Duration kLongestBidDelay = std::chrono::milliseconds(500);

}  // namespace

core::Duration bid_delay_of(double processor_share) {
  const double lacking = std::clamp(1 - processor_share / kAmpleProcessorShare, 0.0, 1.0);
  return core::from_seconds(core::to_seconds(kLongestBidDelay) * lacking);
}

void TermObserver::on_change(core::MonotonicTime now, bool has_holder,
                             core::Duration heartbeat_age) {
  const bool is_first = !changed_at_;
  has_holder_ = has_holder;
  const core::Duration silence =
      std::max(core::Duration(0), heartbeat_age - settings_.heartbeat_transit);
  changed_at_ = is_first ? now - silence : now;
}

core::Duration TermObserver::required_silence(HolderStatus status) const {
  if (!has_holder_) {
    return core::Duration(0);
  }
  // Members learn of a report at times that differ by more than the bid delay. A small machine that
  // learns of it first must still leave the term to a large one that has not yet.
  const bool trusts_signs = settings_.bid_delay == core::Duration(0);
  switch (status) {
    case HolderStatus::kEnded:
      return trusts_signs ? core::Duration(0) : settings_.takeover_from_suspect_after;
    case HolderStatus::kSuspect:
      return trusts_signs ? settings_.takeover_from_suspect_after : settings_.takeover_after;
    case HolderStatus::kUnknown:
      break;
  }
  return settings_.takeover_after;
}

HolderStatus TermObserver::effective_status(HolderStatus status) {
  const bool is_ended = status == HolderStatus::kEnded;
  ended_before_ = is_ended && (ended_before_ || is_new_holder_);
  is_new_holder_ = false;
  return ended_before_ ? HolderStatus::kUnknown : status;
}

bool TermObserver::should_bid(core::MonotonicTime now, core::MonotonicTime last_answer,
                              double spread, HolderStatus status) {
  const HolderStatus trusted = effective_status(status);
  const bool was_paused = last_tick_ && now - *last_tick_ > settings_.longest_gap;
  last_tick_ = now;
  const bool store_is_silent = now - last_answer > settings_.longest_store_silence;
  if (!changed_at_ || was_paused || store_is_silent) {
    changed_at_ = now;
    return false;
  }
  const core::Duration spread_length =
      core::from_seconds(core::to_seconds(settings_.bid_spread) * spread);
  const core::Duration own_delay = settings_.bid_delay + spread_length;
  const bool is_early = ineligible_at_ && now - *ineligible_at_ < own_delay;
  return !is_early && now - *changed_at_ >= required_silence(trusted) + own_delay;
}

TermKeeper::TermKeeper(asio::any_io_executor executor, ports::RecordStore& store,
                       TermSettings settings, Listener listener, std::uint64_t seed,
                       const core::TimeSource& time, core::Metrics& metrics)
    : executor_(executor),
      store_(store),
      settings_(std::move(settings)),
      listener_(std::move(listener)),
      random_(seed),
      time_(time),
      watch_(settings_),
      mirror_(
          executor, store, std::string(kTermTable), std::string(kTermPartition),
          [this](const records::TableMirror::Records& records) { on_records(records); },
          {.feed_wait = std::chrono::milliseconds(600), .feed_interval = settings_.feed_interval}),
      terms_gained_(metrics.counter("stoneport_coordinator_terms_gained_total",
                                    "Terms gained by this process")),
      terms_lost_(metrics.counter("stoneport_coordinator_terms_lost_total",
                                  "Terms lost to another process")),
      holds_term_(metrics.gauge("stoneport_coordinator_holds_term",
                                "1 while this process coordinates the jobs")) {
  spread_ = random_.fraction();
}

void TermKeeper::start() {
  mirror_.start();
  runtime::start(executor_, "coordinator term", run());
}

void TermKeeper::on_records(const records::TableMirror::Records& records) {
  const auto term = records.find(std::string(kTermKey));
  const auto heartbeat = records.find(std::string(kHeartbeatKey));
  const core::Revision heartbeat_revision =
      heartbeat == records.end() ? core::Revision() : heartbeat->second.revision;
  const core::Revision term_revision =
      term == records.end() ? core::Revision() : term->second.revision;
  const bool changed = heartbeat_revision != heartbeat_revision_ || term_revision != seen_revision_;
  heartbeat_revision_ = heartbeat_revision;
  if (term != records.end()) {
    TermRecord told = decode_term(term->second.value).value_or(TermRecord());
    if (told.holder != seen_.holder) {
      watch_.on_new_holder();
    }
    seen_ = std::move(told);
    seen_revision_ = term_revision;
  }
  if (changed) {
    const core::Duration age = heartbeat == records.end()
                                   ? core::Duration(0)
                                   : age_of(heartbeat->second.value, store_.now());
    watch_.on_change(time_.now(), !seen_.holder.empty(), age);
  }
  if (held_ && seen_revision_ > held_->revision) {
    on_deposed(seen_.holder.empty() ? "released" : "another process holds the term");
  }
  // A bid of this process whose answer was lost.
  const bool is_ours = seen_.holder == settings_.holder;
  if (!held_ && !released_ && is_ours && seen_revision_ != core::Revision()) {
    gain({core::Epoch(seen_.epoch), seen_revision_});
  }
}

void TermKeeper::gain(Term term) {
  held_ = term;
  confirmed_at_ = time_.now();
  terms_gained_.Increment();
  holds_term_.Set(1);
  core::log_decision(core::DecisionEvent::kTermBegan,
                     {{"epoch", term.epoch.value()}, {"revision", term.revision.value()}});
  listener_.on_gain(term);
}

void TermKeeper::on_confirmed(core::MonotonicTime sent_at) {
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void TermKeeper::on_deposed(std::string_view reason) {
  if (!held_) {
    return;
  }
  core::log_decision(core::DecisionEvent::kTermEnded,
                     {{"epoch", held_->epoch.value()}, {"reason", reason}});
  held_.reset();
  terms_lost_.Increment();
  holds_term_.Set(0);
  watch_.on_change(time_.now(), true);
  listener_.on_loss();
}

ports::RecordTransaction TermKeeper::transaction(core::Revision condition) const {
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kTermPartition);
  transaction.conditions.push_back({std::string(kTermTable), std::string(kTermKey), condition});
  return transaction;
}

asio::awaitable<void> TermKeeper::bid() {
  const TermRecord mine{seen_.epoch + 1, settings_.holder};
  ports::RecordTransaction bid = transaction(seen_revision_);
  bid.writes.push_back({std::string(kTermTable), std::string(kTermKey), encode_term(mine)});
  bid.writes.push_back(
      {std::string(kTermTable), std::string(kHeartbeatKey), encode_sent_at(store_.now())});
  const core::MonotonicTime sent_at = time_.now();
  const core::Result<core::Revision> committed =
      co_await store_.commit(std::move(bid), settings_.write_timeout);
  if (committed && !held_ && !released_) {
    seen_ = mine;
    seen_revision_ = *committed;
    gain({core::Epoch(mine.epoch), *committed, time_.now() - sent_at});
  }
  spread_ = random_.fraction();
}

asio::awaitable<void> TermKeeper::run() {
  while (true) {
    const core::MonotonicTime now = time_.now();
    if (!held_ && !released_ && mirror_.loaded()) {
      const bool is_eligible = listener_.eligible();
      if (!is_eligible) {
        watch_.on_ineligible(now);
      }
      const HolderStatus status = listener_.holder_status(seen_.holder);
      const bool should = watch_.should_bid(now, mirror_.last_answer(), spread_, status);
      if (should && is_eligible) {
        co_await bid();
      }
    }
    co_await runtime::sleep_for(settings_.tick);
  }
}

asio::awaitable<void> TermKeeper::give_up_term() {
  if (!held_) {
    co_return;
  }
  const Term term = *held_;
  const TermRecord nobody{term.epoch.value(), std::string()};
  ports::RecordTransaction release = transaction(term.revision);
  release.writes.push_back({std::string(kTermTable), std::string(kTermKey), encode_term(nobody)});
  const core::Result<core::Revision> committed =
      co_await store_.commit(std::move(release), settings_.write_timeout);
  // The state seen before must not look like a bid of this process whose answer was lost.
  if (committed && *committed > seen_revision_) {
    seen_ = nobody;
    seen_revision_ = *committed;
  }
  on_deposed("released");
}

asio::awaitable<void> TermKeeper::step_down() {
  co_await give_up_term();
}

asio::awaitable<void> TermKeeper::release() {
  released_ = true;
  co_await give_up_term();
}

}  // namespace stoneport::jobs
