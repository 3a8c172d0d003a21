/// \file
/// Follows one partition of one table through the store's change feed and reports what has changed.
/// Stores the revision of each row but not its value, so that a process that converts a table to a
/// form of its own holds it only once. Used from the thread of its executor only.
///
/// A feed may become silent or lose its history. The whole table is listed at the start and when
/// the history is lost; a listing resumes at the page that failed. A feed that has reported nothing
/// for a while is checked against one page of the table, a different one each time, so that the
/// cost of a quiet table does not grow with its size. When a lost history would make every process
/// of a large fleet list a large table at the same moment, or when the feed has more changes than
/// one answer holds, the part that the process needs most is read first and the rest at a limited
/// pace, while the feed continues from there.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ports/record_store.hpp"

namespace stoneport::records {

struct TableFollowerOptions {
  core::Duration feed_wait = std::chrono::milliseconds(800);
  /// Minimum interval between two answers of the feed: changes in between are read together, so
  /// that a busy table costs each process a bounded number of calls.
  core::Duration feed_interval{};
  /// The feed is checked when it has reported nothing for this long.
  core::Duration list_interval = std::chrono::milliseconds(2500);
  core::Duration read_timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(150);
};

/// How a table is read again after it was listed once and its history was lost or is far behind.
/// Without a pause it is listed at once, and nothing is reported until the listing is complete.
struct RereadOptions {
  /// Returns the first key of the part that is needed most; it is read without a pause.
  std::function<std::string()> first_key;
  /// Returns how long to wait after a page of \p page_bytes that took \p took to read.
  std::function<core::Duration(std::size_t page_bytes, core::Duration took)> pause;
  /// Returns the largest page to read, in bytes; unlimited if empty.
  std::function<std::size_t()> most_page_bytes = {};
};

/// Differences between a table and what was reported before.
struct RowChanges {
  std::vector<ports::Record> written;
  std::vector<std::string> removed;  ///< keys
  /// Further pages of the same listing follow: the table is incomplete until then.
  bool more = false;

  bool empty() const { return written.empty() && removed.empty(); }
};

class TableFollower {
 public:
  using Listener = std::function<void(RowChanges)>;

  /// \param store must outlive the follower
  /// \param listener called for each change, and for the last page of the first listing even if
  /// that is empty
  TableFollower(boost::asio::any_io_executor executor, ports::RecordStore& store, std::string table,
                std::string partition, Listener listener, TableFollowerOptions options = {});
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  void start();
  void stop();
  /// Must be called before start().
  void set_reread(RereadOptions options);
  /// Sets the minimum interval between two answers of the feed.
  void set_feed_interval(core::Duration interval);
  /// \return whether the whole table was listed once.
  bool loaded() const;
  /// \return the store's revision up to which the table is known.
  core::Revision position() const;
  /// \return when the store last answered this follower.
  core::MonotonicTime last_answer() const;
  /// \return the store's time up to which its changes are known here; nothing before the first
  /// answer, or if answers carry no time.
  std::optional<ports::StoreTime> seen_at() const;

 private:
  struct State;
  static boost::asio::awaitable<void> run(std::shared_ptr<State> state);
  /// Each makes one call. \return whether the store answered it.
  static boost::asio::awaitable<bool> list_page(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> check_page(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> reread_page(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> follow(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace stoneport::records
