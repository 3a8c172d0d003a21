#include "controllers/table_claim_registry.hpp"

#include "core/json_text.hpp"
#include "ports/json_fields.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace {
using core::ErrorCode;
using ports::TablePriority;

constexpr const char* kTable = "claims";
constexpr std::size_t kMaxGrantedClaims = 4096;
constexpr std::size_t kMaxAbandonedClaims = 1024;
constexpr std::size_t kMaxKeyBytes = 512;
constexpr core::Duration kReleaseInterval = std::chrono::seconds(2);
/// Longer than any request to the store can remain in flight.
constexpr core::Duration kAbandonedClaimRetention = std::chrono::minutes(10);

core::Result<std::optional<StoredClaim>> stored_claim(
    const core::Result<std::optional<ports::Row>>& answer) {
  if (!answer) {
    return answer.error();
  }
  if (!*answer) {
    return std::optional<StoredClaim>();
  }
  auto record = parse_claim((*answer)->value);
  if (!record) {
    return record.error();
  }
  return std::optional<StoredClaim>(StoredClaim{std::move(*record), (*answer)->revision});
}

StoredOutcome stored_outcome(filters::RecordedOutcome outcome) {
  StoredOutcome stored;
  stored.status = outcome.status;
  stored.content_type = std::move(outcome.content_type);
  stored.body = std::move(outcome.body);
  return stored;
}

/// \return whether the body can be stored in the row itself
bool fits_row(const StoredOutcome& outcome) {
  return outcome.body.size() <= kMaxInlineBytes && core::is_utf8(outcome.body);
}

core::Error claim_lost() {
  return core::make_error(ErrorCode::kConflict, "the claim is no longer valid");
}

}  // namespace

struct TableClaimRegistry::Counters {
  explicit Counters(core::Metrics& metrics) : metrics_(metrics) {}
  prometheus::Counter& claim(const char* end) {
    return metrics_.counter("stoneport_claims_total", "Claims of idempotency keys, by outcome",
                            {{"end", end}});
  }
  prometheus::Counter& abandoned(const char* event) {
    return metrics_.counter("stoneport_claims_abandoned_total",
                            "Claims under which no request was sent, by event", {{"event", event}});
  }
  core::Metrics& metrics_;
  prometheus::Counter& granted = claim("granted");
  prometheus::Counter& taken = claim("taken");
  prometheus::Counter& refused = claim("refused");
  prometheus::Counter& remembered = abandoned("remembered");
  prometheus::Counter& released = abandoned("released");
  prometheus::Counter& forgotten = abandoned("forgotten");
  prometheus::Counter& unrecorded = metrics_.counter(
      "stoneport_claims_unrecorded_total", "Outcomes of claimed requests that were not recorded");
};

TableClaimRegistry::TableClaimRegistry(boost::asio::any_io_executor control,
                                       ports::TableService& table, ports::ObjectStore& objects,
                                       const core::TimeSource& time, const core::NodeId& node,
                                       core::Incarnation incarnation, core::Metrics& metrics)
    : control_(std::move(control)),
      table_(table),
      objects_(objects),
      time_(time),
      claim_ids_("claim", node, incarnation),
      write_ids_("claim-change", node, incarnation),
      granted_(kMaxGrantedClaims),
      abandoned_(kMaxAbandonedClaims),
      counters_(std::make_unique<Counters>(metrics)) {}

TableClaimRegistry::~TableClaimRegistry() = default;

boost::asio::awaitable<core::Result<filters::ClaimAnswer>> TableClaimRegistry::claim(
    filters::ClaimKey key) {
  auto task = claim_on_control(std::move(key));
  co_return co_await runtime::run_on(control_, std::move(task));
}

boost::asio::awaitable<core::Result<void>> TableClaimRegistry::record(
    filters::ClaimKey key, core::WriteId claim, filters::RecordedOutcome outcome) {
  auto task = record_on_control(std::move(key), std::move(claim), std::move(outcome));
  co_return co_await runtime::run_on(control_, std::move(task));
}

