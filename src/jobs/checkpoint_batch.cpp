#include "jobs/checkpoint_batch.hpp"

namespace stoneport::jobs {
namespace {

/// \return whether the store lacks events of a text that is not listed yet.
bool needs_checkpoint(const ItemProgress& item) {
  const bool is_done = item.state == ItemState::kListed || item.state == ItemState::kReady;
  return !is_done && item.text.checkpointed < item.text.events.size();
}

Checkpoint new_events(const std::string& id, const ItemText& text) {
  Checkpoint checkpoint;
  checkpoint.item = id;
  checkpoint.lineage = text.lineage;
  checkpoint.first_event = text.checkpointed + 1;
  const auto from = static_cast<std::ptrdiff_t>(text.checkpointed);
  checkpoint.events.assign(text.events.begin() + from, text.events.end());
  checkpoint.versions.assign(text.versions.begin() + from, text.versions.end());
  return checkpoint;
}

}  // namespace

std::uint64_t CheckpointBatch::mark_durable() const {
  std::uint64_t events = 0;
  for (const CheckpointedText& entry : texts) {
    ItemText& text = entry.job->items[entry.item].text;
    if (text.lineage == entry.lineage && entry.up_to > text.checkpointed) {
      events += entry.up_to - text.checkpointed;
      text.checkpointed = entry.up_to;
    }
  }
  return events;
}

CheckpointBatch collect_checkpoints(const std::vector<OpenJobPointer>& jobs,
                                    std::size_t most_writes, std::size_t most_bytes,
                                    std::size_t record_bytes) {
  CheckpointBatch batch;
  std::size_t bytes = 0;
  for (const OpenJobPointer& job : jobs) {
    for (std::size_t index = 0; index < job->items.size(); ++index) {
      const ItemProgress& item = job->items[index];
      if (!needs_checkpoint(item)) {
        continue;
      }
      if (batch.writes.size() >= most_writes || bytes >= most_bytes) {
        return batch;
      }
      const Checkpoint checkpoint = new_events(job->job.items[index].id, item.text);
      ports::RecordWrite write = encode_checkpoint(job->job.id, checkpoint);
      if (write.value->size() > record_bytes) {
        continue;  // too large for one interval: restarts from the beginning after a takeover
      }
      bytes += write.value->size();
      batch.writes.push_back(std::move(write));
      batch.texts.push_back({job, index, item.text.lineage, item.text.events.size()});
    }
  }
  return batch;
}

}  // namespace stoneport::jobs
