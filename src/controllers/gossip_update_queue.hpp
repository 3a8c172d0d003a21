/// \file
/// Queue of changed records that still have to be sent to other members, by priority. Owned
/// by one GossipState.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "controllers/gossip_records.hpp"

namespace stoneport::controllers {

/// Higher-priority updates go into a packet first.
enum class UpdatePriority : std::uint8_t {
  kDrain,          ///< drain marks, notices of evacuated zones and policy versions
  kLiveness,       ///< joined, suspect, dead, refuted
  kConfiguration,  ///< a member's configuration revision
};

class GossipUpdateQueue {
 public:
  /// Adds \p key, or resets its transmission count.
  void add(const RecordKey& key, UpdatePriority priority);
  /// Fills \p packet with up to \p space bytes of records, by priority and then by fewest
  /// transmissions. A record that has been sent \p transmission_limit times is removed, one of
  /// kDrain after twice as many.
  void fill(const GossipRecords& records, wire::GossipPacket& packet, std::size_t space,
            std::uint32_t transmission_limit);
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    UpdatePriority priority = UpdatePriority::kLiveness;
    std::uint32_t transmissions = 0;
  };
  using Entries = std::map<RecordKey, Entry>;
  /// \return the entries, by priority and then by fewest transmissions
  std::vector<Entries::iterator> in_order();
  Entries entries_;
};

}  // namespace stoneport::controllers