boost::asio::awaitable<core::Result<void>> TableClaimRegistry::release(filters::ClaimKey key,
                                                                       core::WriteId claim) {
  auto task = release_on_control(std::move(key), std::move(claim));
  co_return co_await runtime::run_on(control_, std::move(task));
}

boost::asio::awaitable<core::Result<core::Revision>> TableClaimRegistry::write(
    const std::string& row_key, const ClaimRecord& record, core::WriteId write_id,
    core::Revision condition) {
  auto encoded = encode_claim(record);
  if (!encoded) {
    co_return encoded.error();
  }
  const ports::RowKey key{kTable, row_key};
  ports::Transaction transaction;
  transaction.write_id = std::move(write_id);
  transaction.conditions.push_back({key, condition});
  transaction.writes.push_back({key, std::move(*encoded)});
  co_return co_await table_.commit(std::move(transaction), TablePriority::kInteractive);
}

boost::asio::awaitable<core::Result<std::optional<StoredClaim>>> TableClaimRegistry::read(
    const std::string& row_key, TablePriority priority) {
  ports::RowKey key{kTable, row_key};
  const auto answer = co_await table_.read(std::move(key), priority);
  co_return stored_claim(answer);
}

boost::asio::awaitable<void> TableClaimRegistry::run_process(ClaimProcess& process,
                                                             const std::string& row_key,
                                                             const ClaimRecord& ours) {
  for (;;) {
    if (process.step() == ClaimStep::kWrite) {
      const auto answer = co_await write(row_key, ours, ours.claim, process.condition());
      process.on_write(answer);
    } else if (process.step() == ClaimStep::kRead) {
      const auto answer = co_await read(row_key, TablePriority::kInteractive);
      const bool found = answer && answer->has_value();
      process.on_read(answer, found && abandoned_.contains((*answer)->record.claim));
    } else {
      co_return;
    }
  }
}

boost::asio::awaitable<filters::ClaimTaken> TableClaimRegistry::describe(
    ClaimRecord record, std::uint64_t fingerprint) {
  filters::ClaimTaken taken;
  taken.fingerprint_differs = record.fingerprint != fingerprint;
  if (taken.fingerprint_differs || !record.outcome) {
    co_return taken;
  }
  StoredOutcome& stored = *record.outcome;
  if (!stored.object.empty()) {
    auto body = co_await objects_.get(stored.object);
    if (!body) {
      co_return taken;
    }
    stored.body = std::move(*body);
  }
  taken.outcome = filters::RecordedOutcome{stored.status, std::move(stored.content_type),
                                           std::move(stored.body)};
  co_return taken;
}

boost::asio::awaitable<core::Result<filters::ClaimAnswer>> TableClaimRegistry::claim_on_control(
    filters::ClaimKey key) {
  if (key.idempotency_key.empty() || key.idempotency_key.size() > kMaxKeyBytes) {
    counters_->refused.Increment();
    co_return core::make_error(ErrorCode::kInvalidArgument,
                               "an idempotency key has 1 to 512 bytes");
  }
  const std::string row_key = claim_row_key(key);
  if (const GrantedClaim* known = granted_.find(row_key)) {
    counters_->taken.Increment();
    filters::ClaimTaken taken = co_await describe(known->record, key.fingerprint);
    co_return filters::ClaimAnswer(std::move(taken));
  }
  const ClaimRecord ours{claim_ids_.next(), key.fingerprint, time_.wall_now(), std::nullopt};
  ClaimProcess process(ours.claim);
  co_await run_process(process, row_key, ours);
  if (process.may_be_stored()) {
    abandon(row_key, ours.claim);
  }
  if (process.step() == ClaimStep::kRefused) {
    counters_->refused.Increment();
    co_return process.error();
  }
  if (process.step() == ClaimStep::kTaken) {
    counters_->taken.Increment();
    filters::ClaimTaken taken = co_await describe(process.found().record, key.fingerprint);
    co_return filters::ClaimAnswer(std::move(taken));
  }
  counters_->granted.Increment();
  granted_.add(row_key, {ours, process.revision()});
  co_return filters::ClaimAnswer(filters::ClaimGranted{ours.claim});
}

