#include "usage/usage_records.hpp"

#include <fmt/format.h>

#include <array>

#include "core/json_text.hpp"
#include "core/numbers.hpp"

namespace stoneport::usage {
namespace {

struct StateName {
  ReportState state;
  std::string_view name;
};
constexpr std::array kStateNames = {StateName{ReportState::kFrozen, "frozen"},
                                    StateName{ReportState::kTaken, "taken"},
                                    StateName{ReportState::kGivenUp, "given_up"}};

nlohmann::json encode_counts(const ports::TenantCounts& counts) {
  nlohmann::json encoded = nlohmann::json::object();
  for (const auto& [tenant, count] : counts) {
    encoded[tenant.value()] = count;
  }
  return encoded;
}

ports::TenantCounts decode_counts(const nlohmann::json& value) {
  ports::TenantCounts counts;
  if (!value.is_object()) {
    return counts;
  }
  for (const auto& [tenant, count] : value.items()) {
    if (count.is_number_unsigned()) {
      counts[core::TenantName(tenant)] = count.get<std::uint64_t>();
    }
  }
  return counts;
}

}  // namespace

std::string encode_process_counts(const ProcessCounts& counts) {
  nlohmann::json windows = nlohmann::json::object();
  for (const auto& [window, tenants] : counts.windows) {
    windows[std::to_string(window)] = encode_counts(tenants);
  }
  return core::write_json(
      {{"complete_through", counts.complete_through}, {"windows", std::move(windows)}});
}

std::optional<ProcessCounts> decode_process_counts(std::string_view value) {
  const std::optional<nlohmann::json> json = core::parse_json(value);
  const bool is_whole = json && json->is_object() && json->contains("complete_through") &&
                        (*json)["complete_through"].is_number_unsigned() &&
                        json->contains("windows") && (*json)["windows"].is_object();
  if (!is_whole) {
    return std::nullopt;
  }
  ProcessCounts counts;
  counts.complete_through = (*json)["complete_through"].get<WindowIndex>();
  for (const auto& [key, tenants] : (*json)["windows"].items()) {
    const auto window = core::parse_number<WindowIndex>(key);
    if (window) {
      counts.windows[*window] = decode_counts(tenants);
    }
  }
  return counts;
}

std::string window_key(WindowIndex window) {
  return fmt::format("{:020}", window);
}

std::optional<WindowIndex> parse_window_key(std::string_view key) {
  return core::parse_number<WindowIndex>(key);
}

std::string encode_frozen_window(const FrozenWindow& window) {
  std::string_view state;
  for (const StateName& known : kStateNames) {
    state = known.state == window.state ? known.name : state;
  }
  return core::write_json({{"counts", encode_counts(window.counts)}, {"state", state}});
}

std::optional<FrozenWindow> decode_frozen_window(std::string_view value) {
  const std::optional<nlohmann::json> json = core::parse_json(value);
  const bool is_whole = json && json->is_object() && json->contains("counts") &&
                        json->contains("state") && (*json)["state"].is_string();
  if (!is_whole) {
    return std::nullopt;
  }
  FrozenWindow window;
  window.counts = decode_counts((*json)["counts"]);
  for (const StateName& known : kStateNames) {
    if ((*json)["state"].get<std::string>() == known.name) {
      window.state = known.state;
    }
  }
  return window;
}

}  // namespace stoneport::usage
