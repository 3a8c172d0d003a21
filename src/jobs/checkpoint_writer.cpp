#include "jobs/checkpoint_writer.hpp"

#include "runtime/tasks.hpp"

namespace stoneport::jobs {
namespace asio = boost::asio;

CheckpointWriter::CheckpointWriter(asio::any_io_executor executor, ports::RecordStore& store,
                                   Term term, Jobs jobs, core::Metrics& metrics,
                                   CheckpointSettings settings)
    : executor_(std::move(executor)),
      store_(store),
      term_(term),
      jobs_(std::move(jobs)),
      settings_(settings),
      events_(metrics.counter("stoneport_checkpoint_events_total",
                              "Events of unfinished texts that the store took")),
      failures_(metrics.counter("stoneport_checkpoint_failures_total",
                                "Checkpoints that the store did not confirm")) {}

void CheckpointWriter::start() {
  runtime::start(executor_, "checkpoints", run(shared_from_this()));
}

asio::awaitable<void> CheckpointWriter::run(std::shared_ptr<CheckpointWriter> self) {
  while (!self->stopped_) {
    co_await runtime::sleep_for(self->settings_.interval);
    if (!self->stopped_) {
      co_await self->write();
    }
  }
}

ports::RecordTransaction CheckpointWriter::collect(std::vector<Written>& written) const {
  const ports::RecordStoreLimits limits = store_.limits();
  const auto usable_bytes = static_cast<std::size_t>(settings_.usable_share *
                                                     static_cast<double>(limits.transaction_bytes));
  ports::RecordTransaction transaction;
  transaction.partition = std::string(kJobPartition);
  transaction.conditions.push_back(
      {std::string(kTermTable), std::string(kTermKey), term_.revision});
  std::size_t bytes = 0;
  for (const OpenJobPointer& job : jobs_()) {
    for (std::size_t index = 0; index < job->items.size(); ++index) {
      const ItemProgress& item = job->items[index];
      const bool is_listed = item.state == ItemState::kListed || item.state == ItemState::kReady;
      const bool is_full =
          transaction.writes.size() + 2 >= limits.transaction_entries || bytes >= usable_bytes;
      if (is_listed || is_full || item.text.checkpointed >= item.text.events.size()) {
        continue;
      }
      Checkpoint checkpoint;
      checkpoint.item = job->job.items[index].id;
      checkpoint.lineage = item.text.lineage;
      checkpoint.first_event = item.text.checkpointed + 1;
      const auto from = static_cast<std::ptrdiff_t>(item.text.checkpointed);
      checkpoint.events.assign(item.text.events.begin() + from, item.text.events.end());
      checkpoint.versions.assign(item.text.versions.begin() + from, item.text.versions.end());
      ports::RecordWrite write = encode_checkpoint(job->job.id, checkpoint);
      if (write.value->size() > limits.record_bytes) {
        continue;  // a text this large in one interval starts anew after a take-over
      }
      bytes += write.value->size();
      transaction.writes.push_back(std::move(write));
      written.push_back({job, index, item.text.lineage, item.text.events.size()});
    }
  }
  return transaction;
}

asio::awaitable<void> CheckpointWriter::write() {
  std::vector<Written> written;
  ports::RecordTransaction transaction = collect(written);
  if (written.empty()) {
    co_return;
  }
  const core::Result<core::Revision> committed =
      co_await store_.commit(std::move(transaction), settings_.attempt_timeout);
  if (!committed) {
    failures_.Increment();
    co_return;
  }
  for (const Written& entry : written) {
    ItemText& text = entry.job->items[entry.item].text;
    if (text.lineage == entry.lineage) {
      events_.Increment(static_cast<double>(entry.up_to - text.checkpointed));
      text.checkpointed = entry.up_to;
    }
  }
}

}  // namespace stoneport::jobs
