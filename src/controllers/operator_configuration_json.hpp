/// \file
/// Bodies of the operators' interface for documents: what comes in as typed
/// values, what goes out as responses.
#pragma once

#include <string>
#include <vector>

#include "controllers/configuration_controller.hpp"
#include "http/router.hpp"

namespace stoneport::controllers {

/// Who publishes, why, and what they started from.
struct PublishNote {
  core::Revision base_revision;
  std::string author;
  std::string comment;
};

struct RollbackOrder {
  core::Revision revision;  ///< the publication to bring back
  PublishNote note;
};

/// Reads the body of a publish of the document \p key.
config::Checked<config::PublishRequest> parse_publish(const std::string& body,
                                                      const config::DocumentKey& key);
config::Checked<RollbackOrder> parse_rollback(const std::string& body);
/// Reads the body of a validate: the documents that are valid by themselves, and
/// the problems of the others.
struct ValidationInput {
  std::vector<config::Document> documents;
  config::Problems problems;
};
config::Checked<ValidationInput> parse_validation(const std::string& body);
/// \return the value of a query parameter that is a whole number.
std::optional<core::Revision> revision_parameter(const std::string& target, std::string_view name);

http::Response outcome_response(const core::Result<PublishOutcome>& outcome);
http::Response problems_response(const config::Problems& problems);
http::Response failure_response(const core::Error& error);
/// \return the record with its key and name, as `GET` of one document answers.
nlohmann::json describe(const config::DocumentKey& key, const config::DocumentRecord& record);

}  // namespace stoneport::controllers
