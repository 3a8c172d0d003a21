/// \file
/// A record store in memory with switches for what the platform's store may do:
/// lose answers before or after the effect, act late, be down, forget its history,
/// answer with an older state. Lives on one io_context.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <vector>

#include "ports/record_store.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::support {

class FakeRecordStore : public ports::RecordStore {
 public:
  struct Faults {
    bool down = false;          ///< refuses; nothing is done
    int lose_answers = 0;       ///< commits that are done and not answered
    int lose_requests = 0;      ///< commits that are neither done nor answered
    int act_late = 0;           ///< commits that are done only by apply_late()
    bool history_lost = false;  ///< feeds are told that the history is gone
    bool stale = false;         ///< reads show the state of freeze_reads()
  };
  Faults faults;
  std::uint64_t commits = 0;
  std::uint64_t reads = 0;
  std::uint64_t feed_answers = 0;  ///< of changes()

  boost::asio::awaitable<core::Result<core::Revision>> commit(ports::RecordTransaction transaction,
                                                              core::Duration timeout) override {
    ++commits;
    // Done in any case, answered in time or not.
    if (latency > timeout) {
      apply(transaction);
      co_await runtime::sleep_for(timeout);
      co_return core::make_error(core::ErrorCode::kOutcomeUnknown, "too slow");
    }
    co_await runtime::sleep_for(latency);
    if (faults.down || commits > most_commits_) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "down");
    }
    if (faults.act_late > 0) {
      --faults.act_late;
      late_.push_back(std::move(transaction));
      co_return core::make_error(core::ErrorCode::kOutcomeUnknown, "no answer");
    }
    if (faults.lose_requests > 0) {
      --faults.lose_requests;
      co_return core::make_error(core::ErrorCode::kOutcomeUnknown, "no answer");
    }
    const core::Result<core::Revision> done = apply(transaction);
    if (faults.lose_answers > 0) {
      --faults.lose_answers;
      co_return core::make_error(core::ErrorCode::kOutcomeUnknown, "no answer");
    }
    co_return done;
  }

  boost::asio::awaitable<core::Result<ports::RecordPage>> read(ports::RecordRange range,
                                                               core::Duration timeout) override {
    (void)timeout;
    ++reads;
    co_await runtime::sleep_for(std::chrono::microseconds(200));
    if (faults.down) {
      co_return core::make_error(core::ErrorCode::kUnavailable, "down");
    }
    const Rows& rows = faults.stale ? frozen_rows_ : rows_;
    const std::size_t most_rows =
        range.most_rows > 0 ? std::min(range.most_rows, page_size) : page_size;
    ports::RecordPage page;
    page.revision = core::Revision(faults.stale ? frozen_revision_ : revision_);
    page.answered_at = answered_at();
    for (const auto& [place, record] : rows) {
      const auto& [table, partition, key] = place;
      const bool is_below_end = range.end_key.empty() || key < range.end_key;
      if (table != range.table || partition != range.partition || key < range.first_key ||
          !is_below_end) {
        continue;
      }
      if (page.records.size() == most_rows) {
        page.more = true;
        break;
      }
      page.records.push_back(record);
    }
    co_return page;
  }

  boost::asio::awaitable<core::Result<ports::RecordPage>> changes(std::string table,
                                                                  core::Revision after,
                                                                  core::Duration wait) override {
    const auto give_up_at = std::chrono::steady_clock::now() + wait;
    while (true) {
      if (faults.down) {
        co_return core::make_error(core::ErrorCode::kUnavailable, "down");
      }
      if (faults.history_lost) {
        co_return core::make_error(core::ErrorCode::kNotFound, "gone");
      }
      ports::RecordPage page;
      page.revision = core::Revision(revision_);
      page.answered_at = answered_at();
      for (const ports::Record& record : log_) {
        if (page.records.size() == feed_page_size) {
          page.more = true;
          page.revision = page.records.back().revision;
          break;
        }
        const bool is_hidden = record.key == hidden_from_feed;
        if (record.table == table && record.revision > after && !is_hidden) {
          page.records.push_back(record);
        }
      }
      if (!page.records.empty() || std::chrono::steady_clock::now() >= give_up_at) {
        ++feed_answers;
        co_return page;
      }
      co_await runtime::sleep_for(std::chrono::milliseconds(1));
    }
  }

  std::optional<ports::StoreTime> now() const override {
    return std::chrono::duration_cast<ports::StoreTime>(
        std::chrono::steady_clock::now().time_since_epoch());
  }
  core::MonotonicTime last_answer() const override {
    const auto now = std::chrono::time_point_cast<core::Duration>(core::MonotonicClock::now());
    return now - silent_for;
  }
  core::MonotonicTime last_served() const override { return last_answer(); }
  core::Revision newest() const override { return core::Revision(revision_); }
  ports::RecordStoreLimits limits() const override { return store_limits; }

  /// Refuses every commit behind the next \p count.
  void fail_after(std::uint64_t count) { most_commits_ = commits + count; }
  /// Carries out the commits that were held back, in order.
  void apply_late() {
    for (const ports::RecordTransaction& transaction : late_) {
      apply(transaction);
    }
    late_.clear();
  }
  /// Reads show the present state from now on, while faults.stale holds.
  void freeze_reads() {
    frozen_rows_ = rows_;
    frozen_revision_ = revision_;
  }
  /// \return the values of a table by key, whatever the partition.
  std::map<std::string, std::string> table(std::string_view name) const {
    std::map<std::string, std::string> values;
    for (const auto& [place, record] : rows_) {
      if (std::get<0>(place) == name) {
        values[std::get<2>(place)] = record.value;
      }
    }
    return values;
  }
  core::Result<core::Revision> apply(const ports::RecordTransaction& transaction) {
    for (const ports::RecordCondition& condition : transaction.conditions) {
      const auto found = rows_.find({condition.table, transaction.partition, condition.key});
      const core::Revision present =
          found == rows_.end() ? core::Revision() : found->second.revision;
      if (present != condition.revision) {
        return core::make_error(core::ErrorCode::kConflict, "condition of " + condition.key);
      }
    }
    ++revision_;
    for (const ports::RecordWrite& write : transaction.writes) {
      ports::Record record{write.table,
                           transaction.partition,
                           write.key,
                           write.value.value_or(""),
                           core::Revision(revision_),
                           !write.value.has_value()};
      log_.push_back(record);
      const Place place{write.table, transaction.partition, write.key};
      if (write.value) {
        rows_[place] = record;
      } else {
        rows_.erase(place);
      }
    }
    return core::Revision(revision_);
  }

  std::size_t page_size = 500;
  std::size_t feed_page_size = std::numeric_limits<std::size_t>::max();
  std::string hidden_from_feed;  ///< changes() passes over the rows of this key
  core::Duration latency = std::chrono::microseconds(200);  ///< of commits
  core::Duration silent_for{};                              ///< what last_answer() tells
  core::Duration answer_age{};  ///< answers are read this long after they were given
  ports::RecordStoreLimits store_limits;

 private:
  std::optional<ports::StoreTime> answered_at() const {
    return *now() - std::chrono::duration_cast<ports::StoreTime>(answer_age);
  }

  using Place = std::tuple<std::string, std::string, std::string>;
  using Rows = std::map<Place, ports::Record>;
  Rows rows_;
  Rows frozen_rows_;
  std::vector<ports::Record> log_;
  std::vector<ports::RecordTransaction> late_;
  std::uint64_t revision_ = 0;
  std::uint64_t most_commits_ = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t frozen_revision_ = 0;
};

