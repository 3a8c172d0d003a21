#include "jobs/order_announcer.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "jobs/job_records.hpp"
#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;
namespace {
constexpr core::Duration kTimeout = std::chrono::milliseconds(1000);
/// Entries of a transaction besides the announcements: the condition on the term.
constexpr std::size_t kOwnEntries = 1;
}  // namespace

OrderAnnouncer::OrderAnnouncer(asio::any_io_executor executor, ports::RecordStore& store, Term term,
                               const core::TimeSource& time, core::Metrics& metrics)
    : executor_(std::move(executor)),
      store_(store),
      term_(term),
      time_(time),
      transactions_(metrics.counter("stoneport_order_announcements_total",
                                    "Transactions that announce orders to replicas")) {}

asio::awaitable<std::optional<core::MonotonicTime>> OrderAnnouncer::announce(
    std::shared_ptr<OrderAnnouncer> self, core::ReplicaId replica) {
  const auto waiting = std::make_shared<Waiting>(self->executor_, std::move(replica));
  waiting->settled.expires_at(asio::steady_timer::time_point::max());
  self->queue_.push_back(waiting);
  if (!self->is_writing_) {
    self->is_writing_ = true;
    runtime::start(self->executor_, "order announcements", write_all(self));
  }
  while (!waiting->is_settled) {
    co_await waiting->settled.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return waiting->sent_at;
}

std::deque<OrderAnnouncer::WaitingPointer> OrderAnnouncer::take_batch() {
  const std::size_t most = store_.limits().transaction_entries - kOwnEntries;
  const auto count = static_cast<std::ptrdiff_t>(std::min(queue_.size(), most));
  std::deque<WaitingPointer> batch(queue_.begin(), queue_.begin() + count);
  queue_.erase(queue_.begin(), queue_.begin() + count);
  return batch;
}

asio::awaitable<bool> OrderAnnouncer::write(const std::deque<WaitingPointer>& batch) {
  ports::RecordTransaction announcement;
  announcement.partition = std::string(kTermPartition);
  announcement.conditions.push_back(
      {std::string(kTermTable), std::string(kTermKey), term_.revision});
  // Keyed by replica name, because an order in flight reaches any incarnation at the address; two
  // incarnations of a replica share one row of the transaction.
  std::set<std::string> names;
  for (const WaitingPointer& waiting : batch) {
    names.insert(core::replica_name(waiting->replica));
  }
  for (const std::string& name : names) {
    announcement.writes.push_back({std::string(kOrderTable), name, encode_sent_at(store_.now())});
  }
  transactions_.Increment();
  const core::Result<core::Revision> committed =
      co_await store_.commit(std::move(announcement), kTimeout);
  co_return committed.has_value();
}

asio::awaitable<void> OrderAnnouncer::write_all(std::shared_ptr<OrderAnnouncer> self) {
  while (!self->queue_.empty()) {
    const std::deque<WaitingPointer> batch = self->take_batch();
    const core::MonotonicTime sent_at = self->time_.now();
    const bool is_written = co_await self->write(batch);
    for (const WaitingPointer& waiting : batch) {
      waiting->is_settled = true;
      waiting->sent_at = is_written ? std::optional(sent_at) : std::nullopt;
      waiting->settled.cancel();
    }
  }
  self->is_writing_ = false;
}

}  // namespace stoneport::jobs
