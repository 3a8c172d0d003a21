/// \file
/// Set of slots as a bitmap, with the hexadecimal form of the trainer
/// interface: bit i stands in byte i / 8, least significant bit first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace stoneport::rollout {

class SlotBitmap {
 public:
  explicit SlotBitmap(std::size_t slot_count);

  /// \return kInvalidArgument for another length than \p slot_count needs, for
  /// anything but lower-case hexadecimal digits, and for a bit past the last slot.
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
