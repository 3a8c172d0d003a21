/// \file
/// How usage lies in the store: what each process has counted, and each window's counts as
/// they are reported. Plain code.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "usage/usage_counter.hpp"

namespace stoneport::usage {

/// What each process writes for itself; apart from all other writes.
inline constexpr std::string_view kCountPartition = "usage";
inline constexpr std::string_view kCountTable = "stoneport-usage-counts";
/// One record a window, in the partition of the term; once there, its counts never change.
inline constexpr std::string_view kWindowTable = "stoneport-usage-window";

/// What one life of one process has counted; its key is that life's name.
struct ProcessCounts {
  WindowIndex complete_through = 0;  ///< nothing of this window and those before is open
  WindowCounts windows;
};

enum class ReportState {
  kFrozen,   ///< to be sent, possibly sent already
  kTaken,    ///< the platform has it
  kGivenUp,  ///< too late to be of use
};

struct FrozenWindow {
  ports::TenantCounts counts;
  ReportState state = ReportState::kFrozen;
};

std::string encode_process_counts(const ProcessCounts& counts);
std::optional<ProcessCounts> decode_process_counts(std::string_view value);

std::string window_key(WindowIndex window);
std::optional<WindowIndex> parse_window_key(std::string_view key);
std::string encode_frozen_window(const FrozenWindow& window);
std::optional<FrozenWindow> decode_frozen_window(std::string_view value);

}  // namespace stoneport::usage
