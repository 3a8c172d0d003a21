/// \file
/// The published documents with who published them and when, at one revision:
/// what the table service keeps and what daemons pass to one another. Revisions
/// number the whole configuration 1, 2, 3, ...; each document names the one that
/// changed it last. Documents are never removed, so the documents that changed
/// after a revision are all that a daemon at that revision lacks. Plain code.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "config/configuration.hpp"
#include "config/document.hpp"
#include "core/error.hpp"
#include "core/time.hpp"

namespace stoneport::config {

/// One document as published.
struct DocumentRecord {
  nlohmann::json document;
  core::Revision revision;  ///< of the configuration that first held it so
  std::string author;
  std::string comment;
  core::WallTime published_at;
};

struct ConfigurationRecord {
  core::Revision revision;
  std::map<DocumentKey, DocumentRecord> documents;

  /// \return the document's record, or null.
  const DocumentRecord* find(const DocumentKey& key) const;
};

/// Documents that changed after `since`, and what the whole must hash to. Since
/// zero, they are the whole, whatever the receiver has.
struct ConfigurationDelta {
  core::Revision since;
  ConfigurationRecord changed;  ///< its revision is that of the whole
  std::uint64_t whole_hash = 0;
};

nlohmann::json to_json_value(const DocumentRecord& record);
core::Result<DocumentRecord> document_record_from_json(const nlohmann::json& object);
nlohmann::json to_json_value(const ConfigurationDelta& delta);
core::Result<ConfigurationDelta> delta_from_json(const nlohmann::json& object);

/// \return the hash of the canonical JSON of \p record, its revision included.
std::uint64_t hash_of(const ConfigurationRecord& record);
/// \return a hash as text, and back.
std::string format_hash(std::uint64_t hash);
std::optional<std::uint64_t> parse_hash(const std::string& text);

/// \return what a daemon at \p since lacks of \p record.
ConfigurationDelta delta_since(const ConfigurationRecord& record, core::Revision since);
/// \return \p base with the documents of \p delta in it, at its revision; without
/// \p base where the delta is the whole. It is
/// the whole that the delta was taken from only if its hash is the stated one.
ConfigurationRecord apply_delta(const ConfigurationRecord& base, const ConfigurationDelta& delta);

/// Builds and checks the typed whole. Keys that this program does not know are
/// ignored: a newer one may have published them.
Checked<Configuration> build_configuration(const ConfigurationRecord& record);

}  // namespace stoneport::config
