/// \file
/// How many times this program has asked for memory. Counted by the executable's own
/// operator new (main.cpp); in other programs that link this library it stays zero.
#pragma once

#include <atomic>
#include <cstdint>

namespace stoneport::bench {

/// Grows with each allocation, on any thread.
inline std::atomic<std::uint64_t> allocation_count{0};

}  // namespace stoneport::bench
