/// \file
/// History of how long the texts of earlier jobs were, by item: an item whose group is resubmitted
/// in a later job has the same length there. Bounded: the oldest entries are dropped first. Used
/// from the coordinator's thread only.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace stoneport::jobs {

/// Length of the text of an earlier attempt at an item.
struct ObservedLength {
  std::uint64_t events = 0;  ///< number of generated events
  bool whole = false;        ///< whether the text was complete

  bool operator==(const ObservedLength&) const = default;
};

class LengthHistory {
 public:
  /// \param most maximum number of entries
  explicit LengthHistory(std::size_t most = 8192) : most_(most) {}

  /// Records a length. Keeps the more informative one per item: that of a complete text, otherwise
  /// the larger.
  void note(const std::string& item, const ObservedLength& seen);
  std::optional<ObservedLength> find(const std::string& item) const;
  std::size_t size() const { return by_item_.size(); }

 private:
  std::size_t most_;
  std::unordered_map<std::string, ObservedLength> by_item_;
  std::deque<std::string> order_;  ///< oldest first
};

}  // namespace stoneport::jobs
