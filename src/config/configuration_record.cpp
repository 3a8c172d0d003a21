#include "config/configuration_record.hpp"

#include <fmt/format.h>

#include "config/configuration_check.hpp"
#include "config/value_codec.hpp"
#include "core/hash.hpp"
#include "core/numbers.hpp"

namespace stoneport::config {
namespace {

constexpr int kHexadecimal = 16;

void insert(EventTemplate document, Configuration& configuration) {
  const core::TemplateName name = document.name;
  configuration.event_templates.emplace(name, std::move(document));
}

void insert(ServiceTemplate document, Configuration& configuration) {
  const core::TemplateName name = document.name;
  configuration.service_templates.emplace(name, std::move(document));
}

void insert(TenantParameters document, Configuration& configuration) {
  const std::string name = document.name;
  configuration.parameters.emplace(name, std::move(document));
}

nlohmann::json documents_to_json(const std::map<DocumentKey, DocumentRecord>& documents) {
  nlohmann::json object = nlohmann::json::object();
  for (const auto& [key, record] : documents) {
    object[to_string(key)] = to_json_value(record);
  }
  return object;
}

core::Result<std::map<DocumentKey, DocumentRecord>> documents_from_json(
    const nlohmann::json& object) {
  std::map<DocumentKey, DocumentRecord> documents;
  for (const auto& [text, value] : object.items()) {
    const std::optional<DocumentKey> key = parse_document_key(text);
    core::Result<DocumentRecord> record = document_record_from_json(value);
    if (!key || record.has_error()) {
      return core::make_error(core::ErrorCode::kProtocol, "bad document '" + text + "'");
    }
    documents.emplace(*key, std::move(*record));
  }
  return documents;
}

/// \throws nlohmann::json::exception where \p key is no whole number from 0 on.
core::Revision revision_at(const nlohmann::json& object, const char* key) {
  return core::Revision(object.at(key).get_ref<const nlohmann::json::number_unsigned_t&>());
}

core::Error protocol_error(const nlohmann::json::exception& exception) {
  return core::make_error(core::ErrorCode::kProtocol, exception.what());
}

}  // namespace

const DocumentRecord* ConfigurationRecord::find(const DocumentKey& key) const {
  const auto found = documents.find(key);
  return found == documents.end() ? nullptr : &found->second;
}

nlohmann::json to_json_value(const DocumentRecord& record) {
  return {{"document", record.document},
          {"revision", record.revision.value()},
          {"author", record.author},
          {"comment", record.comment},
          {"published_at", format_wall_time(record.published_at)}};
}

core::Result<DocumentRecord> document_record_from_json(const nlohmann::json& object) {
  try {
    DocumentRecord record;
    record.document = object.at("document");
    record.revision = revision_at(object, "revision");
    record.author = object.at("author").get<std::string>();
    record.comment = object.at("comment").get<std::string>();
    const auto time = parse_wall_time(object.at("published_at").get<std::string>());
    if (!time) {
      return core::make_error(core::ErrorCode::kProtocol, "bad published_at");
    }
    record.published_at = *time;
    return record;
  } catch (const nlohmann::json::exception& exception) {
    return protocol_error(exception);
  }
}

nlohmann::json to_json_value(const ConfigurationDelta& delta) {
  return {{"revision", delta.changed.revision.value()},
          {"since", delta.since.value()},
          {"hash", format_hash(delta.whole_hash)},
          {"documents", documents_to_json(delta.changed.documents)}};
}

core::Result<ConfigurationDelta> delta_from_json(const nlohmann::json& object) {
  try {
    ConfigurationDelta delta;
    delta.since = revision_at(object, "since");
    delta.changed.revision = revision_at(object, "revision");
    const auto hash = parse_hash(object.at("hash").get<std::string>());
    auto documents = documents_from_json(object.at("documents"));
    if (!hash || documents.has_error()) {
      return core::make_error(core::ErrorCode::kProtocol, "bad hash or documents");
    }
    delta.whole_hash = *hash;
    delta.changed.documents = std::move(*documents);
    return delta;
  } catch (const nlohmann::json::exception& exception) {
    return protocol_error(exception);
  }
}

std::uint64_t hash_of(const ConfigurationRecord& record) {
  return core::hash64(documents_to_json(record.documents).dump(), record.revision.value());
}

std::string format_hash(std::uint64_t hash) {
  return fmt::format("{:016x}", hash);
}

std::optional<std::uint64_t> parse_hash(const std::string& text) {
  return core::parse_number<std::uint64_t>(text, kHexadecimal);
}

ConfigurationDelta delta_since(const ConfigurationRecord& record, core::Revision since) {
  ConfigurationDelta delta;
  delta.since = since;
  delta.whole_hash = hash_of(record);
  delta.changed.revision = record.revision;
  for (const auto& [key, document] : record.documents) {
    if (document.revision > since) {
      delta.changed.documents.emplace(key, document);
    }
  }
  return delta;
}

ConfigurationRecord apply_delta(const ConfigurationRecord& base, const ConfigurationDelta& delta) {
  const bool is_whole = delta.since == core::Revision();
  ConfigurationRecord whole = is_whole ? ConfigurationRecord() : base;
  whole.revision = delta.changed.revision;
  for (const auto& [key, document] : delta.changed.documents) {
    whole.documents[key] = document;
  }
  return whole;
}

Checked<Configuration> build_configuration(const ConfigurationRecord& record) {
  Configuration configuration;
  configuration.revision = record.revision;
  Problems problems;
  for (const auto& [key, published] : record.documents) {
    Checked<SourceDocument> source = source_from_json(published.document, to_string(key));
    if (source.has_error()) {
      append(problems, source.error());
      continue;
    }
    Checked<Document> document = read_document(*source, UnknownKeys::kIgnore);
    if (document.has_error()) {
      append(problems, document.error());
      continue;
    }
    std::visit([&configuration](auto& value) { insert(std::move(value), configuration); },
               *document);
  }
  if (problems.empty()) {
    append(problems, check_configuration(configuration));
  }
  if (!problems.empty()) {
    return problems;
  }
  return configuration;
}

}  // namespace stoneport::config
