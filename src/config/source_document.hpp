/// \file
/// A flat document of keys and values with the place that each came from,
/// whichever way it was written: TOML, JSON, or flags.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/problem.hpp"

namespace stoneport::config {

/// One key of a document. TOML dates and times become strings.
struct SourceEntry {
  std::string key;
  nlohmann::json value;
  std::string file;
  std::uint32_t line = 0;  ///< 0 where the input has no lines
};

struct SourceDocument {
  std::string name;  ///< stands for the file in problems about missing keys
  std::vector<SourceEntry> entries;

  /// \return the entry of \p key, or null.
  const SourceEntry* find(std::string_view key) const;
};

/// Parses \p text as TOML; \p file is named in problems.
Checked<SourceDocument> source_from_toml(std::string_view text, const std::string& file);
/// Reads and parses the file at \p path.
Checked<SourceDocument> source_from_toml_file(const std::string& path);
/// Takes the members of \p object; \p name stands in problems.
Checked<SourceDocument> source_from_json(const nlohmann::json& object, const std::string& name);

}  // namespace stoneport::config
