/// \file
/// Requests that were recently served completely; such a request is unlikely to be the cause of a
/// replica's first crash. Bounded; not thread-safe.
#pragma once

#include <deque>
#include <unordered_set>

#include "core/hash.hpp"
#include "core/identifiers.hpp"

namespace stoneport::quarantine {

class ServedContents {
 public:
  /// \param max_contents maximum number of requests, about 60 bytes each
  explicit ServedContents(std::size_t max_contents = 4096) : most_contents_(max_contents) {}

  void note(const core::RequestFingerprint& content) {
    const std::uint64_t hash = core::hash64(content.value());
    if (!hashes_.insert(hash).second) {
      return;
    }
    order_.push_back(hash);
    if (order_.size() > most_contents_) {
      hashes_.erase(order_.front());
      order_.pop_front();
    }
  }
  bool contains(const core::RequestFingerprint& content) const {
    return hashes_.contains(core::hash64(content.value()));
  }

 private:
  std::size_t most_contents_;
  std::unordered_set<std::uint64_t> hashes_;
  std::deque<std::uint64_t> order_;  ///< oldest first
};

}  // namespace stoneport::quarantine
