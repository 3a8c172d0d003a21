/// \file
/// Follows one partition of one table by the store's feed and tells what has changed. Keeps the
/// revision of each row and not its value, so that a process that needs a table in a form of its
/// own holds it once. Belongs to the thread of its executor.
///
/// A feed may fall silent or lose its history. The table is listed whole at the start and where
/// the history is lost; a listing goes on at the page that failed. A feed that has told nothing
/// for a while is checked against one page of the table, the next page each time: what a quiet
/// table costs a process does not grow with the table. Where a lost history would make every
/// process of a large fleet list a large table at the same moment, or where the feed has more to
/// tell than one answer holds, the part that a process needs is read first and the rest at a pace,
/// while the feed is followed on from there.
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
  /// Least time between two answers of the feed: changes that come meanwhile are read
  /// together, so that a busy table costs each process a bounded number of calls.
  core::Duration feed_interval{};
  /// The feed is checked when it has told nothing for this long.
  core::Duration list_interval = std::chrono::milliseconds(2500);
  core::Duration read_timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(150);
};

/// How a table that was listed whole is read again once its history is lost or far behind. Without
/// a pause it is listed at once, and nothing of it is told before it is whole.
struct RereadOptions {
  /// \return the key at which the part begins that is needed first; read without a pause.
  std::function<std::string()> first_key;
  /// \return how long to wait after a page of so many bytes that took so long to read.
  std::function<core::Duration(std::size_t page_bytes, core::Duration took)> pause;
  /// \return the largest page to read, in bytes; any may be read when this is empty.
  std::function<std::size_t()> most_page_bytes = {};
};

/// How a table differs from what was told before.
struct RowChanges {
  std::vector<ports::Record> written;
  std::vector<std::string> removed;  ///< keys
  /// Further pages of the same listing follow: the table is not whole until then.
  bool more = false;

  bool empty() const { return written.empty() && removed.empty(); }
};

class TableFollower {
 public:
  using Listener = std::function<void(RowChanges)>;

  /// \param store outlives the follower
  /// \param listener called for each change, and for the last page of the first listing also
  /// when it holds nothing
  TableFollower(boost::asio::any_io_executor executor, ports::RecordStore& store, std::string table,
                std::string partition, Listener listener, TableFollowerOptions options = {});
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  void start();
  void stop();
  /// To be called before start().
  void set_reread(RereadOptions options);
  /// Replaces the least time between two answers of the feed.
  void set_feed_interval(core::Duration interval);
  /// \return whether the table was listed whole once.
  bool loaded() const;
  /// \return the store's revision as of which the table is known.
  core::Revision position() const;
  /// \return when the store last answered this follower.
  core::MonotonicTime last_answer() const;
  /// \return the store's time up to which its changes are known here; nothing before the first
  /// answer, or where answers do not name their time.
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
