#include "ctl/decision_timeline.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/json_text.hpp"

namespace stoneport::ctl {
namespace {

/// Around a request, such lines often hold its cause.
constexpr std::array<std::string_view, 9> kContextEvents = {
    "term_began",     "term_ended",      "configuration_in_force", "order_sent",  "commit_failed",
    "version_wanted", "dependency_lost", "dependency_regained",    "process_stop"};
constexpr std::int64_t kContextMs = 1000;

bool names(const nlohmann::json& fields, const std::string& id) {
  return std::any_of(fields.begin(), fields.end(), [&](const nlohmann::json& value) {
    return value.is_string() && value.get_ref<const std::string&>() == id;
  });
}

bool is_context(const TimelineEntry& entry) {
  return std::find(kContextEvents.begin(), kContextEvents.end(), entry.event) !=
         kContextEvents.end();
}

std::optional<TimelineEntry> parse_line(const std::string& line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string::npos) {
    return std::nullopt;
  }
  std::optional<nlohmann::json> fields = core::parse_json(std::string_view(line).substr(brace));
  const bool is_decision = fields && fields->is_object() && fields->contains("event") &&
                           (*fields)["event"].is_string() && fields->contains("at_ms") &&
                           (*fields)["at_ms"].is_number_integer();
  if (!is_decision) {
    return std::nullopt;
  }
  TimelineEntry entry;
  entry.at_ms = (*fields)["at_ms"].get<std::int64_t>();
  entry.event = (*fields)["event"].get<std::string>();
  entry.node = fields->value("node", std::string());
  for (const char* own : {"at_ms", "event", "node"}) {
    fields->erase(own);
  }
  entry.fields = std::move(*fields);
  return entry;
}

/// Keeps what names the id and what happened around that.
std::vector<TimelineEntry> select(std::vector<TimelineEntry> all) {
  std::int64_t first = 0;
  std::int64_t last = 0;
  bool found = false;
  for (const TimelineEntry& entry : all) {
    if (entry.is_context) {
      continue;
    }
    first = found ? std::min(first, entry.at_ms) : entry.at_ms;
    last = found ? std::max(last, entry.at_ms) : entry.at_ms;
    found = true;
  }
  std::erase_if(all, [&](const TimelineEntry& entry) {
    const bool is_near = entry.at_ms >= first - kContextMs && entry.at_ms <= last + kContextMs;
    return entry.is_context && !(found && is_near);
  });
  std::stable_sort(all.begin(), all.end(), [](const TimelineEntry& a, const TimelineEntry& b) {
    return a.at_ms < b.at_ms;
  });
  return all;
}

}  // namespace

Timeline read_timeline(std::istream& log, const std::string& id) {
  Timeline timeline;
  std::vector<TimelineEntry> candidates;
  std::string line;
  while (std::getline(log, line)) {
    ++timeline.lines_read;
    std::optional<TimelineEntry> entry = parse_line(line);
    if (!entry) {
      ++timeline.lines_without_json;
      continue;
    }
    timeline.lines_dropped += entry->fields.value("lines_dropped", std::uint64_t{0});
    if (names(entry->fields, id)) {
      candidates.push_back(std::move(*entry));
    } else if (is_context(*entry)) {
      entry->is_context = true;
      candidates.push_back(std::move(*entry));
    }
  }
  timeline.entries = select(std::move(candidates));
  return timeline;
}

std::string describe(const Timeline& timeline) {
  std::string text;
  for (const TimelineEntry& entry : timeline.entries) {
    const std::int64_t since_ms = entry.at_ms - timeline.entries.front().at_ms;
    text += fmt::format("{:>9.3f} {} {:<24} {}{}\n", static_cast<double>(since_ms) / 1000,
                        entry.is_context ? '.' : '*', entry.node, entry.event,
                        entry.fields.empty() ? "" : " " + core::write_json(entry.fields));
  }
  if (timeline.lines_dropped > 0) {
    text += fmt::format("the processes dropped {} lines of their logs\n", timeline.lines_dropped);
  }
  return text;
}

nlohmann::json to_json(const Timeline& timeline) {
  nlohmann::json entries = nlohmann::json::array();
  for (const TimelineEntry& entry : timeline.entries) {
    entries.push_back({{"at_ms", entry.at_ms},
                       {"node", entry.node},
                       {"event", entry.event},
                       {"context", entry.is_context},
                       {"fields", entry.fields}});
  }
  return {{"entries", std::move(entries)},
          {"lines_read", timeline.lines_read},
          {"lines_without_json", timeline.lines_without_json},
          {"lines_dropped", timeline.lines_dropped}};
}

}  // namespace stoneport::ctl
