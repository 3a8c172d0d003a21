/// \file
/// Local copy of one partition of one table, for tables whose rows are used unchanged. Used from
/// the thread of its executor only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "records/table_follower.hpp"

namespace stoneport::records {

class TableMirror {
 public:
  using Records = std::map<std::string, ports::Record>;
  using Listener = std::function<void(const Records&)>;

  /// \param store must outlive the mirror
  /// \param listener called after each change, and once after the first listing
  TableMirror(boost::asio::any_io_executor executor, ports::RecordStore& store, std::string table,
              std::string partition, Listener listener, TableFollowerOptions options = {});
  ~TableMirror();
  TableMirror(const TableMirror&) = delete;
  TableMirror& operator=(const TableMirror&) = delete;

  void start() { follower_.start(); }
  void stop() { follower_.stop(); }
  /// Sets the minimum interval between two answers of the feed.
  void set_feed_interval(core::Duration interval) { follower_.set_feed_interval(interval); }
  bool loaded() const { return follower_.loaded(); }
  const Records& records() const;
  /// \return the store's revision up to which the records are known.
  core::Revision position() const { return follower_.position(); }
  /// \return when the store last answered this mirror.
  core::MonotonicTime last_answer() const { return follower_.last_answer(); }
  /// \return the store's time up to which its changes are known here; nothing before the first
  /// answer, or if answers carry no time.
  std::optional<ports::StoreTime> seen_at() const { return follower_.seen_at(); }

 private:
  struct Copy;
  /// Kept alive while the listener runs, because the listener may destroy the mirror.
  std::shared_ptr<Copy> copy_;
  TableFollower follower_;
};

}  // namespace stoneport::records
