#include "controllers/lease_manager.hpp"

#include <spdlog/spdlog.h>

#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {
using core::ErrorCode;

constexpr const char* kTable = "leases";
/// Rounds per lease duration; three renewals may fail before a lease expires.
constexpr int kRoundsPerDuration = 4;
constexpr core::Duration kRoundPoll = std::chrono::milliseconds(10);

core::Result<std::optional<ObservedLease>> observed_lease(
    const core::Result<std::optional<ports::Row>>& answer) {
  if (!answer) {
    return answer.error();
  }
  if (!*answer) {
    return std::optional<ObservedLease>();
  }
  auto record = parse_lease((*answer)->value);
  if (!record) {
    return record.error();
  }
  return std::optional<ObservedLease>(ObservedLease{std::move(*record), (*answer)->revision});
}

}  // namespace

struct LeaseManager::Counters {
  explicit Counters(core::Metrics& metrics) : metrics_(metrics) {}
  prometheus::Counter& end(const char* end) {
    return metrics_.counter("stoneport_lease_attempts_total",
                            "Attempts to read or write a lease, by outcome", {{"end", end}});
  }
  core::Metrics& metrics_;
  prometheus::Counter& committed = end("committed");
  prometheus::Counter& conflict = end("conflict");
  prometheus::Counter& refused = end("refused");
  prometheus::Counter& unknown = end("unknown");
  prometheus::Counter& read_failed = end("read_failed");
};

LeaseManager::LeaseManager(ports::TableService& table, const core::TimeSource& time,
                           LeaseHolder self, LeaseSettings settings, std::uint64_t seed,
                           core::Metrics& metrics)
    : table_(table),
      time_(time),
      self_(std::move(self)),
      settings_(settings),
      write_ids_("lease", self_.node, self_.incarnation),
      random_(seed),
      counters_(std::make_unique<Counters>(metrics)) {}

LeaseManager::~LeaseManager() = default;

void LeaseManager::set_wanted(std::set<std::string> names) {
  wanted_ = std::move(names);
  for (const std::string& name : wanted_) {
    leases_.try_emplace(name, self_, settings_);
  }
}

LeaseStatus LeaseManager::status(const std::string& name) const {
  const auto lease = leases_.find(name);
  if (lease == leases_.end() || !wanted_.contains(name)) {
    return LeaseStatus::kNone;
  }
  return lease->second.status(time_.now());
}

std::optional<core::Epoch> LeaseManager::held_epoch(const std::string& name) const {
  if (status(name) != LeaseStatus::kHeld) {
    return std::nullopt;
  }
  return leases_.at(name).epoch();
}

std::optional<core::Epoch> LeaseManager::fenced_epoch(const std::string& name) const {
  if (status(name) == LeaseStatus::kNone) {
    return std::nullopt;
  }
  return leases_.at(name).epoch();
}

std::optional<LeaseHolder> LeaseManager::observed_holder(const std::string& name) const {
  const auto lease = leases_.find(name);
  return lease == leases_.end() ? std::nullopt : lease->second.observed_holder();
}

void LeaseManager::log_change(const std::string& name, core::Epoch before) {
  const core::Epoch now = leases_.at(name).epoch();
  if (now == before) {
    return;
  }
  if (now == core::Epoch()) {
    spdlog::info("lease {} released or lost, epoch was {}", name, before.value());
  } else {
    spdlog::info("lease {} acquired, epoch {}", name, now.value());
  }
}

boost::asio::awaitable<void> LeaseManager::read(std::string name) {
  const core::MonotonicTime sent_at = time_.now();
  ports::RowKey key{kTable, name};
  const auto answer = co_await table_.read(std::move(key), ports::TablePriority::kOwnership);
  const core::MonotonicTime now = time_.now();
  auto observed = observed_lease(answer);
  LeaseState& lease = leases_.at(name);
  if (!observed) {
    counters_->read_failed.Increment();
    const bool answered = observed.error().code == ErrorCode::kProtocol;
    answered ? lease.on_row_lost() : lease.on_read_failed(sent_at, now);
    co_return;
  }
  lease.on_read(std::move(*observed), now);
}

boost::asio::awaitable<void> LeaseManager::write(std::string name, LeaseWrite write) {
  ports::Transaction transaction;
  transaction.write_id = write_ids_.next();
  const ports::RowKey key{kTable, name};
  transaction.conditions.push_back({key, write.condition});
  transaction.writes.push_back({key, encode_lease(write.record)});
  const core::MonotonicTime sent_at = time_.now();
  const auto answer =
      co_await table_.commit(std::move(transaction), ports::TablePriority::kOwnership);
  LeaseState& lease = leases_.at(name);
  if (answer) {
    counters_->committed.Increment();
    lease.on_write_committed(write, *answer, sent_at);
    co_return;
  }
  const ErrorCode code = answer.error().code;
  if (code == ErrorCode::kConflict) {
    counters_->conflict.Increment();
    lease.on_row_lost();
    co_return;
  }
  const bool refused = code == ErrorCode::kUnavailable || code == ErrorCode::kRateLimited;
  (refused ? counters_->refused : counters_->unknown).Increment();
  lease.on_write_failed(sent_at, time_.now(), !refused);
}

boost::asio::awaitable<void> LeaseManager::advance(std::string name, bool wanted) {
  LeaseState& lease = leases_.at(name);
  const core::Epoch before = lease.epoch();
  lease.begin_round();
  LeasePlan plan = lease.plan(time_.now(), wanted);
  if (plan.step == LeaseStep::kRead) {
    co_await read(name);
    plan = lease.plan(time_.now(), wanted);
  }
  if (plan.step == LeaseStep::kWrite) {
    co_await write(name, std::move(*plan.write));
  }
  log_change(name, before);
}

boost::asio::awaitable<void> LeaseManager::run_round() {
  while (round_in_progress_) {
    co_await runtime::sleep_for(kRoundPoll);
  }
  round_in_progress_ = true;
  std::vector<std::string> names;
  for (const auto& [name, lease] : leases_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    const bool wanted = wanted_.contains(name);
    co_await advance(name, wanted);
  }
  round_in_progress_ = false;
}

boost::asio::awaitable<void> LeaseManager::run() {
  while (!stopping_) {
    co_await run_round();
    const double jitter = 0.9 + 0.2 * random_.fraction();
    const double seconds = core::to_seconds(settings_.duration) / kRoundsPerDuration * jitter;
    co_await runtime::sleep_for(core::from_seconds(seconds));
  }
}

boost::asio::awaitable<void> LeaseManager::release_all() {
  set_wanted({});
  co_await run_round();
}

}  // namespace stoneport::controllers
