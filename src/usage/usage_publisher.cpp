#include "usage/usage_publisher.hpp"

#include <algorithm>

#include "runtime/tasks.hpp"

namespace stoneport::usage {
namespace asio = boost::asio;

UsagePublisher::UsagePublisher(Inputs inputs, UsagePublisherSettings settings)
    : inputs_(std::move(inputs)),
      settings_(std::move(settings)),
      writes_(inputs_.metrics.counter("stoneport_usage_writes_total",
                                      "Writes of this process's usage counts")),
      failed_writes_(
          inputs_.metrics.counter("stoneport_usage_write_failures_total",
                                  "Writes of usage counts that the store did not confirm")) {}

void UsagePublisher::start() {
  runtime::start(inputs_.executor, "usage counts", run());
}

bool UsagePublisher::has_unwritten_counts() {
  return inputs_.counter.version() != written_version_ ||
         inputs_.counter.complete_through() != written_through_;
}

core::Duration UsagePublisher::interval() const {
  const double share = static_cast<double>(inputs_.process_count()) / settings_.writes_per_second;
  return std::max(settings_.shortest_interval, core::from_seconds(share));
}

asio::awaitable<void> UsagePublisher::reload_revision() {
  ports::RecordRange own{std::string(kCountTable), std::string(kCountPartition), settings_.process,
                         ports::key_after(settings_.process)};
  const core::Result<ports::RecordPage> page =
      co_await inputs_.store.read(std::move(own), settings_.write_timeout);
  if (page && !page->records.empty()) {
    revision_ = page->records.front().revision;
  }
}

asio::awaitable<bool> UsagePublisher::write() {
  const std::uint64_t version = inputs_.counter.version();
  const WindowIndex through = inputs_.counter.complete_through();
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kCountPartition);
  // An earlier write that is applied late must not overwrite this one.
  transaction.conditions.push_back({std::string(kCountTable), settings_.process, revision_});
  transaction.writes.push_back({std::string(kCountTable), settings_.process,
                                encode_process_counts({through, inputs_.counter.counts()})});
  const core::Result<core::Revision> committed =
      co_await inputs_.store.commit(std::move(transaction), settings_.write_timeout);
  if (!committed) {
    failed_writes_.Increment();
    if (committed.error().code == core::ErrorCode::kConflict) {
      co_await reload_revision();
    }
    co_return false;
  }
  writes_.Increment();
  revision_ = *committed;
  written_version_ = version;
  written_through_ = through;
  co_return true;
}

asio::awaitable<void> UsagePublisher::run() {
  while (true) {
    co_await runtime::sleep_for(settings_.tick);
    if (!inputs_.is_wanted() || is_writing_ || !has_unwritten_counts()) {
      continue;
    }
    const auto kept = static_cast<WindowIndex>(settings_.retention / inputs_.clock.window_length());
    inputs_.counter.forget_before(inputs_.clock.current() - kept);
    is_writing_ = true;
    co_await write();
    is_writing_ = false;
    co_await runtime::sleep_for(interval() - settings_.tick);
  }
}

asio::awaitable<void> UsagePublisher::flush(core::Duration limit) {
  const core::MonotonicTime give_up_at = inputs_.time.now() + limit;
  while (inputs_.is_wanted() && has_unwritten_counts() && inputs_.time.now() < give_up_at) {
    if (is_writing_) {
      co_await runtime::sleep_for(settings_.tick);
      continue;
    }
    is_writing_ = true;
    co_await write();
    is_writing_ = false;
  }
}

}  // namespace stoneport::usage
