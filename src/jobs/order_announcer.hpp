/// \file
/// Announces load orders in the store before they are sent to replicas, so that later coordinators
/// know of them. All pending announcements go into one transaction: the store accepts few writes
/// per second in one partition, and a new version is loaded on many replicas at once. Used from the
/// coordinator's thread, for one term.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>

#include "core/metrics.hpp"
#include "jobs/term_keeper.hpp"
#include "ports/record_store.hpp"

namespace stoneport::jobs {

class OrderAnnouncer : public std::enable_shared_from_this<OrderAnnouncer> {
 public:
  /// \param store must outlive this
  OrderAnnouncer(boost::asio::any_io_executor executor, ports::RecordStore& store, Term term,
                 const core::TimeSource& time, core::Metrics& metrics);

  /// \return when the announcement was sent, once the store has confirmed it on the condition that
  /// the term holds; nothing if it was not confirmed, in which case no order may be sent.
  static boost::asio::awaitable<std::optional<core::MonotonicTime>> announce(
      std::shared_ptr<OrderAnnouncer> self, core::ReplicaId replica);

 private:
  struct Waiting {
    Waiting(const boost::asio::any_io_executor& executor, core::ReplicaId id)
        : replica(std::move(id)), settled(executor) {}
    core::ReplicaId replica;
    boost::asio::steady_timer settled;  ///< cancelled once is_settled is set
    bool is_settled = false;
    std::optional<core::MonotonicTime> sent_at;  ///< send time of the confirmed write
  };
  using WaitingPointer = std::shared_ptr<Waiting>;

  static boost::asio::awaitable<void> write_all(std::shared_ptr<OrderAnnouncer> self);
  std::deque<WaitingPointer> take_batch();
  boost::asio::awaitable<bool> write(const std::deque<WaitingPointer>& batch);

  boost::asio::any_io_executor executor_;
  ports::RecordStore& store_;
  Term term_;
  const core::TimeSource& time_;
  std::deque<WaitingPointer> queue_;
  bool is_writing_ = false;
  prometheus::Counter& transactions_;
};

}  // namespace stoneport::jobs
