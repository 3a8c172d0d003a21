/// \file
/// Request and response bodies of the operator API for documents.
#pragma once

#include <string>
#include <vector>

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Author and comment of a publication, and the revision it is based on.
struct PublishNote {
  core::Revision base_revision;
  std::string author;
  std::string comment;
};

struct RollbackOrder {
  core::Revision revision;  ///< the publication to restore
  PublishNote note;
};

/// Parses the body of a request to publish document \p key.
config::Checked<config::PublishRequest> parse_publish(const std::string& body,
                                                      const config::DocumentKey& key);
config::Checked<RollbackOrder> parse_rollback(const std::string& body);
/// Contents of a validation request: the documents that are valid by themselves, and the
/// problems of the others.
struct ValidationInput {
  std::vector<config::Document> documents;
  config::Problems problems;
};
config::Checked<ValidationInput> parse_validation(const std::string& body);
/// \return the value of a query parameter that must be an unsigned integer
std::optional<core::Revision> revision_parameter(const std::string& target, std::string_view name);

http::Response outcome_response(const core::Result<PublishOutcome>& outcome);
http::Response problems_response(const config::Problems& problems);
http::Response failure_response(const core::Error& error);
/// \return the record with its key and name, as returned by `GET` of one document
nlohmann::json describe(const config::DocumentKey& key, const config::DocumentRecord& record);

}  // namespace stoneport::controllers
