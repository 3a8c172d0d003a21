#include "controllers/gossip_news_queue.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::controllers {
namespace {

/// Below this no record fits.
constexpr std::size_t kSmallestRecordBytes = 8;

}  // namespace

void GossipNewsQueue::add(const RecordKey& key, NewsPriority priority) {
  Entry& entry = entries_.try_emplace(key, Entry{priority, 0}).first->second;
  entry.priority = std::min(entry.priority, priority);
  entry.transmissions = 0;
}

std::vector<RecordKey> GossipNewsQueue::in_order() const {
  using Position = std::tuple<NewsPriority, std::uint32_t, const RecordKey*>;
  std::vector<Position> positions;
  positions.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    positions.emplace_back(entry.priority, entry.transmissions, &key);
  }
  std::stable_sort(positions.begin(), positions.end(), [](const auto& left, const auto& right) {
    return std::tie(std::get<0>(left), std::get<1>(left)) <
           std::tie(std::get<0>(right), std::get<1>(right));
  });
  std::vector<RecordKey> keys;
  keys.reserve(positions.size());
  for (const auto& [priority, transmissions, key] : positions) {
    keys.push_back(*key);
  }
  return keys;
}

void GossipNewsQueue::fill(const GossipRecords& records, wire::GossipPacket& packet,
                           std::size_t space, std::uint32_t transmission_limit) {
  for (const RecordKey& key : in_order()) {
    if (space < kSmallestRecordBytes) {
      return;
    }
    Entry& entry = entries_.at(key);
    const bool revision_only = entry.priority == NewsPriority::kConfiguration;
    const std::size_t used =
        revision_only ? records.append_revision(std::get<core::NodeId>(key), packet, space)
                      : records.append(key, packet, space);
    if (used == 0) {
      continue;
    }
    space -= used;
    ++entry.transmissions;
    if (entry.transmissions >= transmission_limit) {
      entries_.erase(key);
    }
  }
}

}  // namespace stoneport::controllers
