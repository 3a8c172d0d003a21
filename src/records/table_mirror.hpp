/// \file
/// A copy of one partition of one table, kept up to date by the store's feed and,
/// as a feed may fall silent or lose its history, by listing again. Belongs to the
/// thread of its executor.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "ports/record_store.hpp"

namespace stoneport::records {

struct TableMirrorOptions {
  core::Duration feed_wait = std::chrono::milliseconds(800);
  /// Least time between two answers of the feed: changes that come meanwhile are read
  /// together, so that a busy table costs each process a bounded number of calls.
  core::Duration feed_interval{};
  /// A table is listed again when the feed has told nothing for this long.
  core::Duration list_interval = std::chrono::milliseconds(2500);
  core::Duration read_timeout = std::chrono::milliseconds(1000);
  core::Duration retry_delay = std::chrono::milliseconds(150);
};

class TableMirror {
 public:
  using Records = std::map<std::string, ports::Record>;
  using Listener = std::function<void(const Records&)>;

  /// \param store outlives the mirror
  /// \param listener called after each change, and once after the first listing
  TableMirror(boost::asio::any_io_executor executor, ports::RecordStore& store, std::string table,
              std::string partition, Listener listener, TableMirrorOptions options = {});
  ~TableMirror();
  TableMirror(const TableMirror&) = delete;
  TableMirror& operator=(const TableMirror&) = delete;

  void start();
  void stop();
  bool loaded() const;
  const Records& records() const;
  /// \return the store's revision as of which the records are known.
  core::Revision position() const;
  /// \return when the store last answered this mirror.
  core::MonotonicTime last_answer() const;
  /// \return the store's time up to which its changes are known here; nothing before the first
  /// answer, or where answers do not name their time.
  std::optional<ports::StoreTime> seen_at() const;

 private:
  struct State;
  static boost::asio::awaitable<void> run(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> list(std::shared_ptr<State> state);
  static boost::asio::awaitable<bool> follow(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace stoneport::records
