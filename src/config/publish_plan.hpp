/// \file
/// Decides what publishing one document comes to, given the newest whole. Plain
/// code; the controller carries the plan out against the table service.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/configuration_record.hpp"

namespace stoneport::config {

struct PublishRequest {
  Document document;
  /// Revision of the document that the operator started from; zero for a new one.
  core::Revision base_revision;
  std::string author;
  std::string comment;
};

/// The next whole, to be committed on the condition that the newest is still so.
struct PublishCommit {
  DocumentKey key;
  ConfigurationRecord record;
  Configuration configuration;
};

/// The same document is published already: a repeat, or another's same change.
struct PublishUnchanged {
  DocumentKey key;
  core::Revision revision;
};

/// Somebody else changed the document after the operator's base.
struct PublishConflict {
  DocumentKey key;
  core::Revision base_revision;
  DocumentRecord in_force;              ///< its revision is zero when there is none
  std::vector<DocumentChange> changes;  ///< from the one in force to the one proposed
};

/// The whole with the document in it would not be valid.
struct PublishInvalid {
  Problems problems;
};

using PublishPlan = std::variant<PublishCommit, PublishUnchanged, PublishConflict, PublishInvalid>;

PublishPlan plan_publish(const ConfigurationRecord& newest, const PublishRequest& request,
                         core::WallTime now);

}  // namespace stoneport::config
