/// \file
/// One document that operators publish: a template or a tenant's parameters, as
/// TOML at the command line, as JSON in the table service, as a struct in code.
/// Plain code.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "config/configuration.hpp"
#include "config/problem.hpp"
#include "config/source_document.hpp"

namespace stoneport::config {

/// Names are unique within a group.
enum class DocumentGroup { kTemplates, kParameters };

std::string_view to_string(DocumentGroup group);
/// \return the group that to_string() names so.
std::optional<DocumentGroup> parse_group(std::string_view text);

struct DocumentKey {
  DocumentGroup group = DocumentGroup::kTemplates;
  std::string name;
  auto operator<=>(const DocumentKey&) const = default;
};

/// \return "templates/NAME" or "parameters/NAME".
std::string to_string(const DocumentKey& key);
std::optional<DocumentKey> parse_document_key(std::string_view text);

using Document = std::variant<EventTemplate, ServiceTemplate, TenantParameters>;

DocumentKey key_of(const Document& document);

enum class UnknownKeys {
  kRefuse,  ///< what operators hand in
  kIgnore,  ///< what is stored: a newer daemon may have written it
};

/// Reads and checks one document.
/// \return every problem of the document by itself.
Checked<Document> read_document(const SourceDocument& source,
                                UnknownKeys unknown_keys = UnknownKeys::kRefuse);

/// \return the document with every field that is set; dump() of it is canonical.
nlohmann::json write_document(const Document& document);
/// \return the document as the TOML that read_document() takes.
std::string document_to_toml(const Document& document);

/// One key in which two documents differ; null on the side that lacks it.
struct DocumentChange {
  std::string key;
  nlohmann::json before;
  nlohmann::json after;
  bool operator==(const DocumentChange&) const = default;
};

/// \return the changes from \p before to \p after in order of key. Either may be
/// null, for a document that does not exist.
std::vector<DocumentChange> diff_documents(const nlohmann::json& before,
                                           const nlohmann::json& after);
nlohmann::json to_json_value(const std::vector<DocumentChange>& changes);

}  // namespace stoneport::config
