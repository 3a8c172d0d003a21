/// \file
/// Which records still have to be told to others, and in what order. Plain
/// state; owned by one GossipState.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "controllers/gossip_records.hpp"

namespace stoneport::controllers {

/// More urgent news goes into a packet first.
enum class NewsPriority : std::uint8_t {
  kDrain,          ///< drain marks, notices of evacuated zones and policy versions
  kLiveness,       ///< joined, suspect, dead, refuted
  kConfiguration,  ///< a member's configuration revision
};

class GossipNewsQueue {
 public:
  /// Puts \p key in, or starts its count of transmissions again.
  void add(const RecordKey& key, NewsPriority priority);
  /// Fills \p packet with the most urgent, least told records, up to \p space
  /// bytes. A record that has been told \p transmission_limit times leaves.
  void fill(const GossipRecords& records, wire::GossipPacket& packet, std::size_t space,
            std::uint32_t transmission_limit);
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    NewsPriority priority = NewsPriority::kLiveness;
    std::uint32_t transmissions = 0;
  };
  using Entries = std::map<RecordKey, Entry>;
  /// \return the entries, most urgent and least told first.
  std::vector<Entries::iterator> in_order();
  Entries entries_;
};

}  // namespace stoneport::controllers
