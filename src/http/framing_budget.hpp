/// \file
/// Bounds what comes with a body besides its own bytes: sizes, extensions and line ends of chunks,
/// and trailer fields. A limit on the body alone would let them come without end.
#pragma once

#include <cstddef>
#include <cstdint>

namespace stoneport::http {

class FramingBudget {
 public:
  /// Counts one read from the connection.
  /// \param wire_bytes bytes that the read took from the connection, those of the body included
  /// \param body_bytes bytes of the body among them
  /// \return whether the framing so far exceeds what bodies need.
  bool note(std::uint64_t wire_bytes, std::uint64_t body_bytes) {
    framing_bytes_ += wire_bytes - body_bytes;
    body_bytes_ += body_bytes;
    return framing_bytes_ > kSpareBytes + kBytesPerBodyByte * body_bytes_;
  }

 private:
  /// For the trailer, and extensions of the first chunks.
  static constexpr std::uint64_t kSpareBytes = 64 * 1024;
  /// Chunks of one byte have five bytes of framing: a digit and two line ends.
  static constexpr std::uint64_t kBytesPerBodyByte = 8;

  std::uint64_t framing_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace stoneport::http
