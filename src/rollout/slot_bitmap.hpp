/// \file
/// Set of slots as a bitmap, with the hexadecimal encoding of the trainer interface: bit i is in
/// byte i / 8, least significant bit first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace stoneport::rollout {

/// Fixed-size set of slot indices.
class SlotBitmap {
 public:
  explicit SlotBitmap(std::size_t slot_count);

  /// \return the bitmap, or kInvalidArgument if the length does not match \p slot_count, a
  /// character is not a lower-case hexadecimal digit, or a bit past the last slot is set.
  static core::Result<SlotBitmap> parse(std::string_view hex, std::size_t slot_count);
  std::string to_hex() const;

  std::size_t size() const { return slot_count_; }
  bool test(std::size_t index) const;
  void set(std::size_t index);
  std::size_t count() const;

 private:
  std::size_t slot_count_;
  std::vector<std::uint8_t> bytes_;
};

}  // namespace stoneport::rollout
