#include "node/suspect_rows.hpp"

#include <nlohmann/json.hpp>

#include "core/decision_log.hpp"
#include "core/json_text.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::node {
namespace asio = boost::asio;
namespace {

/// Interval at which due checks of missing rows are looked for.
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(50);

}  // namespace

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
  listener.on_held = [this](const quarantine::Suspect& suspect) { on_held(suspect); };
  listener.on_cleared_elsewhere = [this](const core::RequestFingerprint& content) {
    on_cleared(content);
  };
  guard_.add_listener(std::move(listener));
  runtime::start(executor_, "held requests", load());
  runtime::start(executor_, "held requests", renew_rows());
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
  note_row(suspect.content, RowOrigin::kSeen, now - row->written_at);
  guard_.apply_remote_suspect(suspect);
  // A late write may have brought back the row of a request that was cleared since.
  const quarantine::Suspect* known = guard_.suspects().find(suspect.content);
  const bool is_stale = known != nullptr && known->generation > suspect.generation;
  if (is_stale) {
    rows_.erase(suspect.content);
  }
  return !is_stale;
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

bool SuspectRows::is_held(const core::RequestFingerprint& content) const {
  return guard_.is_held(content);
}

void SuspectRows::on_suspect(const quarantine::Suspect& suspect) {
  if (suspect.is_cleared()) {
    on_cleared(suspect.content);
  } else if (is_held(suspect.content)) {
    write_held(suspect);
  } else {
    on_cleared(suspect.content);  // crashes were withdrawn
  }
}

void SuspectRows::on_held(const quarantine::Suspect& suspect) {
  if (!rows_.contains(suspect.content)) {
    check_row(suspect.content);
  }
}

void SuspectRows::check_row(const core::RequestFingerprint& content) {
  const core::MonotonicTime now = time_.now();
  unstored_.try_emplace(content, Unstored{now, now, settings_.retry_delay});
  if (!is_storing_) {
    is_storing_ = true;
    runtime::start(executor_, "held requests", store_held());
  }
}

void SuspectRows::on_cleared(const core::RequestFingerprint& content) {
  unstored_.erase(content);
  const auto row = rows_.find(content);
  if (row == rows_.end()) {
    return;
  }
  // Of a row that all processes have read, one removes it.
  if (row->second.origin == RowOrigin::kWrittenHere || rank_(content) == 0) {
    write(content, std::nullopt);
  }
  rows_.erase(row);
}

void SuspectRows::note_row(const core::RequestFingerprint& content, RowOrigin origin,
                           std::chrono::milliseconds age) {
  std::erase_if(
      rows_, [this](const auto& entry) { return guard_.suspects().find(entry.first) == nullptr; });
  rows_[content] = {origin, time_.now() + settings_.renewal - age};
}

void SuspectRows::write_held(const quarantine::Suspect& suspect) {
  const ports::StoreTime now = store_.now().value_or(ports::StoreTime(0));
  unstored_.erase(suspect.content);
  note_row(suspect.content, RowOrigin::kWrittenHere, std::chrono::milliseconds(0));
  write(suspect.content, SuspectRow{suspect.generation, suspect.ended, now});
}

bool SuspectRows::is_due(const core::RequestFingerprint& content, Unstored& unstored) const {
  const core::MonotonicTime now = time_.now();
  if (now < unstored.next_check) {
    return false;
  }
  const std::size_t rank = rank_(content);
  if (rank >= settings_.writers) {
    unstored.next_check = now + settings_.recheck_interval;
    return false;
  }
  unstored.next_check = unstored.held_since + rank * settings_.writer_delay;
  return now >= unstored.next_check;
}

std::optional<core::RequestFingerprint> SuspectRows::take_due() {
  for (auto& [content, unstored] : unstored_) {
    if (is_due(content, unstored)) {
      return content;
    }
  }
  return std::nullopt;
}

asio::awaitable<void> SuspectRows::renew_rows() {
  while (true) {
    co_await runtime::sleep_for(settings_.renewal_check);
    const core::MonotonicTime now = time_.now();
    for (const auto& [content, row] : rows_) {
      if (now >= row.renew_at && is_held(content) && rank_(content) < settings_.writers) {
        check_row(content);
      }
    }
  }
}

asio::awaitable<void> SuspectRows::store_held() {
  while (!unstored_.empty()) {
    const std::optional<core::RequestFingerprint> due = take_due();
    if (due) {
      co_await store_if_missing(*due);
    } else {
      co_await runtime::sleep_for(kCheckInterval);
    }
  }
  is_storing_ = false;
}

bool SuspectRows::covers(const ports::Record& record, ports::StoreTime now,
                         const quarantine::Suspect& suspect) {
  const std::optional<SuspectRow> row = decode_suspect_row(record.value);
  const bool is_current = row && now - row->written_at < settings_.renewal;
  return is_current && row->generation >= suspect.generation && restore(record, now);
}

asio::awaitable<void> SuspectRows::store_if_missing(core::RequestFingerprint content) {
  ports::RecordRange range{kSuspectTable, "", content.value(), ports::key_after(content.value()),
                           1};
  const core::Result<ports::RecordPage> page =
      co_await store_.read(std::move(range), settings_.timeout);
  const auto unstored = unstored_.find(content);
  if (unstored == unstored_.end()) {
    co_return;  // cleared meanwhile
  }
  if (!page) {
    unstored->second.next_check = time_.now() + unstored->second.retry_delay;
    unstored->second.retry_delay =
        std::min(2 * unstored->second.retry_delay, settings_.recheck_interval);
    co_return;
  }
  unstored_.erase(unstored);
  const quarantine::Suspect* suspect = guard_.suspects().find(content);
  if (suspect == nullptr || !is_held(content)) {
    co_return;
  }
  const ports::StoreTime now = page->answered_at.value_or(ports::StoreTime(0));
  const bool is_stored = !page->records.empty() && covers(page->records.front(), now, *suspect);
  if (!is_stored) {
    write_held(*suspect);
  }
}

void SuspectRows::write(const core::RequestFingerprint& content, std::optional<SuspectRow> row) {
  pending_[content.value()] = std::move(row);
  if (!is_writing_) {
    is_writing_ = true;
    runtime::start(executor_, "held requests", write_all());
  }
}

void SuspectRows::on_write_lost(const std::string& key, const core::Error& error) {
  lost_.Increment();
  core::log_decision(core::DecisionEvent::kCommitFailed, {{"row", key}, {"reason", error.message}});
  const core::RequestFingerprint content(key);
  rows_.erase(content);
  if (is_held(content)) {
    on_held(*guard_.suspects().find(content));
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
      on_write_lost(next.first, done.error());
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
