/// \file
/// What the daemons' decision logs tell of one request, job or item, over all
/// processes. Plain code.
#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace stoneport::ctl {

struct TimelineEntry {
  std::int64_t at_ms = 0;  ///< time of day of the process that wrote the line
  std::string node;
  std::string event;
  nlohmann::json fields;    ///< without the three above
  bool is_context = false;  ///< does not name the id; happened around it
};

struct Timeline {
  std::vector<TimelineEntry> entries;  ///< in order of time
  std::uint64_t lines_read = 0;
  std::uint64_t lines_without_json = 0;
  std::uint64_t lines_dropped = 0;  ///< that the processes say they dropped meanwhile
};

/// Reads \p log, one JSON object a line; what stands before the first brace of a
/// line, such as a collector's prefix, is skipped.
/// \return the lines that name \p id, and those of terms, configurations, orders
/// and failed writes between the first and the last of them.
Timeline read_timeline(std::istream& log, const std::string& id);

/// \return one line an entry: seconds since the first, node, event, fields.
std::string describe(const Timeline& timeline);
nlohmann::json to_json(const Timeline& timeline);

}  // namespace stoneport::ctl
