#include "controllers/gossip_update_queue.hpp"

#include <algorithm>
#include <tuple>

namespace stoneport::controllers {
namespace {

/// No record is smaller than this.
constexpr std::size_t kMinRecordBytes = 8;
/// Factor on the transmission limit for kDrain. Each member sends an update to random others, so
/// that some member misses all copies now and then and waits for anti-entropy, which is too late
/// for these updates.
constexpr std::uint32_t kDrainTransmissionFactor = 2;

std::uint32_t limit_for(UpdatePriority priority, std::uint32_t transmission_limit) {
  const bool is_drain = priority == UpdatePriority::kDrain;
  return transmission_limit * (is_drain ? kDrainTransmissionFactor : 1);
}

}  // namespace

void GossipUpdateQueue::add(const RecordKey& key, UpdatePriority priority) {
  Entry& entry = entries_.try_emplace(key, Entry{priority, 0}).first->second;
  entry.priority = std::min(entry.priority, priority);
  entry.transmissions = 0;
}

std::vector<GossipUpdateQueue::Entries::iterator> GossipUpdateQueue::in_order() {
  std::vector<Entries::iterator> order;
  order.reserve(entries_.size());
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    order.push_back(entry);
  }
  std::stable_sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return std::tie(left->second.priority, left->second.transmissions) <
           std::tie(right->second.priority, right->second.transmissions);
  });
  return order;
}

void GossipUpdateQueue::fill(const GossipRecords& records, wire::GossipPacket& packet,
                             std::size_t space, std::uint32_t transmission_limit) {
  for (const Entries::iterator position : in_order()) {
    if (space < kMinRecordBytes) {
      return;
    }
    const RecordKey& key = position->first;
    Entry& entry = position->second;
    const bool revision_only = entry.priority == UpdatePriority::kConfiguration;
    const std::size_t used =
        revision_only ? records.append_revision(std::get<core::NodeId>(key), packet, space)
                      : records.append(key, packet, space);
    if (used == 0) {
      continue;
    }
    space -= used;
    ++entry.transmissions;
    if (entry.transmissions >= limit_for(entry.priority, transmission_limit)) {
      entries_.erase(position);
    }
  }
}

}  // namespace stoneport::controllers
