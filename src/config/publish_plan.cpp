#include "config/publish_plan.hpp"

namespace stoneport::config {

PublishPlan plan_publish(const ConfigurationRecord& newest, const PublishRequest& request,
                         core::WallTime now) {
  const DocumentKey key = key_of(request.document);
  const nlohmann::json proposed = write_document(request.document);
  const DocumentRecord* published = newest.find(key);
  const DocumentRecord in_force = published == nullptr ? DocumentRecord() : *published;
  if (in_force.document == proposed) {
    return PublishUnchanged{key, in_force.revision};
  }
  if (in_force.revision != request.base_revision) {
    std::vector<DocumentChange> changes = diff_documents(in_force.document, proposed);
    return PublishConflict{key, request.base_revision, in_force, std::move(changes)};
  }
  PublishCommit commit{key, newest, {}};
  commit.record.revision = newest.revision.next();
  commit.record.documents[key] =
      DocumentRecord{proposed, commit.record.revision, request.author, request.comment, now};
  Checked<Configuration> configuration = build_configuration(commit.record);
  if (configuration.has_error()) {
    return PublishInvalid{configuration.error()};
  }
  commit.configuration = std::move(*configuration);
  return commit;
}

}  // namespace stoneport::config
