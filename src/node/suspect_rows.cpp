#include "node/suspect_rows.hpp"

#include <nlohmann/json.hpp>

#include "core/decision_log.hpp"
#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::node {
namespace asio = boost::asio;

std::string encode_suspect_row(const SuspectRow& row) {
  nlohmann::json ended = nlohmann::json::array();
  for (const core::ReplicaId& replica : row.ended) {
    ended.push_back(replica.value());
  }
  return core::write_json({{"generation", row.generation},
                           {"ended", std::move(ended)},
                           {"written_ms", row.written_at.count()}});
}

std::optional<SuspectRow> decode_suspect_row(const std::string& text) {
  const std::optional<nlohmann::json> json = core::parse_json(text);
  const bool is_well_formed = json && json->is_object() && json->contains("generation") &&
                              (*json)["generation"].is_number_unsigned() &&
                              json->contains("ended") && (*json)["ended"].is_array() &&
                              json->contains("written_ms") &&
                              (*json)["written_ms"].is_number_integer();
  if (!is_well_formed) {
    return std::nullopt;
  }
  SuspectRow row;
  row.generation = (*json)["generation"].get<std::uint64_t>();
  row.written_at = ports::StoreTime((*json)["written_ms"].get<std::int64_t>());
  for (const nlohmann::json& replica : (*json)["ended"]) {
    if (!replica.is_string()) {
      return std::nullopt;
    }
    row.ended.insert(core::ReplicaId(replica.get<std::string>()));
  }
  return row;
}

SuspectRows::SuspectRows(asio::any_io_executor executor, ports::RecordStore& store,
                         ingress::CrashGuard& guard, const core::TimeSource& time,
                         core::Metrics& metrics, SuspectRowSettings settings)
    : executor_(std::move(executor)),
      store_(store),
      guard_(guard),
      time_(time),
      settings_(settings),
      written_(metrics.counter("stoneport_suspect_rows_written_total",
                               "Rows of quarantined requests written or removed")),
      lost_(metrics.counter(
          "stoneport_suspect_rows_lost_total",
          "Writes of rows of quarantined requests given up after too many attempts")) {}

void SuspectRows::start() {
  ingress::CrashGuard::Listener listener;
  listener.on_suspect = [this](const quarantine::Suspect& suspect) { on_suspect(suspect); };
  listener.on_released = [this](const core::RequestFingerprint& content) {
    write(content, std::nullopt);
  };
  guard_.add_listener(std::move(listener));
  runtime::start(executor_, "held requests", load());
}

bool SuspectRows::restore(const ports::Record& record, ports::StoreTime now) {
  const std::optional<SuspectRow> row = decode_suspect_row(record.value);
  if (!row) {
    core::log_decision(core::DecisionEvent::kRowUndecodable, {{"key", record.key}});
    return false;
  }
  if (now - row->written_at >= settings_.retention) {
    return false;
  }
  quarantine::Suspect suspect;
  suspect.content = core::RequestFingerprint(record.key);
  suspect.generation = row->generation;
  suspect.ended = row->ended;
  suspect.forget_at = time_.now() + guard_.retention();
  guard_.apply_remote_suspect(suspect);
  return true;
}

asio::awaitable<void> SuspectRows::load() {
  while (true) {
    ports::RecordRange range{kSuspectTable, ""};
    const core::Result<ports::RecordPage> page =
        co_await store_.read(std::move(range), settings_.timeout);
    if (!page) {
      co_await runtime::sleep_for(settings_.retry_delay);
      continue;
    }
    const ports::StoreTime now = page->answered_at.value_or(ports::StoreTime(0));
    std::size_t restored = 0;
    for (const ports::Record& record : page->records) {
      if (restored < settings_.max_rows && restore(record, now)) {
        ++restored;
      } else {
        write(core::RequestFingerprint(record.key), std::nullopt);
      }
    }
    co_return;
  }
}

void SuspectRows::on_suspect(const quarantine::Suspect& suspect) {
  if (guard_.suspects().restriction_of(suspect.content) == quarantine::RunRestriction::kHeld) {
    const ports::StoreTime now = store_.now().value_or(ports::StoreTime(0));
    write(suspect.content, SuspectRow{suspect.generation, suspect.ended, now});
  }
}

void SuspectRows::write(const core::RequestFingerprint& content, std::optional<SuspectRow> row) {
  pending_[content.value()] = std::move(row);
  if (!is_writing_) {
    is_writing_ = true;
    runtime::start(executor_, "held requests", write_all());
  }
}

asio::awaitable<void> SuspectRows::write_all() {
  std::uint32_t attempts = 0;
  while (!pending_.empty()) {
    const auto next = *pending_.begin();
    ports::RecordTransaction transaction;
    const std::optional<std::string> value =
        next.second ? std::optional(encode_suspect_row(*next.second)) : std::nullopt;
    transaction.writes.push_back({kSuspectTable, next.first, value});
    const core::Result<core::Revision> done =
        co_await store_.commit(std::move(transaction), settings_.timeout);
    if (done) {
      written_.Increment();
    } else if (++attempts < settings_.max_write_attempts) {
      co_await runtime::sleep_for(settings_.retry_delay);
      continue;
    } else {
      lost_.Increment();
      core::log_decision(core::DecisionEvent::kCommitFailed,
                         {{"row", next.first}, {"reason", done.error().message}});
    }
    attempts = 0;
    const auto current = pending_.find(next.first);
    if (current != pending_.end() && current->second == next.second) {
      pending_.erase(current);  // a row that changed meanwhile is written again
    }
  }
  is_writing_ = false;
}

}  // namespace stoneport::node
