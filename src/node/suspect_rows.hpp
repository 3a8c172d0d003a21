/// \file
/// Keeps requests that are held back in the store, so that they are known after all processes
/// have gone at once. Written when the last end is noted and when an operator lets one go, read
/// once in each life of a process; between processes the exchange spreads them. Belongs to the
/// node's thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <optional>
#include <string>

#include "ingress/crash_guard.hpp"
#include "ports/record_store.hpp"

namespace stoneport::node {

inline constexpr const char* kSuspectTable = "held_requests";

struct SuspectRowSettings {
  /// Rows that are older are dropped when they are read. Longer than the processes' own memory
  /// (ten minutes), so that a long outage of all of them loses nothing.
  std::chrono::milliseconds retention = std::chrono::hours(1);
  core::Duration timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(300);
  /// Tries of one write; a store that is away for longer has the row missing.
  std::uint32_t max_write_attempts = 100;
  /// Rows that are read at the start.
  std::size_t max_rows = 256;
};

/// What stands in one row.
struct SuspectRow {
  std::uint64_t generation = 0;
  std::set<core::ReplicaId> ended;
  ports::StoreTime written_at{};

  bool operator==(const SuspectRow&) const = default;
};
std::string encode_suspect_row(const SuspectRow& row);
/// \return nothing for a text that is no row.
std::optional<SuspectRow> decode_suspect_row(const std::string& text);

class SuspectRows {
 public:
  /// All outlive this.
  SuspectRows(boost::asio::any_io_executor executor, ports::RecordStore& store,
              ingress::CrashGuard& guard, const core::TimeSource& time, core::Metrics& metrics,
              SuspectRowSettings settings = {});
  void start();

 private:
  boost::asio::awaitable<void> load();
  boost::asio::awaitable<void> write_all();
  /// Writes \p row under \p content, or removes the row there when it is none.
  void write(const core::RequestFingerprint& content, std::optional<SuspectRow> row);
  void on_suspect(const quarantine::Suspect& suspect);
  /// \return whether the row was taken in; otherwise it is to be dropped.
  bool take(const ports::Record& record, ports::StoreTime now);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  ingress::CrashGuard& guard_;
  const core::TimeSource& time_;
  SuspectRowSettings settings_;
  prometheus::Counter& written_;
  prometheus::Counter& lost_;
  /// Writes that wait, by key; no row removes it.
  std::map<std::string, std::optional<SuspectRow>> waiting_;
  bool is_writing_ = false;
};

}  // namespace stoneport::node
