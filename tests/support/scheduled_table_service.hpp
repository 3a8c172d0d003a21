/// \file
/// A table service whose calls wait until a test ends them, one at a time, with
/// or without a fault. The test's random source is the scheduler.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/random.hpp"
#include "support/memory_tables.hpp"

namespace stoneport::support {

/// A point at which a coroutine waits for the scheduler.
struct WaitingCall {
  int owner = 0;                                  ///< which process life waits
  std::optional<ports::Transaction> transaction;  ///< of a commit
  std::function<void()> end;                      ///< sets the answer
  std::shared_ptr<boost::asio::steady_timer> timer;
};

/// The store and its network, shared by all processes of a schedule.
class ScheduledStore {
 public:
  explicit ScheduledStore(core::RandomSource& random) : random_(random) {}

  MemoryTables tables;
  bool down = false;
  bool skip_conditions = false;  ///< the mechanism off, to see that the check can fail

  /// Suspends the caller until the scheduler resumes it.
  boost::asio::awaitable<void> wait(int owner, std::optional<ports::Transaction> transaction,
                                    std::function<void()> end) {
    WaitingCall call{owner, std::move(transaction), std::move(end), nullptr};
    const auto executor = co_await boost::asio::this_coro::executor;
    call.timer = std::make_shared<boost::asio::steady_timer>(
        executor, boost::asio::steady_timer::time_point::max());
    const auto timer = call.timer;
    waiting_.push_back(std::move(call));
    co_await timer->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  bool has_waiting() const { return !waiting_.empty(); }
  bool has_delayed() const { return !delayed_.empty(); }

  /// Ends one waiting call at random.
  void resume_one() {
    const std::size_t chosen = random_.uniform(0, waiting_.size() - 1);
    const WaitingCall call = waiting_[chosen];
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(chosen));
    call.end();
    call.timer->cancel();
  }

  /// Lets one transaction arrive whose sender has long given up.
  void deliver_one() {
    const std::size_t chosen = random_.uniform(0, delayed_.size() - 1);
    const ports::Transaction transaction = delayed_[chosen];
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(chosen));
    (void)apply(transaction);
  }

  /// Forgets the calls of a process that died; what it had sent may still arrive.
  void drop_owner(int owner) {
    for (const WaitingCall& call : waiting_) {
      if (call.owner == owner && call.transaction && random_.chance(0.5)) {
        delayed_.push_back(*call.transaction);
      }
    }
    std::erase_if(waiting_, [owner](const WaitingCall& call) { return call.owner == owner; });
  }

  core::Result<core::Revision> commit(const ports::Transaction& transaction, double fault) {
    if (down) {
      return core::make_error(core::ErrorCode::kUnavailable, "down");
    }
    const core::Error lost = core::make_error(core::ErrorCode::kOutcomeUnknown, "answer lost");
    if (!random_.chance(fault)) {
      return apply(transaction);
    }
    switch (random_.uniform(0, 3)) {
      case 0:  // lost on the way there
        return lost;
      case 1:  // held up on the way there
        delayed_.push_back(transaction);
        return lost;
      case 2:  // lost on the way back
        (void)apply(transaction);
        return lost;
      default:  // delivered twice
        delayed_.push_back(transaction);
        return apply(transaction);
    }
  }

 private:
  core::Result<core::Revision> apply(ports::Transaction transaction) {
    if (skip_conditions) {
      transaction.conditions.clear();
    }
    return tables.commit(transaction);
  }

  core::RandomSource& random_;
  std::vector<WaitingCall> waiting_;
  std::vector<ports::Transaction> delayed_;
};

/// One process's client of a ScheduledStore.
class ScheduledTableService : public ports::TableService {
 public:
  /// \p fault_rate is read at each call, so that a test can end the faults.
  ScheduledTableService(ScheduledStore& store, int owner, const double& fault_rate)
      : store_(store), owner_(owner), fault_rate_(fault_rate) {}

  boost::asio::awaitable<core::Result<std::optional<ports::Row>>> read(
      ports::RowKey key, ports::TablePriority) override {
    auto answer = std::make_shared<core::Result<std::optional<ports::Row>>>(std::nullopt);
    std::function<void()> end = [this, key, answer] {
      if (store_.down) {
        *answer = core::make_error(core::ErrorCode::kUnavailable, "down");
      } else {
        *answer = store_.tables.find(key);
      }
    };
    co_await store_.wait(owner_, std::nullopt, std::move(end));
    co_return *answer;
  }

  boost::asio::awaitable<core::Result<std::vector<ports::Row>>> scan(
      std::string table, std::string prefix, core::Revision after, ports::TablePriority) override {
    co_return store_.tables.scan(table, prefix, after);
  }

  boost::asio::awaitable<core::Result<core::Revision>> commit(ports::Transaction transaction,
                                                              ports::TablePriority) override {
    auto answer = std::make_shared<core::Result<core::Revision>>(core::Revision());
    std::function<void()> end = [this, transaction, answer] {
      *answer = store_.commit(transaction, fault_rate_);
    };
    co_await store_.wait(owner_, transaction, std::move(end));
    co_return *answer;
  }

 private:
  ScheduledStore& store_;
  int owner_;
  const double& fault_rate_;
};

}  // namespace stoneport::support
