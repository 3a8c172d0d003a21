#include "controllers/operator_configuration_json.hpp"

#include <fmt/format.h>

#include "config/schema.hpp"
#include "config/value_codec.hpp"
#include "core/json_text.hpp"

namespace stoneport::controllers {
namespace {

using config::Checked;
using config::DocumentKey;
using config::Problem;
using config::Problems;

constexpr unsigned kOk = 200;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kInvalidDocumentStatus = 422;
constexpr std::size_t kMaxCommentBytes = 2000;
const std::string kBody = "request body";

Checked<nlohmann::json> parse_object(const std::string& body) {
  std::optional<nlohmann::json> object = core::parse_json(body);
  if (!object || !object->is_object()) {
    return Problems{{kBody, 0, "", "something else",
                     fmt::format("a JSON object, at most {} levels deep", core::kMaxJsonDepth)}};
  }
  return Checked<nlohmann::json>(boost::system::in_place_value, std::move(*object));
}

core::Revision read_revision(const nlohmann::json& object, const std::string& key,
                             Problems& problems) {
  const nlohmann::json value = object.value(key, nlohmann::json());
  if (!value.is_number_unsigned()) {
    problems.push_back({kBody, 0, key, config::quote(value), "a whole number from 0 on"});
    return core::Revision();
  }
  return core::Revision(value.get<std::uint64_t>());
}

std::string read_text(const nlohmann::json& object, const std::string& key, std::size_t shortest,
                      Problems& problems) {
  const nlohmann::json value = object.value(key, nlohmann::json(""));
  const std::string text = value.is_string() ? value.get<std::string>() : std::string();
  if (!value.is_string() || text.size() < shortest || text.size() > kMaxCommentBytes) {
    const std::string allowed = fmt::format("a text of {} to {} bytes", shortest, kMaxCommentBytes);
    problems.push_back({kBody, 0, key, config::quote(value), allowed});
  }
  return text;
}

PublishNote read_note(const nlohmann::json& object, Problems& problems) {
  PublishNote note;
  note.base_revision = read_revision(object, "base_revision", problems);
  note.author = read_text(object, "author", 1, problems);
  note.comment = read_text(object, "comment", 0, problems);
  return note;
}

Checked<config::Document> parse_document(const nlohmann::json& value, const std::string& name) {
  Checked<config::SourceDocument> source = config::source_from_json(value, name);
  if (source.has_error()) {
    return source.error();
  }
  return config::read_document(*source);
}

/// \return a label for the document at \p index, used in problem reports
std::string document_label(const nlohmann::json& document, std::size_t index) {
  const bool named =
      document.is_object() && document.contains("name") && document["name"].is_string();
  return named ? document["name"].get<std::string>() : fmt::format("documents[{}]", index);
}

nlohmann::json conflict_to_json(const config::PublishConflict& conflict) {
  const bool exists = conflict.in_force.revision > core::Revision();
  return {{"document", to_string(conflict.key)},
          {"base_revision", conflict.base_revision.value()},
          {"in_force", exists ? to_json_value(conflict.in_force) : nlohmann::json()},
          {"changes", to_json_value(conflict.changes)}};
}

http::Response accepted_response(const PublishAccepted& accepted) {
  const nlohmann::json body = {{"document", to_string(accepted.key)},
                               {"revision", accepted.revision.value()},
                               {"unchanged", accepted.unchanged},
                               {"copies_in_other_zones", accepted.copies}};
  return http::json_response(kOk, core::write_json(body));
}

http::Response conflict_response(const config::PublishConflict& conflict) {
  const bool exists = conflict.in_force.revision > core::Revision();
  const std::string in_force =
      exists ? fmt::format("revision {} by {} is in force", conflict.in_force.revision.value(),
                           conflict.in_force.author)
             : "no such document exists";
  const std::string message =
      fmt::format("{}: the change starts from revision {}, but {}", to_string(conflict.key),
                  conflict.base_revision.value(), in_force);
  const nlohmann::json body = {
      {"code", "conflict"}, {"message", message}, {"conflict", conflict_to_json(conflict)}};
  return http::json_response(kConflictStatus, core::write_json(body));
}

}  // namespace

Checked<config::PublishRequest> parse_publish(const std::string& body, const DocumentKey& key) {
  const Checked<nlohmann::json> object = parse_object(body);
  if (object.has_error()) {
    return object.error();
  }
  Problems problems;
  const PublishNote note = read_note(*object, problems);
  Checked<config::Document> document =
      parse_document(object->value("document", nlohmann::json()), to_string(key));
  if (document.has_error()) {
    append(problems, document.error());
  } else if (key_of(*document) != key) {
    problems.push_back({to_string(key), 0, "name", to_string(key_of(*document)),
                        "the document that the path names"});
  }
  if (!problems.empty()) {
    return problems;
  }
  return config::PublishRequest{std::move(*document), note.base_revision, note.author,
                                note.comment};
}

Checked<RollbackOrder> parse_rollback(const std::string& body) {
  const Checked<nlohmann::json> object = parse_object(body);
  if (object.has_error()) {
    return object.error();
  }
  Problems problems;
  RollbackOrder order;
  order.revision = read_revision(*object, "revision", problems);
  order.note = read_note(*object, problems);
  if (!problems.empty()) {
    return problems;
  }
  return order;
}

Checked<ValidationInput> parse_validation(const std::string& body) {
  const Checked<nlohmann::json> object = parse_object(body);
  if (object.has_error()) {
    return object.error();
  }
  const nlohmann::json documents = object->value("documents", nlohmann::json());
  if (!documents.is_array()) {
    return Problems{{kBody, 0, "documents", config::quote(documents), "a list of documents"}};
  }
  ValidationInput input;
  for (std::size_t index = 0; index < documents.size(); ++index) {
    Checked<config::Document> document =
        parse_document(documents[index], document_label(documents[index], index));
    if (document.has_error()) {
      append(input.problems, document.error());
    } else {
      input.documents.push_back(std::move(*document));
    }
  }
  return input;
}

std::optional<core::Revision> revision_parameter(const std::string& target, std::string_view name) {
  return config::parse_revision(http::query_parameter(target, name).value_or(""));
}

http::Response outcome_response(const core::Result<PublishOutcome>& outcome) {
  if (outcome.has_error()) {
    return failure_response(outcome.error());
  }
  if (const auto* accepted = std::get_if<PublishAccepted>(&*outcome)) {
    return accepted_response(*accepted);
  }
  if (const auto* conflict = std::get_if<config::PublishConflict>(&*outcome)) {
    return conflict_response(*conflict);
  }
  return problems_response(std::get<config::PublishInvalid>(*outcome).problems);
}

http::Response problems_response(const Problems& problems) {
  const nlohmann::json body = {{"code", "invalid_document"},
                               {"message", to_string(problems)},
                               {"problems", to_json_value(problems)}};
  return http::json_response(kInvalidDocumentStatus, core::write_json(body));
}

http::Response failure_response(const core::Error& error) {
  return http::error_response(http::status_for(error.code), error);
}

nlohmann::json describe(const DocumentKey& key, const config::DocumentRecord& record) {
  nlohmann::json object = to_json_value(record);
  object["name"] = key.name;
  object["group"] = to_string(key.group);
  object["kind"] = record.document.value("kind", "");
  return object;
}

}  // namespace stoneport::controllers
