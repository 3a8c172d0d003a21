#include "jobs/item_text.hpp"

#include <set>

namespace stoneport::jobs {

void ItemText::discard() {
  ++lineage;
  events.clear();
  versions.clear();
  checkpointed = 0;
}

void ItemText::restore(const std::vector<Checkpoint>& checkpoints) {
  for (const Checkpoint& checkpoint : checkpoints) {
    if (checkpoint.lineage > lineage) {
      lineage = checkpoint.lineage;
      events.clear();
      versions.clear();
    }
    const std::uint64_t expected = events.size() + 1;
    const bool is_older = checkpoint.lineage < lineage;
    if (is_older || checkpoint.first_event > expected) {
      continue;
    }
    const std::uint64_t known = expected - checkpoint.first_event;
    for (std::size_t index = known; index < checkpoint.events.size(); ++index) {
      events.push_back(checkpoint.events[index]);
      versions.push_back(checkpoint.versions[index]);
    }
  }
  checkpointed = events.size();
}

std::size_t ItemText::memory_bytes() const {
  std::size_t bytes = events.size() * (sizeof(std::string) + sizeof(std::uint64_t));
  for (const std::string& event : events) {
    bytes += event.size();
  }
  return bytes;
}

std::string ItemText::joined() const {
  std::string text;
  for (std::size_t index = 0; index < events.size(); ++index) {
    if (index > 0) {
      text += '\n';
    }
    text += events[index];
  }
  return text;
}

std::vector<std::uint64_t> ItemText::distinct_versions() const {
  const std::set<std::uint64_t> distinct(versions.begin(), versions.end());
  return {distinct.begin(), distinct.end()};
}

}  // namespace stoneport::jobs
