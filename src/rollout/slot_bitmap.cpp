#include "rollout/slot_bitmap.hpp"

#include <bit>
#include <optional>

namespace stoneport::rollout {
namespace {

constexpr std::size_t kBitsPerByte = 8;
constexpr std::string_view kHexDigits = "0123456789abcdef";

std::size_t byte_count(std::size_t slot_count) {
  return (slot_count + kBitsPerByte - 1) / kBitsPerByte;
}

std::optional<std::uint8_t> digit_value(char digit) {
  const std::size_t value = kHexDigits.find(digit);
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(value);
}

core::Error invalid(std::string message) {
  return core::make_error(core::ErrorCode::kInvalidArgument, std::move(message));
}

}  // namespace

SlotBitmap::SlotBitmap(std::size_t slot_count)
    : slot_count_(slot_count), bytes_(byte_count(slot_count), 0) {}

core::Result<SlotBitmap> SlotBitmap::parse(std::string_view hex, std::size_t slot_count) {
  SlotBitmap bitmap(slot_count);
  if (hex.size() != bitmap.bytes_.size() * 2) {
    return invalid("bitmap has " + std::to_string(hex.size()) + " digits, " +
                   std::to_string(slot_count) + " slots need " +
                   std::to_string(bitmap.bytes_.size() * 2));
  }
  for (std::size_t index = 0; index < bitmap.bytes_.size(); ++index) {
    const auto high = digit_value(hex[index * 2]);
    const auto low = digit_value(hex[index * 2 + 1]);
    if (!high || !low) {
      return invalid("bitmap contains a character that is not a lower-case hexadecimal digit");
    }
    bitmap.bytes_[index] = static_cast<std::uint8_t>(*high << 4 | *low);
  }
  for (std::size_t index = slot_count; index < bitmap.bytes_.size() * kBitsPerByte; ++index) {
    if (bitmap.test(index)) {
      return invalid("bitmap sets a bit past the last slot");
    }
  }
  return bitmap;
}

std::string SlotBitmap::to_hex() const {
  std::string hex;
  hex.reserve(bytes_.size() * 2);
  for (const std::uint8_t byte : bytes_) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 0x0f]);
  }
  return hex;
}

bool SlotBitmap::test(std::size_t index) const {
  return (bytes_[index / kBitsPerByte] >> (index % kBitsPerByte) & 1) != 0;
}

void SlotBitmap::set(std::size_t index) {
  bytes_[index / kBitsPerByte] |= static_cast<std::uint8_t>(1u << (index % kBitsPerByte));
}

std::size_t SlotBitmap::count() const {
  std::size_t total = 0;
  for (const std::uint8_t byte : bytes_) {
    total += static_cast<std::size_t>(std::popcount(byte));
  }
  return total;
}

}  // namespace stoneport::rollout
