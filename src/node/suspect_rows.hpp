/// \file
/// Persists quarantined requests in the store, so that they survive a restart of all processes. A
/// row is written when the quarantine begins, removed when the request is cleared, and read once at
/// process start; a row of a request that stays held is written again before it is too old to be
/// read. SuspectExchange distributes the state between running processes. Often no process
/// observes all crashes that lead to a quarantine, and several merge them at the same time: a few
/// of them, in an order that all compute alike, check that the row exists and write it otherwise.
/// Use it on the node's thread only.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
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
  /// Age above which the row of a request that is still held is written again.
  std::chrono::milliseconds renewal = std::chrono::minutes(30);
  /// Interval at which rows of that age are looked for.
  core::Duration renewal_check = std::chrono::minutes(1);
  core::Duration timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(300);
  /// Maximum number of attempts of one write; after that the row is missing from the store.
  std::uint32_t max_write_attempts = 100;
  /// Maximum number of rows restored at the start; the rest is deleted.
  std::size_t max_rows = 256;
  /// Number of processes that check whether a row is missing; the others only do when these end.
  std::size_t writers = 3;
  /// Delay of each of them behind the one before, which needs a read and a write meanwhile.
  core::Duration writer_delay = std::chrono::milliseconds(400);
  /// Interval at which the other processes check whether they have become one of the writers, and
  /// longest interval between two attempts while the store fails.
  core::Duration recheck_interval = std::chrono::seconds(5);
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
  /// Number of live processes that write the row of a request before this one.
  using Rank = std::function<std::size_t(const core::RequestFingerprint&)>;
  /// \param rank used from now on; without it this process is the first one
  void set_rank(Rank rank) { rank_ = std::move(rank); }
  void start();

 private:
  enum class RowOrigin {
    kSeen,         ///< read from the store
    kWrittenHere,  ///< this process has begun to write it
  };
  /// A row that may be in the store.
  struct KnownRow {
    RowOrigin origin = RowOrigin::kSeen;
    core::MonotonicTime renew_at{};
  };
  /// A held request whose row is not known to be in the store, or is to be renewed.
  struct Unstored {
    core::MonotonicTime held_since{};
    core::MonotonicTime next_check{};
    core::Duration retry_delay{};
  };

  boost::asio::awaitable<void> load();
  boost::asio::awaitable<void> renew_rows();
  /// Has the row of a held request checked, and written if it is missing or old.
  void check_row(const core::RequestFingerprint& content);
  boost::asio::awaitable<void> store_held();
  /// Reads the row of \p content and writes it if it is missing.
  boost::asio::awaitable<void> store_if_missing(core::RequestFingerprint content);
  /// \return a held request whose row this process should check now.
  std::optional<core::RequestFingerprint> take_due();
  /// \return whether it is this process's turn to check \p content; sets the next check otherwise.
  bool is_due(const core::RequestFingerprint& content, Unstored& unstored) const;
  bool is_held(const core::RequestFingerprint& content) const;
  /// \return whether \p record makes another write for \p suspect unnecessary.
  bool covers(const ports::Record& record, ports::StoreTime now,
              const quarantine::Suspect& suspect);
  /// \param age time since the row was written
  void note_row(const core::RequestFingerprint& content, RowOrigin origin,
                std::chrono::milliseconds age);
  void write_held(const quarantine::Suspect& suspect);
  boost::asio::awaitable<void> write_all();
  /// Writes \p row for \p content in the background, or removes the row if it is nullopt.
  void write(const core::RequestFingerprint& content, std::optional<SuspectRow> row);
  void on_suspect(const quarantine::Suspect& suspect);
  void on_held(const quarantine::Suspect& suspect);
  /// Removes the row of a request that is not held any more, if this process is to.
  void on_cleared(const core::RequestFingerprint& content);
  /// Gives up a write; the row of a request that is still held is checked again later.
  void on_write_lost(const std::string& key, const core::Error& error);
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
  Rank rank_ = [](const core::RequestFingerprint&) { return std::size_t{0}; };
  std::map<core::RequestFingerprint, Unstored> unstored_;
  bool is_storing_ = false;
  std::map<core::RequestFingerprint, KnownRow> rows_;
};

}  // namespace stoneport::node
