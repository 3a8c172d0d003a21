#include "controllers/policy_versions_controller.hpp"

#include <nlohmann/json.hpp>

#include "config/value_codec.hpp"
#include "core/backoff.hpp"
#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::controllers {
namespace asio = boost::asio;

namespace {

const std::string kTable = "policies";
constexpr std::string_view kVersionField = "version";
constexpr core::BackoffSettings kRetryBackoff{std::chrono::milliseconds(500),
                                              std::chrono::seconds(10)};
constexpr core::Duration kIdleInterval = std::chrono::milliseconds(500);

std::string encode_version(core::WeightVersion version) {
  return core::write_json({{kVersionField, version.value()}});
}

/// \return the version in the row, or nothing when the row cannot be parsed
std::optional<core::WeightVersion> decode_version(const std::string& value) {
  const std::optional<nlohmann::json> json = core::parse_json(value);
  if (!json || !json->is_object() || !json->contains(kVersionField) ||
      !json->at(kVersionField).is_number_unsigned()) {
    return std::nullopt;
  }
  return core::WeightVersion(json->at(kVersionField).get<std::uint64_t>());
}

}  // namespace

PolicyVersionsController::PolicyVersionsController(asio::any_io_executor executor,
                                                   GossipController& gossip,
                                                   ports::TableService& table,
                                                   core::Metrics& metrics)
    : executor_(std::move(executor)),
      gossip_(gossip),
      table_(table),
      random_(gossip.self().incarnation.value()),
      write_failures_(metrics.counter("stoneport_policy_write_failures_total",
                                      "Attempts to write a policy's version that failed")) {}

void PolicyVersionsController::start() {
  alive_ = std::make_shared<bool>(true);
  runtime::start(executor_, "policy versions", run(alive_));
}

core::WeightVersion PolicyVersionsController::newest(const core::PolicyName& policy) const {
  const auto found = gossip_.policy_versions().find(policy);
  return found == gossip_.policy_versions().end() ? core::WeightVersion{} : found->second;
}

asio::awaitable<core::Result<void>> PolicyVersionsController::publish(core::PolicyName policy,
                                                                      core::WeightVersion version) {
  if (version <= newest(policy)) {
    co_return core::Result<void>{};
  }
  gossip_.announce_policy_version({policy, version});
  unwritten_[policy] = std::max(unwritten_[policy], version);
  // A failed write stays in unwritten_, and run() retries it.
  const core::Result<void> written = co_await write(policy, version);
  if (!written) {
    write_failures_.Increment();
  }
  co_return core::Result<void>{};
}

asio::awaitable<core::Result<void>> PolicyVersionsController::write(core::PolicyName policy,
                                                                    core::WeightVersion version) {
  const ports::RowKey key{kTable, policy.value()};
  const auto row = co_await table_.read(key, ports::TablePriority::kInteractive);
  if (!row) {
    co_return row.error();
  }
  core::Revision revision;
  if (*row) {
    const auto stored = decode_version((*row)->value);
    if (stored && *stored >= version) {
      confirm(policy, version);
      co_return core::Result<void>{};
    }
    revision = (*row)->revision;
  }
  ports::Transaction transaction;
  // A retry after a lost response uses the same id.
  transaction.write_id =
      core::WriteId("policy:" + gossip_.self().node.value() + ":" + policy.value() + ":" +
                    std::to_string(version.value()) + ":" + std::to_string(revision.value()));
  transaction.conditions.push_back({key, revision});
  transaction.writes.push_back({key, encode_version(version)});
  const auto committed =
      co_await table_.commit(std::move(transaction), ports::TablePriority::kInteractive);
  if (!committed) {
    co_return committed.error();
  }
  confirm(policy, version);
  co_return core::Result<void>{};
}

void PolicyVersionsController::confirm(const core::PolicyName& policy,
                                       core::WeightVersion version) {
  const auto found = unwritten_.find(policy);
  if (found != unwritten_.end() && found->second <= version) {
    unwritten_.erase(found);
  }
}

asio::awaitable<core::Result<void>> PolicyVersionsController::load() {
  const auto rows =
      co_await table_.scan(kTable, "", core::Revision{}, ports::TablePriority::kBackground);
  if (!rows) {
    co_return rows.error();
  }
  for (const ports::Row& row : *rows) {
    const auto version = decode_version(row.value);
    if (version && config::is_valid_name(row.key.key)) {
      gossip_.announce_policy_version({core::PolicyName(row.key.key), *version});
    }
  }
  co_return core::Result<void>{};
}

asio::awaitable<bool> PolicyVersionsController::write_unwritten(std::weak_ptr<bool> alive) {
  const std::map<core::PolicyName, core::WeightVersion> unwritten = unwritten_;
  bool all_written = true;
  for (const auto& [policy, version] : unwritten) {
    if (alive.expired()) {
      co_return false;
    }
    const core::Result<void> outcome = co_await write(policy, version);
    if (!outcome) {
      write_failures_.Increment();
      all_written = false;
    }
  }
  co_return all_written;
}

asio::awaitable<void> PolicyVersionsController::run(std::weak_ptr<bool> alive) {
  std::uint32_t failures = 0;
  bool loaded = false;
  while (!alive.expired()) {
    if (!loaded) {
      const core::Result<void> outcome = co_await load();
      loaded = outcome.has_value();
    }
    const bool written = co_await write_unwritten(alive);
    failures = loaded && written ? 0 : failures + 1;
    core::Duration wait = kIdleInterval;
    if (failures > 0) {
      wait = core::backoff_delay(kRetryBackoff, failures - 1, random_);
    }
    co_await runtime::sleep_for(wait);
  }
}

}  // namespace stoneport::controllers
