/// \file
/// Store records of usage: the counts of each process, and the reported counts of each window.
/// Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "usage/usage_counter.hpp"

namespace stoneport::usage {

/// Partition and table of the counts, one record per process. The partition is separate from all
/// other writes.
inline constexpr std::string_view kCountPartition = "usage";
inline constexpr std::string_view kCountTable = "stoneport-usage-counts";
/// Table of frozen windows, one record per window, in the term's partition. The counts of a record
/// never change.
inline constexpr std::string_view kWindowTable = "stoneport-usage-window";

/// Counts of one run of a process; the key is the holder name of that run.
struct ProcessCounts {
  WindowIndex complete_through = 0;  ///< newest window up to which no request is unsettled
  WindowCounts windows;
};

enum class ReportState {
  kFrozen,   ///< not confirmed by the platform, possibly sent already
  kTaken,    ///< accepted by the platform
  kGivenUp,  ///< too late to be sent
};

/// Final counts of one window and the state of their report.
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
