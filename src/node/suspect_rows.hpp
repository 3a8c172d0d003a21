/// \file
/// Persists quarantined requests in the store, so that they survive a restart of all processes. A
/// row is written when the crash that leads to the quarantine is recorded, removed when an operator
/// releases the request, and read once at process start; SuspectExchange distributes the state
/// between running processes. Use it on the node's thread only.
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
  /// Age above which a row is dropped when it is read. Longer than the in-memory retention (ten
  /// minutes), so that a long outage of all processes loses nothing.
  std::chrono::milliseconds retention = std::chrono::hours(1);
  core::Duration timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(300);
  /// Maximum number of attempts of one write; after that the row is missing from the store.
  std::uint32_t max_write_attempts = 100;
  /// Maximum number of rows restored at the start; the rest is deleted.
  std::size_t max_rows = 256;
};

/// Content of one row.
struct SuspectRow {
  std::uint64_t generation = 0;
  std::set<core::ReplicaId> ended;
  ports::StoreTime written_at{};

  bool operator==(const SuspectRow&) const = default;
};
std::string encode_suspect_row(const SuspectRow& row);
/// \return the row; nullopt if \p text is malformed.
std::optional<SuspectRow> decode_suspect_row(const std::string& text);

class SuspectRows {
 public:
  /// All references must outlive this object.
  SuspectRows(boost::asio::any_io_executor executor, ports::RecordStore& store,
              ingress::CrashGuard& guard, const core::TimeSource& time, core::Metrics& metrics,
              SuspectRowSettings settings = {});
  void start();

 private:
  boost::asio::awaitable<void> load();
  boost::asio::awaitable<void> write_all();
  /// Writes \p row for \p content in the background, or removes the row if it is nullopt.
  void write(const core::RequestFingerprint& content, std::optional<SuspectRow> row);
  void on_suspect(const quarantine::Suspect& suspect);
  /// \return whether the row was applied; otherwise it is to be deleted.
  bool restore(const ports::Record& record, ports::StoreTime now);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  ingress::CrashGuard& guard_;
  const core::TimeSource& time_;
  SuspectRowSettings settings_;
  prometheus::Counter& written_;
  prometheus::Counter& lost_;
  /// Pending writes by key; nullopt deletes the row.
  std::map<std::string, std::optional<SuspectRow>> pending_;
  bool is_writing_ = false;
};

}  // namespace stoneport::node
