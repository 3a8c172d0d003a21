/// \file
/// How long the texts of earlier jobs were, by item. An item whose group comes back in a
/// later job has the same length there. Bounded: the oldest are dropped first. Belongs to
/// the coordinator's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace stoneport::jobs {

/// What an earlier attempt at an item told of its text.
struct ObservedLength {
  std::uint64_t events = 0;  ///< that were made
  bool whole = false;        ///< there are no more

  bool operator==(const ObservedLength&) const = default;
};

class LengthHistory {
 public:
  /// \param most entries that are kept
  explicit LengthHistory(std::size_t most = 8192) : most_(most) {}

  /// Keeps what tells more: a whole text's length, else the larger one.
  void note(const std::string& item, const ObservedLength& seen);
  std::optional<ObservedLength> find(const std::string& item) const;
  std::size_t size() const { return by_item_.size(); }

 private:
  std::size_t most_;
  std::unordered_map<std::string, ObservedLength> by_item_;
  std::deque<std::string> order_;  ///< oldest first
};

}  // namespace stoneport::jobs