boost::asio::awaitable<core::Result<void>> TableClaimRegistry::record_on_control(
    filters::ClaimKey key, core::WriteId claim, filters::RecordedOutcome outcome) {
  const std::string row_key = claim_row_key(key);
  const GrantedClaim* known = granted_.find(row_key);
  if (known == nullptr || known->record.claim != claim) {
    counters_->unrecorded.Increment();
    co_return claim_lost();
  }
  GrantedClaim updated = *known;
  StoredOutcome& stored = updated.record.outcome.emplace(stored_outcome(std::move(outcome)));
  if (!fits_row(stored)) {
    stored.object = "claims/" + claim.value();
    std::string body = std::move(stored.body);
    const core::Result<void> put = co_await objects_.put(stored.object, std::move(body));
    if (!put) {
      counters_->unrecorded.Increment();
      co_return put.error();
    }
    stored.body.clear();
  }
  granted_.add(row_key, updated);
  const auto written = co_await write(row_key, updated.record, write_ids_.next(), updated.revision);
  if (!written) {
    counters_->unrecorded.Increment();
    co_return written.error();
  }
  co_return core::Result<void>();
}

boost::asio::awaitable<core::Result<void>> TableClaimRegistry::erase(std::string row_key,
                                                                     core::WriteId claim,
                                                                     core::Revision revision,
                                                                     TablePriority priority) {
  const ports::RowKey key{kTable, std::move(row_key)};
  ports::Transaction transaction;
  transaction.write_id = write_ids_.next();
  transaction.conditions.push_back({key, revision});
  transaction.writes.push_back({key, std::nullopt});
  const auto erased = co_await table_.commit(std::move(transaction), priority);
  if (!erased) {
    co_return erased.error();
  }
  abandoned_.remove(claim);
  counters_->released.Increment();
  co_return core::Result<void>();
}

boost::asio::awaitable<core::Result<void>> TableClaimRegistry::release_on_control(
    filters::ClaimKey key, core::WriteId claim) {
  const std::string row_key = claim_row_key(key);
  const GrantedClaim* known = granted_.find(row_key);
  if (known == nullptr || known->record.claim != claim || known->record.outcome) {
    co_return claim_lost();
  }
  const core::Revision revision = known->revision;
  granted_.remove(row_key);
  abandon(row_key, claim);
  co_return co_await erase(row_key, claim, revision, TablePriority::kInteractive);
}

void TableClaimRegistry::abandon(const std::string& row_key, const core::WriteId& claim) {
  counters_->remembered.Increment();
  const bool all_kept = abandoned_.add({row_key, claim, time_.now(), time_.now()});
  if (!all_kept) {
    counters_->forgotten.Increment();
  }
}

boost::asio::awaitable<void> TableClaimRegistry::release_one(AbandonedClaim abandoned) {
  const auto row = co_await read(abandoned.row_key, TablePriority::kBackground);
  if (!row || !*row || (*row)->record.claim != abandoned.claim) {
    co_return;
  }
  const core::Revision revision = (*row)->revision;
  co_await erase(abandoned.row_key, abandoned.claim, revision, TablePriority::kBackground);
}

boost::asio::awaitable<void> TableClaimRegistry::release_abandoned() {
  const core::MonotonicTime now = time_.now();
  const std::size_t old = abandoned_.remove_older_than(now - kAbandonedClaimRetention);
  counters_->forgotten.Increment(static_cast<double>(old));
  for (const AbandonedClaim& abandoned : abandoned_.take_due(now)) {
    co_await release_one(abandoned);
  }
}

boost::asio::awaitable<void> TableClaimRegistry::run() {
  while (!stopping_) {
    co_await release_abandoned();
    co_await runtime::sleep_for(kReleaseInterval);
  }
}

}  // namespace stoneport::controllers