/// One process's way to a store that several share; cut, nothing passes.
class CuttableRecordStore : public ports::RecordStore {
 public:
  explicit CuttableRecordStore(FakeRecordStore& store) : store_(store) {}
  bool cut = false;

  boost::asio::awaitable<core::Result<core::Revision>> commit(ports::RecordTransaction transaction,
                                                              core::Duration timeout) override {
    if (cut) {
      co_await runtime::sleep_for(std::chrono::milliseconds(5));
      co_return core::make_error(core::ErrorCode::kUnavailable, "cut");
    }
    co_return co_await store_.commit(std::move(transaction), timeout);
  }
  boost::asio::awaitable<core::Result<ports::RecordPage>> read(ports::RecordRange range,
                                                               core::Duration timeout) override {
    if (cut) {
      co_await runtime::sleep_for(std::chrono::milliseconds(5));
      co_return core::make_error(core::ErrorCode::kUnavailable, "cut");
    }
    co_return co_await store_.read(std::move(range), timeout);
  }
  boost::asio::awaitable<core::Result<ports::RecordPage>> changes(std::string table,
                                                                  core::Revision after,
                                                                  core::Duration wait) override {
    if (cut) {
      co_await runtime::sleep_for(std::chrono::milliseconds(5));
      co_return core::make_error(core::ErrorCode::kUnavailable, "cut");
    }
    co_return co_await store_.changes(std::move(table), after, wait);
  }
  std::optional<ports::StoreTime> now() const override { return store_.now(); }
  core::MonotonicTime last_answer() const override { return store_.last_answer(); }
  core::MonotonicTime last_served() const override { return store_.last_served(); }
  core::Revision newest() const override { return cut ? core::Revision() : store_.newest(); }
  ports::RecordStoreLimits limits() const override { return store_.limits(); }

 private:
  FakeRecordStore& store_;
};

}  // namespace stoneport::support
