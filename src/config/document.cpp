#include "config/document.hpp"

#include <fmt/format.h>

#include <array>
#include <set>

#include "config/document_schemas.hpp"
#include "config/nearest_name.hpp"

namespace stoneport::config {
namespace {

const std::string kKindKey = "kind";

/// Kind, group and schema of each alternative of Document, in its order.
template <class Record>
struct DocumentTraits;
template <>
struct DocumentTraits<EventTemplate> {
  static constexpr const char* kKind = "event-template";
  static constexpr DocumentGroup kGroup = DocumentGroup::kTemplates;
  static const auto& schema() { return event_template_schema(); }
  static const std::string& name(const EventTemplate& record) { return record.name.value(); }
};
template <>
struct DocumentTraits<ServiceTemplate> {
  static constexpr const char* kKind = "service-template";
  static constexpr DocumentGroup kGroup = DocumentGroup::kTemplates;
  static const auto& schema() { return service_template_schema(); }
  static const std::string& name(const ServiceTemplate& record) { return record.name.value(); }
};
template <>
struct DocumentTraits<TenantParameters> {
  static constexpr const char* kKind = "parameters";
  static constexpr DocumentGroup kGroup = DocumentGroup::kParameters;
  static const auto& schema() { return tenant_parameters_schema(); }
  static const std::string& name(const TenantParameters& record) { return record.name; }
};

template <class Record>
using TraitsOf = DocumentTraits<std::decay_t<Record>>;

template <class Record>
SourceDocument fields_of(SourceDocument source, UnknownKeys unknown_keys) {
  const auto is_other = [unknown_keys](const SourceEntry& entry) {
    const auto& fields = TraitsOf<Record>::schema().fields();
    const auto same = [&entry](const FieldDescription& field) { return field.key == entry.key; };
    const bool known = std::any_of(fields.begin(), fields.end(), same);
    return entry.key == kKindKey || (!known && unknown_keys == UnknownKeys::kIgnore);
  };
  std::erase_if(source.entries, is_other);
  return source;
}

template <class Record>
Checked<Document> read_kind(const SourceDocument& source, UnknownKeys unknown_keys) {
  const SourceDocument fields = fields_of<Record>(source, unknown_keys);
  Record record;
  Problems problems = TraitsOf<Record>::schema().read(fields, record);
  if (problems.empty()) {
    append(problems, check_fields(record, fields));
  }
  if (!problems.empty()) {
    return problems;
  }
  return Document(std::move(record));
}

const std::vector<std::string>& kinds() {
  static const std::vector<std::string> all = {DocumentTraits<EventTemplate>::kKind,
                                               DocumentTraits<ServiceTemplate>::kKind,
                                               DocumentTraits<TenantParameters>::kKind};
  return all;
}

Problems kind_problem(const SourceDocument& source) {
  const SourceEntry* entry = source.find(kKindKey);
  const std::string allowed = fmt::format("one of {}", fmt::join(kinds(), ", "));
  if (entry == nullptr) {
    return {problem_at(source, kKindKey, "nothing", allowed)};
  }
  const std::string found = quote(entry->value);
  return {
      problem_at(source, kKindKey, found,
                 fmt::format("{}; the nearest is '{}'", allowed, nearest_name(found, kinds())))};
}

}  // namespace

std::string_view to_string(DocumentGroup group) {
  return group == DocumentGroup::kTemplates ? "templates" : "parameters";
}

std::optional<DocumentGroup> parse_group(std::string_view text) {
  for (const DocumentGroup group : {DocumentGroup::kTemplates, DocumentGroup::kParameters}) {
    if (text == to_string(group)) {
      return group;
    }
  }
  return std::nullopt;
}

std::string to_string(const DocumentKey& key) {
  return fmt::format("{}/{}", to_string(key.group), key.name);
}

std::optional<DocumentKey> parse_document_key(std::string_view text) {
  const std::size_t slash = text.find('/');
  const std::optional<DocumentGroup> group = parse_group(text.substr(0, slash));
  if (slash == std::string_view::npos || !group) {
    return std::nullopt;
  }
  DocumentKey key{*group, std::string(text.substr(slash + 1))};
  return is_valid_name(key.name) ? std::optional<DocumentKey>(std::move(key)) : std::nullopt;
}

DocumentKey key_of(const Document& document) {
  return std::visit(
      [](const auto& record) {
        using Traits = TraitsOf<decltype(record)>;
        return DocumentKey{Traits::kGroup, Traits::name(record)};
      },
      document);
}

Checked<Document> read_document(const SourceDocument& source, UnknownKeys unknown_keys) {
  const SourceEntry* kind = source.find(kKindKey);
  if (kind == nullptr) {
    return kind_problem(source);
  }
  if (kind->value == DocumentTraits<EventTemplate>::kKind) {
    return read_kind<EventTemplate>(source, unknown_keys);
  }
  if (kind->value == DocumentTraits<ServiceTemplate>::kKind) {
    return read_kind<ServiceTemplate>(source, unknown_keys);
  }
  if (kind->value == DocumentTraits<TenantParameters>::kKind) {
    return read_kind<TenantParameters>(source, unknown_keys);
  }
  return kind_problem(source);
}

nlohmann::json write_document(const Document& document) {
  return std::visit(
      [](const auto& record) {
        using Traits = TraitsOf<decltype(record)>;
        nlohmann::json object = Traits::schema().write(record);
        object[kKindKey] = Traits::kKind;
        return object;
      },
      document);
}

std::string document_to_toml(const Document& document) {
  return std::visit(
      [](const auto& record) {
        using Traits = TraitsOf<decltype(record)>;
        return toml_line(kKindKey, Traits::kKind) + Traits::schema().write_toml(record, false);
      },
      document);
}

std::vector<DocumentChange> diff_documents(const nlohmann::json& before,
                                           const nlohmann::json& after) {
  const nlohmann::json nothing = nlohmann::json::object();
  const nlohmann::json& left = before.is_null() ? nothing : before;
  const nlohmann::json& right = after.is_null() ? nothing : after;
  std::set<std::string> keys;
  for (const nlohmann::json* side : {&left, &right}) {
    for (const auto& [key, value] : side->items()) {
      keys.insert(key);
    }
  }
  std::vector<DocumentChange> changes;
  for (const std::string& key : keys) {
    DocumentChange change{key, left.value(key, nlohmann::json()),
                          right.value(key, nlohmann::json())};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

nlohmann::json to_json_value(const std::vector<DocumentChange>& changes) {
  nlohmann::json array = nlohmann::json::array();
  for (const DocumentChange& change : changes) {
    array.push_back({{"key", change.key}, {"before", change.before}, {"after", change.after}});
  }
  return array;
}

}  // namespace stoneport::config
